"""Samples of crashes under prompts, for tests and ``bench``."""

from crocuskeel.core import part_causes

__all__ = ["SOUND", "many_crashes"]

# Parts of the prompts of many_crashes that were answered before.
SOUND = ("a0", "a1")


def many_crashes(count, new_id=str):
    """Return crashes of six prompts each, of which ``x`` is the cause.

    Each prompt has three parts of its crash alone, ``x`` and one of nine
    common parts. ``new_id(text)`` returns the id of a part or request.
    """
    return [part_causes.Crash(number, tuple(
        part_causes.Lost(new_id(f"r{number}-{each}"), frozenset(map(new_id, (
            *(f"p{number}-{part}" for part in range(3)),
            "x", f"a{(number + each) % 9}"))))
        for each in range(6))) for number in range(count)]
