"""Properties over random traffic: tiers and slots."""

import unittest

import hypothesis
from hypothesis import strategies

from crocuskeel.core.dispatch import choice
from crocuskeel.core.dispatch import floors
from crocuskeel.core.dispatch import limits
from crocuskeel.core import effects
from crocuskeel.core import messages
from crocuskeel.core import state
from tests.dispatch import support

CLASSES = {"ramp": (1, 0.2), "trip": (2, 0.1), "waiver": (3, 0.05)}
ENDS = ("done", "busy", "refused", "silent", "cancelled")
_settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150)


def _steps(kinds):
    step = strategies.tuples(
        strategies.sampled_from(kinds), strategies.integers(0, 40),
        strategies.sampled_from(sorted(CLASSES)),
        strategies.sampled_from((0.5, 2.0, 8.0)))
    return strategies.lists(step, min_size=20, max_size=120)


def _enqueue(bench, number, name, span):
    tier, floor = CLASSES[name]
    return support.ask(
        bench, f"{name}{number}", class_name=name, tier=tier, floor=floor,
        deadline_in_s=span, workspace=f"w{number % 3}", queue_limit=12,
        late_drop=name == "ramp")


class TiersTest(unittest.TestCase):
    """No higher tier is refused for the sake of a lower one."""

    @_settings
    @hypothesis.given(_steps(("ask", "ask", "ask", "end", "wait")))
    def test_lower_tiers_are_refused_first(self, steps):
        """When a tier is refused, lower ones hold only floor seats.

        A guide's briefing is refused at its deadline while a waiver goes
        on waiting for the same engines, and gets the slot that would
        have come too late for the briefing a moment later.
        """
        bench = support.new_bench(
            count=1, limits=state.Limits(max_queue_per_cell=25))
        for index, (kind, number, name, span) in enumerate(steps):
            out = []
            if kind == "ask":
                out = _enqueue(bench, index, name, span)
            elif kind == "end" and bench.running:
                keys = sorted(bench.running)
                out = support.finish(bench, keys[number % len(keys)])
            elif kind == "wait":
                out = support.advance(bench, number / 20)
            self._check(bench, out)

    def _check(self, bench, out):
        tiers = [bench.asked[(e.message.rid, e.message.attempt)].tier
                 for e in out if type(e) is effects.Send
                 and type(e.message) is messages.Refusal]
        if not tiers:
            return
        cell = support.cell_of(bench)
        slots = choice.most_slots(bench.daemon, cell)
        for group in cell.classes.values():
            if group.tier > min(tiers):
                self.assertLessEqual(
                    group.waiting, floors.seats(group, slots))


class SlotsTest(unittest.TestCase):
    """Slots are neither lost nor given twice."""

    @_settings
    @hypothesis.given(_steps(
        ("ask", "ask", "end", "again", "withdraw", "register", "wait")))
    def test_no_slot_leaks_over_repeated_and_late_messages(self, steps):
        """After all is over every slot is free again.

        Capacity shrinks day by day until the service stands still, with
        engines idle. A message that came twice or too late left a slot
        counted for an attempt that had long ended.
        """
        bench = support.new_bench(count=2)
        log = []
        for index, (kind, number, name, span) in enumerate(steps):
            self._step(bench, log, kind, index, number, name, span)
            self._check_limits(bench)
        while bench.running:
            support.finish(bench, next(iter(bench.running)), "cancelled")
        for message in log:
            support.receive(bench, message)
        while bench.running:
            key = next(iter(bench.running))
            support.finish(bench, key, "cancelled")
        cell = support.cell_of(bench)
        self.assertEqual({}, cell.running)
        self.assertEqual({}, cell.by_engine)
        self.assertEqual(0, cell.top_held)

    def _step(self, bench, log, kind, index, number, name, span):
        keys = sorted(bench.running)
        key = keys[number % len(keys)] if keys else None
        if kind == "ask":
            _enqueue(bench, index, name, span)
        elif kind == "end" and key:
            grant = bench.running[key]
            end = ENDS[number % len(ENDS)]
            log.append(messages.Released(*key, support.CELL, grant.engine,
                                         end))
            support.finish(bench, key, end)
        elif kind == "again" and log:
            support.receive(bench, log[number % len(log)])
        elif kind == "withdraw" and key:
            bench.running.pop(key)
            log.append(messages.Withdraw(*key, support.CELL))
            support.receive(bench, log[-1])
        elif kind == "register":
            self._register(bench)
        elif kind == "wait":
            support.advance(bench, number / 20)

    def _register(self, bench):
        held = tuple(
            messages.Running(*key, support.CELL, grant.engine,
                             bench.asked[key].class_name,
                             bench.asked[key].workspace,
                             bench.asked[key].tier)
            for key, grant in bench.running.items())
        support.receive(bench, messages.Reregister(support.CELL, (), held))

    def _check_limits(self, bench):
        cell = support.cell_of(bench)
        for name, held in cell.by_engine.items():
            view = limits.engine(bench.daemon, name)
            self.assertLessEqual(len(held), view.most)
        self.assertEqual(set(bench.running), set(cell.running))


if __name__ == "__main__":
    unittest.main()
