"""Hosts that send each other reports on crashes, in random orders."""

import heapq
import random
import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import crash_driver
from tests.entry import support

HOSTS = 3
SEEDS = range(60)
STEP_S = 0.1
STEPS = 60
# Hosts have nothing new to tell each other this long after the last event, s.
SETTLED_S = 4.0
MAX_DELAY_S = 0.4
TICK_STEPS = 3


class _Network:
    """Hosts on one clock; datagrams are delayed, reordered, lost, doubled."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.started_ms = self.rng.choice((None, 1_000))
        self.loss = self.rng.choice((0.0, 0.3))
        self.fleets = {
            f"h{number}": crash_driver.CrashDriver(
                name=f"h{number}", started_ms=self.started_ms)
            for number in range(HOSTS)}
        self.now = support.NOW
        self.under_way = []
        self.number = 0
        self.lines = []
        peers = tuple(support.peer(name) for name in self.fleets)
        for fleet in self.fleets.values():
            self._carry_out(fleet, fleet.feed(events.PeersListed(peers)))

    def step(self, number):
        """Advance the clock, deliver datagrams and tick."""
        self.now += STEP_S
        while self.under_way and self.under_way[0][0] <= self.now:
            _, _, name, event = heapq.heappop(self.under_way)
            self._feed(self.fleets[name], event)
        for offset, fleet in enumerate(self.fleets.values()):
            fleet.now = self.now
            if (number + offset) % TICK_STEPS == 0:
                self._feed(fleet, events.Ticked(0.0))
            if support.LOADS in fleet.timers:
                self._feed(fleet, events.LoadsDue())

    def disturb(self):
        """Let something happen to a request at a random host."""
        fleet = self.rng.choice(list(self.fleets.values()))
        fleet.now = self.now
        sid = f"s{self.rng.randrange(6)}"
        digest = self.rng.choice("pqrs")
        what = self.rng.choice(("lose", "lose", "lose", "refuse", "answer",
                                "unreached"))
        fleet.last_key += 1
        key = fleet.last_key
        if what in ("refuse", "unreached"):
            digest = "probe"
        self._feed(fleet, events.RequestReceived(
            key, support.request(digest=digest)))
        if key not in fleet.host.pending or not (
                fleet.host.pending[key].attempts):
            return
        fleet.move(key, sid)
        self._end(fleet, key, what)
        self._feed(fleet, events.CallerDisconnected(key))

    def _end(self, fleet, key, what):
        outcomes = {"lose": model.Outcome.DISCONNECTED,
                    "refuse": model.Outcome.REFUSED,
                    "unreached": model.Outcome.UNREACHABLE}
        if what == "answer":
            self._feed(fleet, events.HintsReceived(key, 0, model.Hints()))
            self._feed(fleet, events.ResponseReceived(key, 0, 200, None, True))
            return
        self._feed(fleet, events.AttemptFailed(
            key, 0, outcomes[what], "", what == "lose"))

    def _feed(self, fleet, event):
        fleet.now = self.now
        self._carry_out(fleet, fleet.feed(event))

    def _carry_out(self, fleet, out):
        self.lines += [
            (self.now, line) for line
            in support.effects_of(out, effects.LogEvent)
            if line.event.startswith("crash_")]
        for sent in support.effects_of(out, effects.SendToPeer):
            for _ in range(self.rng.choice((1, 1, 1, 2))):
                if self.rng.random() >= self.loss:
                    self.number += 1
                    heapq.heappush(self.under_way, (
                        self.now + self.rng.uniform(0.0, MAX_DELAY_S),
                        self.number, sent.peer.name, sent.event))


class ConvergenceTest(unittest.TestCase):
    """Reports in any order, late, lost or twice."""

    def test_hosts_settle(self):
        # Two hosts that had heard of a crash and of its refutation in
        # different orders told each other both for good.
        for seed in SEEDS:
            network = _Network(seed)
            for number in range(STEPS):
                network.step(number)
                if network.rng.random() < 0.5:
                    network.disturb()
            for number in range(80):
                network.step(number)
            ended_at = support.NOW + STEPS * STEP_S
            late = [(round(at - ended_at, 2), line.event, line.fields)
                    for at, line in network.lines
                    if at > ended_at + SETTLED_S
                    and line.fields.get("by") != "entry"]
            with self.subTest(seed=seed):
                self.assertEqual([], late[:5])

    def test_no_report_is_renewed(self):
        for seed in SEEDS:
            network = _Network(seed)
            network.disturb()
            for number in range(STEPS):
                network.step(number)
            oldest = support.NOW + 2 * MAX_DELAY_S
            for fleet in network.fleets.values():
                known = fleet.host.crash_records
                times = [loss.at for loss in known.losses]
                times += [at for crash in known.crashes.values()
                          for at in crash.lost.values()]
                with self.subTest(seed=seed):
                    self.assertLessEqual(max(times, default=0.0), oldest)


if __name__ == "__main__":
    unittest.main()
