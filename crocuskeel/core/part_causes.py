"""Which parts of prompts caused crashes, by the prompts in progress in each.

An engine may crash on each prompt that has a certain part, while the requests
are otherwise all different. Such a part is in each of the crashes that it
causes, and no prompt with it is ever answered. Other parts are in as many
crashes beside it, but prompts with them are answered meanwhile, which takes
the crashes before that off their count.

Crashes at one moment count as one event: when many engines fail together,
each part in use is in several crashes. A part that is new and in many of them
is a suspect then.
"""

import collections
import dataclasses
import itertools

__all__ = ["Cause", "Crash", "Lost", "attribute"]

# Crashes that began within this time of the first of them are one event, s.
EVENT_S = 0.25
# Events after which a part is a cause: one of which no prompt was answered
# yet, and one that was sound before, whose answers may be under way.
MIN_EVENTS = 3
MIN_EVENTS_IF_SOUND = 5
# So many crashes within two events do as well for a part of which no prompt
# was answered; within one, they make it a suspect.
MANY_CRASHES = 5
# So many events must be left to it that no other cause explains.
MIN_UNEXPLAINED = 2
# So many crashes are without the one request that was in most of them:
# otherwise that request may be the cause.
MIN_OTHER_CRASHES = 2
# A pause between crashes that is longer than this began with a refusal, s.
ROUND_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """A request lost in a crash, and parts of its prompt."""

    digest: str
    parts: frozenset


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash at ``at``, and the Lost requests that may have caused it."""

    at: float
    lost: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """Parts that were in the same crashes: any of them may be the cause.

    ``crashes`` holds their keys, ``last_at`` is the time of the latest.
    ``rounds`` counts the times that prompts with the parts were let run.
    Suspects may also have been in use at servers that failed together.
    """

    parts: frozenset
    crashes: frozenset
    last_at: float
    rounds: int
    is_suspect: bool = False


def attribute(crashes, is_known_sound):
    """Return the Causes of crashes.

    ``crashes`` maps the key of each to the Crash. ``is_known_sound(part)``:
    prompts with the part were answered at some time; others come first. A
    further cause needs crashes that those before it don't explain.
    """
    rows = _rows_by_part(crashes)
    scores = {part: _score(rows[part], crashes, is_known_sound(part))
              for part in rows}
    found = []
    while True:
        causes = {
            part: (not is_known_sound(part), scores[part], len(keys))
            for part, keys in rows.items() if scores[part] >= 1 and (
                not found or _is_left(keys, crashes))}
        if not causes:
            break
        found.append(_strongest(causes, rows, crashes))
        rows = _without(rows, found[-1].crashes)
    suspects = {
        part: (scores[part], len(keys)) for part, keys in rows.items()
        if 0 < scores[part] < 1 and len(keys) >= MANY_CRASHES
        and not is_known_sound(part)}
    if suspects:
        found.append(_strongest(suspects, rows, crashes, is_suspect=True))
    return tuple(found)


def _strongest(ranks, rows, crashes, is_suspect=False):
    """Return the Cause of the highest rank, with the parts that tie."""
    best = max(ranks, key=lambda part: (ranks[part], part))
    alike = frozenset(part for part in ranks if ranks[part] == ranks[best]
                      and rows[part].keys() == rows[best].keys())
    times = sorted(crashes[key].at for key in rows[best])
    rounds = 1 + sum(later - earlier > ROUND_S
                     for earlier, later in itertools.pairwise(times))
    return Cause(alike, frozenset(rows[best]), times[-1], rounds, is_suspect)


def _is_left(keys, crashes):
    """Return whether enough crashes of a part are not yet explained."""
    return _count_events(crashes[key].at for key in keys) >= MIN_UNEXPLAINED


def _without(rows, explained):
    return {part: left for part, keys in rows.items() if (left := {
        key: requests for key, requests in keys.items()
        if key not in explained})}


def _rows_by_part(crashes):
    """Return the keys of each part's crashes with the lost requests."""
    rows = collections.defaultdict(lambda: collections.defaultdict(set))
    for key, crash in crashes.items():
        for lost in crash.lost:
            for part in lost.parts:
                rows[part][key].add(lost.digest)
    return rows


def _score(rows, crashes, is_sound):
    """Return the events of a part, relative to how many make it a cause."""
    requests = collections.Counter(itertools.chain(*rows.values()))
    if len(rows) - max(requests.values()) < MIN_OTHER_CRASHES:
        return 0.0
    events = _count_events(crashes[key].at for key in rows)
    if is_sound:
        return events / MIN_EVENTS_IF_SOUND
    if events > 1 and len(rows) >= MANY_CRASHES:
        return max(1.0, events / MIN_EVENTS)
    return events / MIN_EVENTS


def _count_events(times):
    count = 0
    began_at = None
    for at in sorted(times):
        if began_at is None or at > began_at + EVENT_S:
            began_at = at
            count += 1
    return count
