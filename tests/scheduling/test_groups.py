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


def add_chats(engines, count):
    """Let an engine serve so many streams with short pauses."""
    engines[0].streams_by_gap[0, 250] = count


class GroupTest(unittest.TestCase):

    def _update(self, engines, now=support.NOW, group=None):
        return groups.update(group or groups.new_group(), 0.25,
                             lambda: engines, now)

    def test_only_the_classes_with_much_shorter_pauses_are_interactive(self):
        gap_s = groups.interactive_gap_s(ROUTES)
        self.assertEqual(["chat"], [route.name for route in ROUTES
                                    if groups.is_interactive(route, gap_s)])
        self.assertIsNone(groups.interactive_gap_s(
            (drivers.CHECK, drivers.AUDIT)))

    def test_the_group_grows_with_its_streams_up_to_half(self):
        engines = states(10)
        self.assertEqual(1, len(self._update(engines)))
        add_chats(engines, 3 * 38)
        self.assertEqual(3, len(self._update(engines)))
        add_chats(engines, 10_000)
        self.assertEqual(5, len(self._update(engines)))

    def test_slow_engines_join_last(self):
        # Even without long prompts a slow engine sends events late while its
        # machine is slowed.
        engines = states(4)
        add_chats(engines, 2 * 38)
        group = groups.new_group()
        for state in engines:
            sid = state.server.sid
            for _ in range(groups.MIN_GAPS):
                groups.note_gap(group, sid,
                                0.09 if sid in ("e0", "e2") else 0.04)
        self.assertEqual({"e1", "e3"}, self._update(engines, group=group))

    def test_each_failure_domain_has_one_first(self):
        engines = states(8, ("a", "b", "c", "d"))
        add_chats(engines, 4 * 38)
        group = self._update(engines)
        self.assertEqual({"a", "b", "c", "d"}, {
            state.server.domain for state in engines
            if state.server.sid in group})

    def test_a_short_lull_does_not_shrink_the_group(self):
        # Long prompts would enter its engines, and chats return to them.
        engines = states(10)
        group = groups.new_group()
        add_chats(engines, 3 * 38)
        self._update(engines, group=group)
        add_chats(engines, 1)
        later = support.NOW + groups.PEAK_S
        self.assertEqual(3, len(self._update(engines, later, group=group)))
        self.assertEqual(1, len(self._update(engines, later + 1.0,
                                             group=group)))

    def test_a_single_engine_serves_all(self):
        self.assertEqual(frozenset(), self._update(states(1)))


if __name__ == "__main__":
    unittest.main()
