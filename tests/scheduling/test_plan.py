"""Whether requests wait or are rejected, and when callers retry."""

import collections
import dataclasses
import heapq
import random
import unittest

from crocuskeel.core.scheduling import plan

# 100,000 tokens a second; it may wait for 4 s of a limit of 10 s.
WORK = plan.Work(tokens_ahead=0, queued_tokens=0, tokens_per_s=100_000.0,
                 urgent_tokens_per_s=0, own_tokens=10_000, target_s=1.5,
                 left_s=10.0, waited_s=0.0, max_wait_s=4.0)


def _decide(is_rejecting=False, jitter=0.5, is_below_floor=False, **changes):
    return plan.decide(dataclasses.replace(WORK, **changes), is_rejecting,
                       jitter, is_below_floor)


class DecideTest(unittest.TestCase):
    """The decision on one request."""

    def test_decisions(self):
        for changes, decision in (
                ({}, (4.0, None, 0.1, "wait")),
                # All that is read before it counts, here and at engines.
                ({"tokens_ahead": 200_000, "queued_tokens": 190_000},
                 (4.0, None, 4.0, "wait")),
                ({"tokens_ahead": 200_000, "queued_tokens": 230_000},
                 (None, 0.4, 4.4, "backlog")),
                # More urgent classes will take half, or all, of the rate.
                ({"tokens_ahead": 70_000, "urgent_tokens_per_s": 50_000.0},
                 (4.0, None, 1.6, "wait")),
                ({"tokens_ahead": 40_000, "urgent_tokens_per_s": 300_000.0},
                 (None, 1.0, 5.0, "backlog")),
                # Hysteresis: a bound of 3.2 s.
                ({"tokens_ahead": 340_000}, (4.0, None, 3.5, "wait")),
                ({"tokens_ahead": 340_000, "is_rejecting": True},
                 (None, 0.3, 3.5, "backlog")),
                # A class below its floor must not starve behind a backlog.
                ({"tokens_ahead": 9_000_000, "is_rejecting": True,
                  "is_below_floor": True}, (4.0, None, 90.1, "wait")),
                # What it has waited counts, and its caller's limit.
                ({"tokens_ahead": 90_000, "waited_s": 3.5},
                 (None, 0.5, 1.0, "backlog")),
                ({"waited_s": 3.5, "left_s": 0.4}, (0.4, None, 0.1, "wait")),
                ({"tokens_ahead": 90_000, "waited_s": 4.0, "left_s": 6.0,
                  "is_below_floor": True}, (None, 1.0, 1.0, "time")),
                ({"left_s": -0.1}, (None, 0.0, 0.1, "time")),
                # All engines gone: an engine may return meanwhile.
                ({"tokens_per_s": 0.0, "waited_s": 1.0},
                 (3.0, None, float("inf"), "no_servers")),
                ({"tokens_per_s": 0.0, "waited_s": 4.0, "left_s": 5.0},
                 (None, 5 / 3 / 1.25, float("inf"), "no_servers"))):
            with self.subTest(changes):
                found = dataclasses.astuple(_decide(**changes))
                for expected, value in zip(decision, found, strict=True):
                    if isinstance(expected, float):
                        self.assertAlmostEqual(expected, value)
                    else:
                        self.assertEqual(expected, value)

    def test_bounds_hold_for_any_work(self):
        # A wait past the caller's limit would end without any response.
        rng = random.Random(3)
        for _ in range(3000):
            work = plan.Work(*(rng.choice((0, 1, 10 ** rng.uniform(-2, 7)))
                               for _ in range(9)))
            below = rng.random() < 0.3
            found = plan.decide(work, rng.random() < 0.5, rng.random(), below)
            if found.wait_s is None:
                self.assertFalse(below and found.cause == "backlog")
                latest = work.left_s / 3
                self.assertLessEqual(found.retry_s, latest + 1e-9)
                self.assertGreaterEqual(
                    found.retry_s, min(0.1, 0.6 * latest) - 1e-9)
            else:
                self.assertLess(0.0, found.wait_s)
                self.assertLessEqual(found.wait_s, work.left_s)
                self.assertLessEqual(found.wait_s + work.waited_s,
                                     work.max_wait_s + 1e-9)

    def test_callers_rejected_together_return_apart(self):
        # A bound on the retry that all callers meet would have them return
        # in one instant, and be rejected together again.
        for tokens in (391_000, 500_000, 9_000_000):
            first, last = (_decide(tokens_ahead=tokens, jitter=jitter).retry_s
                           for jitter in (0.0, 0.999999))
            self.assertAlmostEqual(0.75 / 1.25, first / last, 4)

    def test_which_decisions_change_the_gate(self):
        # A class below its floor would end the rejections of its own class
        # with each request, and so undo the hysteresis.
        gate = plan.new_gate()
        for changes, is_rejecting in (
                ({"tokens_ahead": 370_000}, False),
                ({"tokens_ahead": 400_000}, True),
                ({"tokens_ahead": 370_000, "is_below_floor": True}, True),
                ({"waited_s": 4.0}, True), ({"tokens_per_s": 0.0}, True),
                ({"tokens_ahead": 300_000}, False),
                ({"waited_s": 4.0}, False)):
            plan.update(gate, _decide(gate.is_rejecting, **changes))
            self.assertEqual(is_rejecting, gate.is_rejecting, changes)


