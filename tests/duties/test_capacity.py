"""Tests of the planned engines, with replays of the worst load."""

import unittest

from bench import elastic
from crocuskeel.core.duties import capacity
from crocuskeel.core.duties import demand
from tests.duties import world as worlds

SCALING = worlds.scaling()
NAMES = ("perth-a", "perth-b", "bunbury")


def domains(spot=0, asked=0, dry=(), names=NAMES):
    """Return domains with the same engines in each."""
    return [capacity.Domain(name, spot, asked, dry=name in dry)
            for name in names]


def _plan(*args, policy=capacity.Policy(), **kwargs):
    return capacity.plan(*args, policy=policy, **kwargs)


def total(planned, spot):
    """Return the number of engines of a kind over all domains."""
    return sum(count for (_, kind), count in planned.items() if kind is spot)


class PlanTest(unittest.TestCase):
    """The engines that are planned for a need."""

    def test_spot_engines_with_room_for_a_burst(self):
        planned = _plan(SCALING, domains(), need=12, mean_need=8)
        self.assertEqual(
            (30, 0), (total(planned, True), total(planned, False)))

    def test_the_cheaper_domains_get_one_more(self):
        planned = _plan(SCALING, domains(), need=4.4, mean_need=3)
        self.assertEqual((4, 4, 3), tuple(
            planned[name, True] for name in ("perth-a", "bunbury", "perth-b")))

    def test_bounds_hold_in_each_domain(self):
        for need, most in ((0, 3), (1000, 60)):
            planned = _plan(SCALING, domains(), need, mean_need=0)
            self.assertEqual(most, total(planned, True))

    def test_both_kinds_have_places_together(self):
        planned = _plan(
            SCALING, domains(spot=0, asked=12), need=30, mean_need=12)
        for name in NAMES:
            self.assertLessEqual(planned[name, True] + 12, SCALING.max_engines)

    def test_the_mean_load_survives_the_loss_of_a_domain(self):
        # All spot engines of a domain are reclaimed within seconds. The
        # remaining engines must carry the mean load: with one domain that
        # requires regular engines, with three it requires none.
        for names in (NAMES[:1], NAMES[:2], NAMES):
            for mean_need in (2, 6, 10, 18):
                with self.subTest(names=names, mean_need=mean_need):
                    planned = _plan(
                        SCALING, domains(names=names), mean_need * 1.2,
                        mean_need)
                    lost = max(planned[name, True] for name in names)
                    left = (total(planned, True) + total(planned, False)
                            - lost)
                    places = SCALING.max_engines * len(names)
                    self.assertGreaterEqual(
                        left, min(mean_need, places - lost))

    def test_regular_engines_go_when_spot_ones_serve(self):
        # If one order replaced all engines at once, none would be serving.
        before = _plan(
            SCALING, domains(spot=0, asked=10), need=12, mean_need=8)
        self.assertEqual(30, total(before, False))
        after = _plan(
            SCALING, domains(spot=10, asked=10), need=12, mean_need=8)
        self.assertEqual(0, total(after, False))

    def test_unavailable_spot_engines_count_as_lost(self):
        planned = _plan(
            SCALING, domains(spot=1, dry=NAMES), need=12, mean_need=10)
        self.assertGreaterEqual(
            total(planned, False) + 3, 10)

    def test_an_operator_may_bound_the_share_of_spot_engines(self):
        planned = _plan(
            SCALING, domains(), need=12, mean_need=8,
            policy=capacity.Policy(spot_share=0.5))
        self.assertEqual((15, 15), (total(planned, True),
                                    total(planned, False)))

    def test_without_spot_engines(self):
        planned = _plan(worlds.scaling(spot_price=None),
                        domains(asked=10), need=12, mean_need=8)
        self.assertEqual({(name, False): 10 for name in NAMES}, planned)


class DemandTest(unittest.TestCase):
    """The estimate rises immediately and falls slowly."""

    def test_a_peak_is_kept_and_expires(self):
        service_demand = demand.new_demand()
        demand.sample(service_demand, [0.5] * 10, 100.0)
        demand.sample(service_demand, [0.1] * 10, 101.0)
        self.assertEqual(5.0, demand.peak_need(service_demand))
        demand.sample(service_demand, [0.1] * 10, 100.5 + demand.PEAK_KEPT_S)
        self.assertAlmostEqual(1.0, demand.peak_need(service_demand))

    def test_the_need_of_saturated_engines_exceeds_their_load(self):
        service_demand = demand.new_demand()
        demand.sample(service_demand, [0.9] * 10, 100.0)
        self.assertGreater(demand.peak_need(service_demand), 12.0)


class ReplayTest(unittest.TestCase):
    """Bursts of three times the work, with spot engines reclaimed."""

    DAY = elastic.Day(14.0, (
        elastic.Burst(0.5, 9.0, 3.2), elastic.Burst(20.0, 6.0, 2.6)),
        ((22.0, "c", 9.0),), 40.0)

    def test_a_burst_right_at_the_start(self):
        # Guards against late responses to a third of the long prompts of a
        # burst. It fills the operator's 30 engines within a second, and
        # more serve only four seconds after their order, which is too late
        # if the first order is given during the burst.
        result = elastic.play(self.DAY, elastic.by_use)
        without = elastic.play(self.DAY, elastic.never)
        self.assertEqual(0.0, result.lost)
        self.assertGreater(without.lost, 0.05)
        self.assertLess(result.cost, without.cost / 2)

    def test_a_reclaim_in_a_burst(self):
        for at in (0.5, 2.0, 4.0, 21.0, 24.0):
            with self.subTest(at=at):
                # The work of 34 engines; 40 engines remain.
                day = elastic.Day(10.5, self.DAY.bursts,
                                  ((at, "a", 9.0),), 40.0)
                result = elastic.play(day, elastic.by_use)
                self.assertLess(result.lost_in_bursts, 0.02)


if __name__ == "__main__":
    unittest.main()
