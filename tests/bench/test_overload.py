"""Tests of the overload benchmark: its load, and what it counts."""

import unittest
from unittest import mock

from bench import overload
from emulator import clock as clocks
from emulator import deployment as deployments
from emulator import hosts
from tests.emulator import test_run


class OverloadTest(unittest.TestCase):
    """Load is in proportion to engines; worth is of the load's time."""

    def test_load_and_engines_are_in_proportion(self):
        # Guards against a multiple that depends on the number of hosts.
        base = deployments.read("contended")
        for count in overload.HOSTS:
            with self.subTest(hosts=count):
                one, ten = (overload.scale(base, count, times, 60.0, None)
                            for times in overload.TIMES)
                self.assertLessEqual(one.engines.count, overload.MAX_ENGINES)
                self.assertAlmostEqual(
                    base.kinds[0].a_second / base.engines.count,
                    one.kinds[0].a_second / one.engines.count)
                self.assertAlmostEqual(
                    10 * one.kinds[0].a_second, ten.kinds[0].a_second)
                self.assertEqual(((), one.engines), (ten.faults, ten.engines))

    def test_worth_after_the_load_is_not_counted(self):
        # Guards against counting what engines do after the load has ended.
        clock = clocks.Clock(100.0)
        tally = overload._WindowTally(100.0, clock, 3.0)
        for clock.now in (102.0, 104.0):
            tally.record_outcome(mock.Mock(
                kind=test_run.CHAT, outcome="on time", at=101.0,
                first_event_at=101.2))
        self.assertEqual({"chat": 2.0}, tally.earned_in_time)

    def test_figures_follow_the_load(self):
        # Guards against a reducer that stays replaced.
        reduce = hosts.entry.reduce
        one, ten = (overload.measure(overload.scale(
            test_run.small(), 2, times, 3.0, None)) for times in (1.0, 10.0))
        self.assertIs(reduce, hosts.entry.reduce)
        self.assertAlmostEqual(one["worth_s"], sum(one["kinds"].values()),
                               delta=0.02)
        self.assertGreater(ten["requests"], 5 * one["requests"])
        self.assertGreater(ten["queued"], one["queued"])


if __name__ == "__main__":
    unittest.main()