@dataclasses.dataclass
class Replayed:
    """Result of a replay: {time: queue in s}, and turns by host.

    ``returns`` counts retries by tenth of a second.
    """

    queue: dict
    turns: list
    returns: collections.Counter


def _replay(hosts, with_gate, seed, step_s=0.02, delay_s=0.3):
    """Replay 3 times the capacity from 8 to 24 s, and 0.8 times otherwise.

    Each host knows its own queue, and those of others ``delay_s`` late.
    """
    rng = random.Random(seed)
    gates = [plan.new_gate() for _ in range(hosts)]
    own, rejected = [0.0] * hosts, [False] * hosts
    reports = collections.deque(maxlen=round(delay_s / step_s))
    found = Replayed({}, [0] * hosts, collections.Counter())
    returning, offered = [], 0.0
    for number in range(round(36 / step_s)):
        now = number * step_s
        reports.append(tuple(own))
        offered += (3.0 if 8 <= now < 24 else 0.8) * step_s * 100
        count, offered = int(offered), offered % 1
        arrived = [(now, rng.randrange(hosts)) for _ in range(count)]
        while returning and returning[0][0] <= now:
            arrived.append(heapq.heappop(returning)[1:])
            found.returns[int(now * 10)] += 1
        for first_at, host in arrived:
            others = sum(reports[0]) - reports[0][host]
            decision = _decide(
                with_gate and gates[host].is_rejecting, rng.random(),
                tokens_ahead=own[host] + others, own_tokens=1000,
                left_s=first_at + 10 - now, waited_s=now - first_at)
            plan.update(gates[host], decision)
            is_rejected = decision.wait_s is None
            found.turns[host] += is_rejected != rejected[host]
            rejected[host] = is_rejected
            if not is_rejected:
                own[host] += 1000
            elif now + decision.retry_s < first_at + 4:
                heapq.heappush(
                    returning, (now + decision.retry_s, first_at, host))
        total = sum(own)
        left = max(0.0, total - 100_000 * step_s) / max(total, 1.0)
        own = [tokens * left for tokens in own]
        found.queue[now] = sum(own) / 100_000
    return found


class ReplayTest(unittest.TestCase):
    """A step of the load to 3 times the capacity, and back."""

    def test_queue_stays_near_its_bound(self):
        # Guards against a queue that swings between none and far more than
        # may wait, as each host acts on reports of the past.
        for hosts in (1, 6, 40):
            found = _replay(hosts, True, 1)
            full = [queue for at, queue in found.queue.items()
                    if 13 <= at < 24]
            with self.subTest(hosts=hosts):
                # The bound is 4 s; requests of 0.3 s, with those that
                # retry, arrive before other hosts know of them.
                self.assertGreater(min(full), 0.65 * 4)
                self.assertLess(max(full), 1.25 * 4)
                # Callers are rejected in the overload only.
                self.assertLess(80, min(found.returns))
                self.assertGreater(300, max(found.returns))

    def test_hysteresis_halves_the_turns(self):
        # Guards against a host that turns between queueing and rejecting
        # with each report.
        turns, without = (sum(_replay(6, with_gate, 1).turns)
                          for with_gate in (True, False))
        self.assertLess(turns, 0.65 * without)

    def test_retries_do_not_come_together(self):
        # Guards against retries that come in waves: the most in a tenth of
        # a second is near the mean.
        counts = _replay(6, True, 1).returns
        during = [counts[tenth] for tenth in range(130, 240)]
        self.assertLess(max(during), 3 * sum(during) / len(during))


if __name__ == "__main__":
    unittest.main()
