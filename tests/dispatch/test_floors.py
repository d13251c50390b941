"""Floors and fairness: no class or workspace is starved."""

import unittest

from crocuskeel.core import dispatch
from tests.dispatch import support

SERVICE_S = 1.0
STEP_S = 0.125
FLOORS = {"ramp": (1, 0.3), "trip": (2, 0.1), "waiver": (3, 0.05)}


class FloorsTest(unittest.TestCase):
    """Every class with waiting work gets its share within its wait bound."""

    def test_wait_is_bounded_at_five_times_overload(self):
        """Lower tiers get grants while the top tier is overloaded.

        Requests of the top tier arrive at five times the engines'
        capacity. With strict tiers alone, the others would wait until the
        overload ends. The floor gives each class a grant within the
        computed bound.
        """
        harness = support.new_harness(count=2)
        gaps = self._overload(harness, rounds=800)
        for name, (_tier, floor) in FLOORS.items():
            bound = dispatch.max_grant_gap_s(
                floor, len(FLOORS), slots=16, longest_s=SERVICE_S)
            self.assertGreater(len(gaps[name]), 5, name)
            self.assertLessEqual(max(gaps[name]), bound + STEP_S, name)

    def test_share_of_grants_is_at_least_the_floor(self):
        """A class gets its floor of all grants, not only a first grant.

        If the credit of a class were lost between two grants, its queue
        would grow as long as the top tier is overloaded.
        """
        harness = support.new_harness(count=2)
        gaps = self._overload(harness, rounds=800)
        total = sum(len(grants) for grants in gaps.values())
        for name, (_tier, floor) in FLOORS.items():
            share = len(gaps[name]) / total
            self.assertGreaterEqual(share, 0.95 * floor, name)

    def _overload(self, harness, rounds):
        """Overload the top tier; return seconds between grants by class."""
        last = dict.fromkeys(FLOORS, harness.now)
        gaps = {name: [] for name in FLOORS}
        ends = {}
        for step in range(rounds):
            self._enqueue_step(harness, step)
            for key, end in list(ends.items()):
                if end <= harness.now:
                    del ends[key]
                    support.end_attempt(harness, key)
            support.advance(harness, STEP_S)
            for key in harness.running.keys() - ends.keys():
                name = harness.enqueued[key].class_name
                gaps[name].append(harness.now - last[name])
                last[name] = harness.now
                ends[key] = harness.now + SERVICE_S
        return gaps

    def _enqueue_step(self, harness, step):
        # Two engines of 8 slots complete 2 attempts per step; the top tier
        # enqueues 10.
        for number in range(10):
            support.enqueue(harness, f"r{step}.{number}", class_name="ramp",
                            tier=1, floor=0.3, deadline_in_s=8.0)
        for name in ("trip", "waiver"):
            tier, floor = FLOORS[name]
            support.enqueue(
                harness, f"{name}{step}", class_name=name, tier=tier,
                floor=floor, deadline_in_s=60.0)


class FairnessTest(unittest.TestCase):
    """Workspaces and classes of one tier share the grants fairly."""

    def test_bursting_workspace_does_not_hold_up_another(self):
        """A workspace is served although another one enqueues a burst.

        In order of arrival its request would wait behind the whole burst.
        """
        harness = support.new_harness(count=1)
        for number in range(90):
            support.enqueue(harness, f"flood{number}", workspace="school")
        support.enqueue(harness, "guide", workspace="swan")
        ended = 0
        while ("guide", 1) not in harness.running:
            support.end_attempt(harness, next(iter(harness.running)))
            ended += 1
        self.assertLessEqual(ended, 8)

    def test_bursting_class_does_not_hold_up_its_tier(self):
        """A class is served although another one of its tier bursts.

        Tiers don't separate the two, and in order of arrival its request
        would be the last.
        """
        harness = support.new_harness(count=1)
        for number in range(90):
            support.enqueue(harness, f"flood{number}", class_name="safety",
                            floor=0.0)
        support.enqueue(harness, "ramp", class_name="ramp", floor=0.0)
        ended = 0
        while ("ramp", 1) not in harness.running:
            support.end_attempt(harness, next(iter(harness.running)))
            ended += 1
        self.assertLessEqual(ended, 12)


if __name__ == "__main__":
    unittest.main()
