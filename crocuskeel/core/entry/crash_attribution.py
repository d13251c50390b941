"""Which requests and prompt parts caused the crashes that a host knows of."""

import collections
import dataclasses
import math

from crocuskeel.core import crash_causes
from crocuskeel.core import part_causes

__all__ = ["causes", "is_explained_by_part"]

# A request in so many crashes may be a cause, whatever explains some of them.
MIN_OFTEN = 3


def causes(host):
    """Return the crash_causes.Causes of all known crashes."""
    known = host.crash_records
    if known.causes is None:
        parts = part_causes.attribute(
            _crashes_by_part(known), known.sound.__contains__)
        explained = {key for cause in parts for key in cause.crashes}
        found = crash_causes.attribute(
            crash.lost for key, crash in known.crashes.items()
            if key not in explained)
        known.causes = dataclasses.replace(
            found, parts=parts, suspects={
                **found.suspects, **_often_lost(known, explained, found)})
    return known.causes


def _often_lost(known, explained, found):
    """Return the excused requests that were in many crashes.

    What excuses them may as well have been beside them.
    """
    if not (explained or found.partly_excused):
        return {}
    counts = collections.Counter(
        digest for crash in known.crashes.values() for digest in crash.lost)
    excused = set(found.partly_excused).union(
        *(known.crashes[key].lost for key in explained))
    return {digest: counts[digest] for digest in excused
            if counts[digest] >= MIN_OFTEN and digest not in found.culprits}


def is_explained_by_part(host, incarnation):
    """Return whether a crash is due to a prompt part."""
    return any(incarnation in cause.crashes for cause in causes(host).parts)


def _crashes_by_part(known):
    """Return the part_causes.Crash of each in which prompts were lost.

    With the parts that were not sound since.
    """
    found = {}
    for incarnation, crash in known.crashes.items():
        lost = [row for digest, at in crash.lost.items()
                if digest in known.parts
                and (row := _lost(known, digest, at)).parts]
        if lost:
            found[incarnation] = part_causes.Crash(
                min(crash.lost.values()), tuple(lost))
    return found


def _lost(known, digest, at):
    return part_causes.Lost(digest, frozenset(
        key for key in known.parts[digest]
        if known.sound.get(key, -math.inf) < at))
