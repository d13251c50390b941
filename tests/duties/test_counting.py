"""Usage counts: one set per window, whatever host fails at what time."""

import unittest

from crocuskeel.core.duties import clock
from crocuskeel.core.duties import counting
from crocuskeel.core.duties import handover as handovers
from tests.duties import world as worlds

WORKSPACES = ("hire", "tours", "chain")


def begin_requests(world):
    """Have each host begin a request in most steps, of a random workspace."""
    for name in world.hosts:
        if world.rng.random() < 0.6:
            world.begin_request(name, world.rng.choice(WORKSPACES))


def max_error(world, window):
    """Return the largest relative error of a window's reported counts."""
    reported = world.reports().get(window, {})
    return max(abs(reported.get(workspace, 0) - count) / count
               for workspace, count in world.true_counts[window].items())


def whole_windows(world):
    """Return the windows with traffic throughout whose reports are due."""
    last = int((world.wall() - 10) // worlds.REPORT_S)
    return [window for window in sorted(world.true_counts)[1:]
            if window < last]


class UsageTest(unittest.TestCase):
    """Reported counts, compared with the requests that engines began."""

    def _world(self, **kwargs):
        world = worlds.World(**kwargs)
        world.run(12)
        world.run(18, begin_requests)
        return world

    def _check(self, world, limit, except_windows=()):
        self.assertEqual([], worlds.platform_faults(world))
        windows = [window for window in whole_windows(world)
                   if window not in except_windows]
        self.assertGreater(len(windows), 4)
        for window in windows:
            self.assertLessEqual(max_error(world, window), limit, window)

    def test_without_faults_every_request_counts_once(self):
        world = self._world()
        world.run(30, begin_requests)
        self._check(world, 0.0)

    def test_windows_of_a_killed_holder_are_reported(self):
        # The holder is killed right before or after the end of a window.
        # Guards against a window that is not reported, or is reported
        # without the counts of other hosts.
        for moment in (4.6, 5.2, 7.4, 7.8):
            with self.subTest(moment=moment):
                world = self._world()
                to_window = worlds.REPORT_S - world.wall() % worlds.REPORT_S
                world.run(to_window + moment, begin_requests)
                world.kill(world.holder(), 2.0)
                world.run(40, begin_requests)
                # The counts of a host's last third of a second are lost.
                self._check(world, 0.05)

    def test_windows_after_all_hosts_were_lost(self):
        # All hosts lose power. Windows that ended before must be reported,
        # also if they were decided but not yet sent.
        world = self._world()
        to_window = worlds.REPORT_S - world.wall() % worlds.REPORT_S
        world.run(to_window + 2.6, begin_requests)
        window = int(world.wall() // worlds.REPORT_S)
        for name in world.hosts:
            world.kill(name, 1.5)
        world.run(40, begin_requests)
        self._check(world, 0.05, except_windows=(window,))
        self.assertIn(window, world.reports())

    def test_clocks_that_jump(self):
        # The clocks of a third of the hosts, including the holder, jump by
        # seconds. Guards against requests counted in another window.
        for skew in (-4.0, 3.0):
            with self.subTest(skew=skew):
                world = self._world()
                world.hosts[world.holder()].skew = skew
                world.hosts["h0"].skew = skew
                world.run(40, begin_requests)
                self._check(world, 0.05)

    def test_lost_responses_don_t_change_a_report(self):
        world = self._world()
        for host in world.hosts.values():
            host.cloud = "lost"
        world.run(12, begin_requests)
        for host in world.hosts.values():
            host.cloud = "well"
        world.run(30, begin_requests)
        self._check(world, 0.0)


class TableTest(unittest.TestCase):
    """Tables are merged by the larger count."""

    def test_rows_received_twice_or_late_count_once(self):
        table = {}
        counting.merge(table, ((7, (("hire", 5), ("tours", 1))),))
        counting.merge(table, ((7, (("hire", 3),)),))
        counting.merge(table, ((7, (("hire", 5), ("tours", 2))),))
        self.assertEqual({7: {"hire": 5, "tours": 2}}, table)
        self.assertEqual({"hire": 10, "tours": 4}, counting.total(
            [table, table], 7))

    def test_old_windows_go_with_their_tables(self):
        tables = {("a", 1): {3: {"hire": 1}}, ("b", 1): {3: {}, 8: {}}}
        counting.prune(tables, 5)
        self.assertEqual({("b", 1): {8: {}}}, tables)


class HandoverRecordTest(unittest.TestCase):
    """The record that one holder hands over to the next."""

    def test_it_is_read_as_written(self):
        state = handovers.HandoverState(4, {5: {"hire": 2}}, {
            ("scale", "llm", "perth-a", True): 7})
        tables = {("h0", 3): {5: {"hire": 2}, 6: {"hire": 1}}}
        found, rows = handovers.read(handovers.write(state, tables))
        self.assertEqual(state, found)
        self.assertEqual([("h0", 3, [(6, (("hire", 1),))])], rows)

    def test_the_record_of_another_writer_is_refused(self):
        for record in (7, [], "x", {}, {"done": 1, "decided": [],
                                        "asked": [], "tables": []},
                       {"done": 1, "decided": {"x": {}}, "asked": [],
                        "tables": []},
                       {"done": [], "decided": {}, "asked": [],
                        "tables": []},
                       {"done": 1, "decided": {"7": {"hire": "two"}},
                        "asked": [], "tables": []},
                       {"done": 1, "decided": {}, "asked": [["a", None]],
                        "tables": []}):
            with self.subTest(record=record):
                with self.assertRaises(ValueError):
                    handovers.read(record)


class TimeTest(unittest.TestCase):
    """The wall clock time that hosts agree on."""

    def test_the_median_of_the_hosts_clocks(self):
        offsets = {}
        for name, wall in (("a", 5000.0), ("b", 5000.1), ("c", 4000.0)):
            clock.add_reading(offsets, name, wall, 100.0)
        self.assertAlmostEqual(5001.0, clock.wall_time(offsets, 101.0))
        self.assertIsNone(clock.wall_time(offsets, 200.0))


if __name__ == "__main__":
    unittest.main()
