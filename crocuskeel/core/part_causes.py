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
    prompts with the part were answered at some time. The crashes that a cause
    explains count against no other part.
    """
    found = []
    while True:
        rows = _rows_by_part(crashes)
        scores = {part: _score(part, rows[part], crashes, is_known_sound)
                  for part in rows}
        causes = [part for part, score in scores.items() if score >= 1]
        suspects = [part for part, score in scores.items() if 0 < score < 1
                    and len(rows[part]) >= MANY_CRASHES
                    and not is_known_sound(part)]
        if not (causes or suspects):
            return tuple(found)
        first = max(causes or suspects, key=lambda part: (
            scores[part], len(rows[part]), part))
        alike = frozenset(part for part in causes or suspects
                          if scores[part] == scores[first]
                          and rows[part].keys() == rows[first].keys())
        cause = _cause(alike, {key: crashes[key].at for key in rows[first]},
                       not causes)
        found.append(cause)
        crashes = {key: crash for key, crash in crashes.items()
                   if key not in cause.crashes}


def _cause(parts, crash_times, is_suspect):
    times = sorted(crash_times.values())
    rounds = 1 + sum(later - earlier > ROUND_S
                     for earlier, later in itertools.pairwise(times))
    return Cause(parts, frozenset(crash_times), times[-1], rounds, is_suspect)


def _rows_by_part(crashes):
    """Return the keys of each part's crashes with the lost requests."""
    rows = collections.defaultdict(lambda: collections.defaultdict(set))
    for key, crash in crashes.items():
        for lost in crash.lost:
            for part in lost.parts:
                rows[part][key].add(lost.digest)
    return rows


def _score(part, rows, crashes, is_known_sound):
    """Return the events of a part, relative to how many make it a cause."""
    requests = collections.Counter(itertools.chain(*rows.values()))
    if len(rows) - max(requests.values()) < MIN_OTHER_CRASHES:
        return 0.0
    events = _count_events(crashes[key].at for key in rows)
    if is_known_sound(part):
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
