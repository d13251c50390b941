"""Floors and fairness: nobody starves, nobody is crowded out."""

import unittest

from crocuskeel.core import dispatch
from tests.dispatch import support

SERVICE_S = 1.0
STEP_S = 0.125
FLOORS = {"ramp": (1, 0.3), "trip": (2, 0.1), "waiver": (3, 0.05)}


class FloorsTest(unittest.TestCase):
    """Every class with waiting work gets its share, within its bound."""

    def test_wait_is_bounded_at_five_times_overload(self):
        """Lower classes are served while the top tier is overloaded.

        A visitor's waiver is asked for on a morning when briefings come
        at five times what the engines can do. By strict tiers alone it
        waits until the rush is over. The floor gives its class a grant
        within the stated bound.
        """
        bench = support.new_bench(count=2)
        gaps = self._overload(bench, rounds=800)
        for name, (_tier, floor) in FLOORS.items():
            bound = dispatch.wait_bound(
                floor, len(FLOORS), slots=16, longest_s=SERVICE_S)
            self.assertGreater(len(gaps[name]), 5, name)
            self.assertLessEqual(max(gaps[name]), bound + STEP_S, name)

    def test_share_of_grants_is_at_least_the_floor(self):
        """A class gets its floor of all grants, not only its first.

        Waivers are written now and then while briefings rush in, yet
        their queue grows all morning: the credit of a class is lost
        between two grants.
        """
        bench = support.new_bench(count=2)
        gaps = self._overload(bench, rounds=800)
        total = sum(len(grants) for grants in gaps.values())
        for name, (_tier, floor) in FLOORS.items():
            share = len(gaps[name]) / total
            self.assertGreaterEqual(share, 0.95 * floor, name)

    def _overload(self, bench, rounds):
        """Return the gaps between grants by class, in seconds."""
        last = dict.fromkeys(FLOORS, bench.now)
        gaps = {name: [] for name in FLOORS}
        ends = {}
        for step in range(rounds):
            self._arrive(bench, step)
            for key, end in list(ends.items()):
                if end <= bench.now:
                    del ends[key]
                    support.finish(bench, key)
            support.advance(bench, STEP_S)
            for key in bench.running.keys() - ends.keys():
                name = bench.asked[key].class_name
                gaps[name].append(bench.now - last[name])
                last[name] = bench.now
                ends[key] = bench.now + SERVICE_S
        return gaps

    def _arrive(self, bench, step):
        # Two engines of 8 slots end 2 a step; the top tier asks for 10.
        for number in range(10):
            support.ask(bench, f"r{step}.{number}", class_name="ramp",
                        tier=1, floor=0.3, deadline_in_s=8.0)
        for name in ("trip", "waiver"):
            tier, floor = FLOORS[name]
            support.ask(bench, f"{name}{step}", class_name=name, tier=tier,
                        floor=floor, deadline_in_s=60.0)


class FairnessTest(unittest.TestCase):
    """Workspaces and classes of one tier share the grants."""

    def test_bursting_workspace_does_not_hold_up_another(self):
        """A small workspace is served while a large one floods.

        A school posts its whole term's plans at once; a guide of another
        workspace then waits behind all of them if the class is served
        in order of arrival.
        """
        bench = support.new_bench(count=1)
        for number in range(90):
            support.ask(bench, f"flood{number}", workspace="school")
        support.ask(bench, "guide", workspace="swan")
        ended = 0
        while ("guide", 1) not in bench.running:
            support.finish(bench, next(iter(bench.running)))
            ended += 1
        self.assertLessEqual(ended, 8)

    def test_bursting_class_does_not_hold_up_its_tier(self):
        """A briefing is served while safety questions flood its tier.

        Both are of the top tier, so tiers don't tell them apart; in
        order of arrival the briefing would be the last of all.
        """
        bench = support.new_bench(count=1)
        for number in range(90):
            support.ask(bench, f"flood{number}", class_name="safety",
                        floor=0.0)
        support.ask(bench, "ramp", class_name="ramp", floor=0.0)
        ended = 0
        while ("ramp", 1) not in bench.running:
            support.finish(bench, next(iter(bench.running)))
            ended += 1
        self.assertLessEqual(ended, 12)


if __name__ == "__main__":
    unittest.main()
