"""Properties under random traffic: tiers and slots."""

import unittest

import hypothesis
from hypothesis import strategies

from crocuskeel.core.dispatch import engine_selection
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


def _enqueue(harness, number, name, span):
    tier, floor = CLASSES[name]
    return support.enqueue(
        harness, f"{name}{number}", class_name=name, tier=tier, floor=floor,
        deadline_in_s=span, workspace=f"w{number % 3}", queue_limit=12,
        late_drop=name == "ramp")


class TiersTest(unittest.TestCase):
    """No attempt is refused in favor of one of a lower tier."""

    @_settings
    @hypothesis.given(_steps(("enqueue", "enqueue", "enqueue", "end", "wait")))
    def test_lower_tiers_are_refused_first(self, steps):
        """After a refusal, lower tiers keep only their protected queues.

        Otherwise an attempt is refused at its deadline while one of a
        lower tier keeps waiting for the same engines and gets the next
        slot a moment later.
        """
        harness = support.new_harness(
            count=1, limits=state.Limits(max_queue_per_cell=25))
        for index, (kind, number, name, span) in enumerate(steps):
            out = []
            if kind == "enqueue":
                out = _enqueue(harness, index, name, span)
            elif kind == "end" and harness.running:
                keys = sorted(harness.running)
                out = support.end_attempt(harness, keys[number % len(keys)])
            elif kind == "wait":
                out = support.advance(harness, number / 20)
            self._check(harness, out)

    def _check(self, harness, out):
        tiers = [harness.enqueued[(e.message.rid, e.message.attempt)].tier
                 for e in out if type(e) is effects.Send
                 and type(e.message) is messages.Refusal]
        if not tiers:
            return
        cell = support.cell_of(harness)
        slots = engine_selection.max_slots(harness.daemon, cell)
        for class_queue in cell.class_queues.values():
            if class_queue.tier > min(tiers):
                self.assertLessEqual(
                    class_queue.waiting_count,
                    floors.protected_queue_size(class_queue, slots))


class SlotsTest(unittest.TestCase):
    """Slots are neither leaked nor granted twice."""

    @_settings
    @hypothesis.given(_steps(
        ("enqueue", "enqueue", "end", "repeat", "withdraw", "register",
         "wait")))
    def test_no_slot_leaks_over_repeated_and_late_messages(self, steps):
        """Every slot is free after all attempts have ended.

        A duplicate or late message left a slot counted for an attempt that
        had already ended. Such leaks reduce the capacity until nothing is
        granted although the engines are idle.
        """
        harness = support.new_harness(count=2)
        sent = []
        for index, (kind, number, name, span) in enumerate(steps):
            self._step(harness, sent, kind, index, number, name, span)
            self._check_limits(harness)
        while harness.running:
            support.end_attempt(
                harness, next(iter(harness.running)), "cancelled")
        for message in sent:
            support.receive(harness, message)
        while harness.running:
            key = next(iter(harness.running))
            support.end_attempt(harness, key, "cancelled")
        cell = support.cell_of(harness)
        self.assertEqual({}, cell.running)
        self.assertEqual({}, cell.running_by_engine)
        self.assertEqual(0, cell.top_tier_running)

    def _step(self, harness, sent, kind, index, number, name, span):
        keys = sorted(harness.running)
        key = keys[number % len(keys)] if keys else None
        if kind == "enqueue":
            _enqueue(harness, index, name, span)
        elif kind == "end" and key:
            grant = harness.running[key]
            end = ENDS[number % len(ENDS)]
            sent.append(messages.Released(*key, support.CELL, grant.engine,
                                          end))
            support.end_attempt(harness, key, end)
        elif kind == "repeat" and sent:
            support.receive(harness, sent[number % len(sent)])
        elif kind == "withdraw" and key:
            harness.running.pop(key)
            sent.append(messages.Withdraw(*key, support.CELL))
            support.receive(harness, sent[-1])
        elif kind == "register":
            self._register(harness)
        elif kind == "wait":
            support.advance(harness, number / 20)

    def _register(self, harness):
        running = tuple(
            messages.Running(*key, support.CELL, grant.engine,
                             harness.enqueued[key].class_name,
                             harness.enqueued[key].workspace,
                             harness.enqueued[key].tier)
            for key, grant in harness.running.items())
        support.receive(
            harness, messages.Reregister(support.CELL, (), running))

    def _check_limits(self, harness):
        cell = support.cell_of(harness)
        for name, keys in cell.running_by_engine.items():
            view = limits.engine_view(harness.daemon, name)
            self.assertLessEqual(len(keys), view.max_limit)
        self.assertEqual(set(harness.running), set(cell.running))


if __name__ == "__main__":
    unittest.main()
