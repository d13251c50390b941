"""Where prompts go, at engines of different speeds and with shared parts."""

import unittest

from crocuskeel.core.entry import model
from crocuskeel.core.entry import prefix_cache
from crocuskeel.core.scheduling import backlog
from crocuskeel.core.scheduling import limits
from crocuskeel.core.scheduling import placement
from crocuskeel.core.scheduling import rates
from crocuskeel.core.scheduling import services
from tests.entry import support
from tests.scheduling import drivers

PROMPT = drivers.audit_prompt("shared")
UNSHARED = model.Prompt((("own", 17_020),), 17_020, 120)


def learn(learned, sid, tokens_per_s):
    """Let first events show the rate of an engine."""
    for number in range(30):
        rates.note_first_event(learned, sid, 20_000,
                               0.05 + 20_000 / tokens_per_s,
                               support.NOW + number)


class _Engines(unittest.TestCase):

    def setUp(self):
        self.driver = drivers.Driver([
            drivers.engine("slow"), drivers.engine("fast"),
            drivers.engine("far", "bunbury")])
        self.host = self.driver.host
        self.slow, self.fast, self.far = self.host.servers.values()
        self.schedule = services.find(self.host, drivers.SERVICE)
        self.rates = self.schedule.rates
        for sid, rate in (("slow", 60_000), ("fast", 130_000),
                          ("far", 130_000)):
            learn(self.rates, sid, rate)
        self._ask(UNSHARED)

    def _ask(self, prompt):
        self.pending = support.request_state(drivers.AUDIT, prompt=prompt)
        self.pending.candidates = [self.slow, self.fast, self.far]

    def _choose(self, *states):
        return placement.cheapest(
            self.host, self.schedule, states or self.pending.candidates,
            self.pending, self.pending.route is drivers.CHAT,
            support.NOW).server.sid

    def _hold(self, state):
        """Let an engine hold the shared part since some time."""
        self._ask(PROMPT)
        prefix_cache.add_part(state, "shared", 13_300, 900_000,
                              support.NOW - 1.0)
        self.pending.cached_elsewhere_tokens = 13_300
        self.pending.known_tokens = 13_300


class PlacementTest(_Engines):

    def test_a_queue_counts_by_the_time_that_the_engine_takes(self):
        # With one rate for all, slow engines got as many long prompts as
        # fast ones, and their streams paused for too long.
        self.fast.own_attempts[9, 0] = 8_000
        self.slow.own_attempts[8, 0] = 6_000
        self.assertEqual("fast", self._choose(self.slow, self.fast))

    def test_a_fetch_has_to_bring_the_first_event_forward(self):
        # Moves of prompt memory were the largest waste of a day, and most
        # of them bought their callers nothing.
        self._hold(self.slow)
        self.slow.own_attempts[8, 0] = 3_000
        self.assertEqual("slow", self._choose(self.slow, self.fast))
        self.slow.own_attempts[8, 0] = 60_000
        self.assertEqual("fast", self._choose(self.slow, self.fast))

    def test_a_part_that_is_being_read_is_not_read_a_second_time(self):
        # It can't be fetched yet, and looked as if no engine had it.
        self._ask(PROMPT)
        prefix_cache.add_part(self.slow, "shared", 13_300, 900_000,
                              support.NOW + 0.2)
        self.pending.known_tokens = 13_300
        self.slow.own_attempts[8, 0] = 13_300
        self.assertEqual("slow", self._choose(self.slow, self.fast))

    def test_an_unknown_part_goes_to_the_same_engine_on_all_hosts(self):
        # Hosts that had not heard of each other read it once each: shared
        # parts were read again twice as often as before.
        self._ask(PROMPT)
        first = self._choose()
        self.host.servers[first].own_attempts[8, 0] = 5_000
        self.assertEqual(first, self._choose())

    def test_the_own_domain_comes_first_unless_it_costs_time(self):
        self.assertEqual("fast", self._choose(self.fast, self.far))
        self.fast.own_attempts[8, 0] = 20_000
        self.assertEqual("far", self._choose(self.fast, self.far))

    def test_long_prompts_and_chats_avoid_each_other(self):
        # Each long prompt holds up the events of all chats at its engine.
        self.fast.streams_by_gap[0, 250] = 5
        self.assertEqual("slow", self._choose(self.slow, self.fast))
        self.pending = support.request_state(
            drivers.CHAT, prompt=model.Prompt((("own", 1_460),), 1_460, 200))
        self.fast.prefill_share = 0.9
        self.assertEqual("slow", self._choose(self.slow, self.fast))

    def test_an_engine_that_fails_streams_is_avoided(self):
        self.fast.failure_rate, self.fast.failure_rate_at = 0.5, support.NOW
        self.assertEqual("slow", self._choose(self.slow, self.fast))


class LimitsTest(_Engines):

    def _limit(self, state, rank=2, urgent=limits.NO_URGENT):
        self.pending.rank = rank
        return limits.blocking_limit(
            self.host, self.rates, self.pending, state, 0.5, urgent,
            support.NOW)

    def test_the_queue_is_bounded_in_time_and_not_in_tokens(self):
        # Engines that read 130,000 tokens a second were refused prompts
        # while they were idle for two fifths of the time.
        self.fast.own_attempts[8, 0] = 11_000
        self.slow.own_attempts[8, 0] = 11_000
        self.assertIsNone(self._limit(self.fast))
        self.assertEqual(limits.Limit.QUEUE, self._limit(self.slow))

    def test_less_urgent_ranks_leave_room_for_the_more_urgent(self):
        self.fast.own_attempts[8, 0] = 18_000
        self.assertIsNone(self._limit(self.fast, rank=1))
        self.assertEqual(limits.Limit.QUEUE, self._limit(self.fast, rank=2))

    def test_what_waits_elsewhere_and_is_more_urgent_is_left_room(self):
        self.fast.own_attempts[8, 0] = 9_000
        self.assertIsNone(self._limit(self.fast))
        self.assertEqual(limits.Limit.QUEUE,
                         self._limit(self.fast, urgent=limits.Urgent(0.1, 0)))
        self.fast.peer_loads.update("other", 100, 0, 0, support.NOW)
        self.assertEqual(limits.Limit.SLOTS, self._limit(
            self.fast, urgent=limits.Urgent(0.0, 10)))

    def test_an_engine_never_gets_more_than_its_memory_holds(self):
        # It crashes if the requests that it holds exceed its memory.
        self.fast.memory_tokens = 850_000
        self.assertEqual(limits.Limit.MEMORY, self._limit(self.fast))

    def test_slots_of_a_full_engine_are_no_room(self):
        self.fast.peer_loads.update("other", 127, 0, 0, support.NOW)
        self.assertEqual(limits.Limit.SLOTS, self._limit(self.fast))


class BacklogTest(unittest.TestCase):

    def test_orders_count_what_waits_and_what_was_rejected(self):
        # Engines that are full look the same whatever waits for them.
        driver = drivers.Driver([drivers.engine("e1"), drivers.engine("e2")])
        driver.ask(drivers.CHAT)
        schedule = driver.host.schedules[drivers.SERVICE]
        engines = list(driver.host.servers.values())

        def needed():
            return backlog.queued_engines(
                driver.host, drivers.SERVICE, engines, driver.now)

        self.assertEqual(0.0, needed())
        backlog.note_rejected(schedule, 80_000, driver.now)
        self.assertAlmostEqual(2.0, needed())
        driver.now += 1.1
        self.assertEqual(0.0, needed())


if __name__ == "__main__":
    unittest.main()
