"""Prompt parts that caused crashes, told from those beside them."""

import sys
import unittest

from crocuskeel.core import part_causes
from tests.quarantine import crash_samples


def _crash(at, *lost):
    """Return a crash; each lost request is its digest and its parts."""
    return part_causes.Crash(at, tuple(
        part_causes.Lost(digest, frozenset(parts.split()))
        for digest, parts in lost))


def _attribute(*crashes, sound=()):
    return part_causes.attribute(
        dict(enumerate(crashes)), frozenset(sound).__contains__)


def _blamed(*crashes, sound=()):
    return [set(cause.parts) for cause in _attribute(*crashes, sound=sound)
            if not cause.is_suspect]


class _Id(str):
    """An id that counts how often sets and dicts look it up."""

    lookups = 0

    def __hash__(self):
        _Id.lookups += 1
        return super().__hash__()

    def __eq__(self, other):
        _Id.lookups += 1
        return super().__eq__(other)


def _work(count):
    """Attribute crashes; return bytecode steps, lookups of ids, causes."""
    crashes = {_Id(f"s{number}"): crash for number, crash in enumerate(
        crash_samples.many_crashes(count, _Id))}
    is_known_sound = frozenset(crash_samples.SOUND).__contains__
    steps = 0

    def trace(frame, event, arg):
        nonlocal steps
        if frame.f_code.co_filename == __file__:
            return None
        frame.f_trace_opcodes = True
        steps += event == "opcode"
        return trace

    _Id.lookups = 0
    former = sys.gettrace()
    sys.settrace(trace)
    try:
        found = part_causes.attribute(crashes, is_known_sound)
    finally:
        sys.settrace(former)
    return steps, _Id.lookups, [set(cause.parts) for cause in found]


class AttributeTest(unittest.TestCase):
    """What makes a part the cause."""

    def test_part_of_three_crashes_under_different_requests(self):
        crashes = [_crash(at, (f"r{at}", f"x common-{at}"))
                   for at in (1.0, 2.0, 3.0)]
        self.assertEqual([{"x"}], _blamed(*crashes))
        self.assertEqual([], _blamed(*crashes[:2]))

    def test_other_parts_beside_it_are_not_blamed(self):
        # A prompt that is queued at engine after engine, each of which ends.
        crashes = [_crash(at, (f"r{at}", "x a"), ("s", "b"), (f"t{at}", "c"))
                   for at in (1.0, 2.0, 3.0)]
        crashes.append(_crash(4.0, ("u", "x")))
        self.assertEqual([{"x"}], _blamed(*crashes))

    def test_part_that_was_sound_before_yields_to_a_new_one(self):
        crashes = [_crash(at, (f"r{at}", "x a")) for at in (1.0, 2.0, 3.0)]
        self.assertEqual([{"x"}], _blamed(*crashes, sound="a"))

    def test_part_that_was_sound_before_is_blamed_later(self):
        crashes = [_crash(at, (f"r{at}", "x")) for at in (1, 2, 3, 4, 5)]
        self.assertEqual([], _blamed(*crashes[:4], sound="x"))
        self.assertEqual([{"x"}], _blamed(*crashes, sound="x"))

    def test_parts_that_are_always_together_are_blamed_together(self):
        crashes = [_crash(at, (f"r{at}", "x y")) for at in (1, 2, 3)]
        self.assertEqual([{"x", "y"}], _blamed(*crashes))
        crashes.append(_crash(4, ("r4", "x")))
        self.assertEqual([{"x"}], _blamed(*crashes))

    def test_two_parts_that_crash_engines(self):
        crashes = [_crash(at, (f"r{at}", "x" if at % 2 else "y"))
                   for at in range(1, 7)]
        self.assertEqual([{"x"}, {"y"}], sorted(_blamed(*crashes),
                                                key=sorted))

    def test_part_stays_blamed_as_another_one_is(self):
        # The latter was in more crashes, some of them the former's; prompts
        # with the former ran again.
        crashes = [_crash(at, (f"r{at}", "x")) for at in (1, 2)]
        crashes += [_crash(at, (f"r{at}", "x"), (f"s{at}", "y"))
                    for at in (3, 4)]
        crashes += [_crash(at, (f"s{at}", "y")) for at in (5, 6, 7)]
        self.assertEqual([{"x"}, {"y"}], sorted(_blamed(*crashes),
                                                key=sorted))

    def test_sound_part_in_the_crashes_of_two_others(self):
        # While no engine is left for long, it is in most crashes.
        crashes = [_crash(at, (f"r{at}", "x" if at % 2 else "y"),
                          (f"s{at}", "a")) for at in range(1, 11)]
        self.assertEqual([{"x"}, {"y"}], sorted(
            _blamed(*crashes, sound="a"), key=sorted))

    def test_request_that_is_sent_again_is_no_proof(self):
        # It crashes engines, whatever its prompt shares with others.
        crashes = [_crash(at, ("r", "x")) for at in (1, 2, 3, 4)]
        self.assertEqual((), _attribute(*crashes))
        crashes.append(_crash(5, ("s", "x")))
        self.assertEqual((), _attribute(*crashes))

    def test_servers_that_end_together_blame_nothing(self):
        crashes = [_crash(1.0 + number / 100, (f"r{number}", "x a"))
                   for number in range(20)]
        self.assertEqual([], _blamed(*crashes))
        self.assertEqual([], _blamed(*crashes, sound=("x", "a")))
        again = [_crash(5.0 + number / 100, (f"s{number}", "x a"))
                 for number in range(20)]
        self.assertEqual([], _blamed(*crashes, *again, sound=("x", "a")))

    def test_new_part_in_many_crashes_at_once_is_a_suspect(self):
        # Of eight requests at once each takes an engine down; nothing is
        # known of their part but that no prompt with it was answered.
        crashes = [_crash(1.0 + number / 100, (f"r{number}", "x a"))
                   for number in range(6)]
        (suspect,) = _attribute(*crashes, sound="a")
        self.assertEqual((True, {"x"}), (suspect.is_suspect, suspect.parts))
        crashes.append(_crash(3.0, ("trial", "x a")))
        self.assertEqual([{"x"}], _blamed(*crashes, sound="a"))

    def test_each_run_after_a_refusal_counts(self):
        rows = [_crash(at, (f"r{at}", "x")) for at in (1, 2, 3, 63, 183)]
        (cause,) = _attribute(*rows)
        self.assertEqual((3, 183), (cause.rounds, cause.last_at))

    def test_many_crashes_take_few_steps(self):
        # Each host that hears of a crash attributes all that it knows; the
        # work must not grow with the square of that. The CPU time is a
        # figure of bench.attribution_figures.
        steps, lookups, found = _work(256)
        self.assertEqual([{"x"}], found)
        self.assertLess(steps, 600_000)
        self.assertLess(lookups, 100_000)
        half_steps, half_lookups, _ = _work(128)
        self.assertLess(steps, 2.2 * half_steps)
        self.assertLess(lookups, 2.2 * half_lookups)


if __name__ == "__main__":
    unittest.main()
