"""Engines reserved for streams that allow only short pauses."""

import unittest

from crocuskeel.core.scheduling import groups
from tests.entry import support
from tests.scheduling import drivers

ROUTES = (drivers.CHAT, drivers.CHECK, drivers.AUDIT)


def states(count, domains=("perth-a",)):
    """Return ServerStates spread over failure domains."""
    driver = drivers.Driver([
        drivers.engine(f"e{number}", domains[number % len(domains)])
        for number in range(count)])
    return list(driver.host.servers.values())


class GroupTest(unittest.TestCase):

    def _update(self, engines, needed=0.0, now=support.NOW, group=None):
        return groups.update(group or groups.new_group(), lambda found: needed,
                             lambda: engines, now)

    def test_only_the_classes_with_much_shorter_pauses_are_interactive(self):
        gap_s = groups.interactive_gap_s(ROUTES)
        self.assertEqual(["chat"], [route.name for route in ROUTES
                                    if groups.is_interactive(route, gap_s)])
        self.assertIsNone(groups.interactive_gap_s(
            (drivers.CHECK, drivers.AUDIT)))

    def test_the_group_grows_with_its_streams_up_to_a_quarter(self):
        engines = states(12)
        self.assertEqual(1, len(self._update(engines)))
        self.assertEqual(3, len(self._update(engines, 2.1)))
        self.assertEqual(3, len(self._update(engines, 9.0)))

    def test_engines_that_pause_longer_may_prefill_less(self):
        # A group of a fixed size took a third of the engines from long
        # prompts where chats were on time at a single one.
        def needed(pause_s):
            return groups.engines_needed(
                groups.new_group(), 40, 100_000, pause_s, 0.25)

        self.assertLess(needed(0.1), 1.0)
        self.assertGreater(needed(0.3), 1.5)
        self.assertAlmostEqual(needed(9.0), 2.0)
        self.assertAlmostEqual(needed(None), 1.0)

    def test_slow_engines_join_last(self):
        # Even without long prompts a slow engine sends events late while its
        # machine is slowed.
        engines = states(8)
        group = groups.new_group()
        for state in engines:
            sid = state.server.sid
            for _ in range(groups.MIN_GAPS):
                groups.note_gap(group, sid,
                                0.04 if sid in ("e1", "e3") else 0.09)
        self.assertEqual({"e1", "e3"},
                         self._update(engines, 2.0, group=group))

    def test_each_failure_domain_has_one_first(self):
        engines = states(16, ("a", "b", "c", "d"))
        group = self._update(engines, 4.0)
        self.assertEqual({"a", "b", "c", "d"}, {
            state.server.domain for state in engines
            if state.server.sid in group})

    def test_a_short_lull_does_not_shrink_the_group(self):
        # Long prompts would enter its engines, and chats return to them.
        engines = states(12)
        group = groups.new_group()
        self._update(engines, 3.0, group=group)
        later = support.NOW + groups.PEAK_S
        self.assertEqual(3, len(self._update(engines, 0.5, later,
                                             group=group)))
        self.assertEqual(1, len(self._update(engines, 0.5, later + 1.0,
                                             group=group)))

    def test_a_single_engine_serves_all(self):
        self.assertEqual(frozenset(), self._update(states(1)))


if __name__ == "__main__":
    unittest.main()
