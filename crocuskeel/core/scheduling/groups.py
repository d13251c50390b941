"""Reserves some engines for streams that allow only short pauses.

The load: chats whose events must come every quarter of a second, beside
long prompts. An engine that prefills without a pause sends an event each
0.15 to 0.3 s, and several times that while its machine is slow, so a chat
of some seconds is late wherever long prompts are prefilled one after the
other. Without them it sends an event each 0.03 to 0.07 s.

All hosts compute the group from the same order of the engines and from the
streams that hosts report to each other, so they agree on all but the last
engine without a message.
"""

import collections
import dataclasses
import math

from crocuskeel.core.entry import model
from crocuskeel.core.entry import routing

__all__ = ["Group", "interactive_gap_s", "interactive_streams",
           "is_interactive", "new_group", "note_gap", "update"]

# A class is interactive if it allows pauses of at most this share of the
# longest pause that a class of the service allows: long prompts with the
# longest one may be prefilled without a pause then.
SHORT_GAP_SHARE = 0.3
# Share of an engine's slots that interactive streams may fill: with more of
# them an event takes half of the pause that they allow, as each step is
# longer and their own prompts are prefilled between steps.
SLOT_SHARE = 0.3
# The group follows the largest number of streams of this span, s: chats end
# within seconds, and an engine that long prompts have entered is of no use
# to them until these are prefilled.
PEAK_S = 10.0
# Greatest share of the engines that the group may have: the other classes'
# prompts need more prefill than the interactive ones.
MAX_GROUP_SHARE = 0.5
# An engine is slow if its streams' events take so many times as long as at
# the fastest one, while nothing is queued there for prefill. It joins last.
SLOW_GAP_FACTOR = 1.5
# Weight of one gap between events in an engine's mean, and the number of
# gaps before the mean counts: machines are slowed for some ten events.
GAP_WEIGHT = 0.02
MIN_GAPS = 40
# Interval at which the group is computed, s.
UPDATE_S = 0.25


@dataclasses.dataclass(slots=True)
class Group:
    """The engines of a service that interactive streams have to themselves.

    ``sids`` are their ids as of ``updated_at``; ``peak`` is the largest
    number of interactive streams, seen at ``peak_at``.
    """

    sids: frozenset = frozenset()
    # By engine: the number of gaps between events and their mean, s.
    gaps: dict = dataclasses.field(default_factory=dict)
    updated_at: float = -math.inf
    peak: int = 0
    peak_at: float = -math.inf


def new_group():
    """Return an empty group."""
    return Group()


def interactive_gap_s(routes):
    """Return the longest pause of an interactive class, or None.

    ``routes`` are those of one service.
    """
    gaps = {route.gap_s for route in routes
            if route.kind is model.Kind.STREAM}
    if not gaps:
        return None
    short = [gap for gap in gaps if gap <= SHORT_GAP_SHARE * max(gaps)]
    return max(short, default=None)


def is_interactive(route, gap_s):
    """Say whether a route's streams use the group; see interactive_gap_s."""
    return gap_s is not None and route.gap_s <= gap_s


def note_gap(group, sid, gap_s):
    """Sample the gap between two events while nothing is queued there."""
    count, mean = group.gaps.get(sid, (0, 0.0))
    count += 1
    weight = max(GAP_WEIGHT, 1 / count)
    group.gaps[sid] = count, mean + weight * (gap_s - mean)


def _slow(group, engines):
    """Return the ids of the engines that are known to be slow.

    Rates are no help: an engine of the group gets no long prompt by which
    its rate would show.
    """
    known = {}
    for state in engines:
        count, mean = group.gaps.get(state.server.sid, (0, 0.0))
        if count >= MIN_GAPS:
            known[state.server.sid] = mean
    fastest = min(known.values(), default=0.0)
    return {sid for sid, mean in known.items()
            if mean > SLOW_GAP_FACTOR * fastest}


def update(group, gap_s, find_engines, now):
    """Return the ids of the group's engines, recomputed at intervals.

    ``find_engines()`` returns the ServerStates that can serve now.
    """
    if now < group.updated_at + UPDATE_S:
        return group.sids
    group.updated_at = now
    engines = find_engines()
    streams = sum(interactive_streams(state, gap_s) for state in engines)
    if streams >= group.peak or now > group.peak_at + PEAK_S:
        group.peak, group.peak_at = streams, now
    if len(engines) < 2:
        group.sids = frozenset()
        return group.sids
    ranked = _ranked(engines, _slow(group, engines))
    group.sids = frozenset(
        state.server.sid for state in ranked[:_size(ranked, group.peak)])
    return group.sids


def _ranked(engines, slow):
    """Return engines in the order in which they join the group.

    One of each failure domain in turn, so that streams of all hosts find
    one in their own domain.
    """
    ordered = sorted(engines, key=lambda state: (
        state.server.sid in slow,
        routing.cached_unit_hash(state.server.sid, "interactive")))
    turns = collections.Counter()
    turn = {}
    for state in ordered:
        turn[state.server.sid] = turns[state.server.domain]
        turns[state.server.domain] += 1
    return sorted(ordered, key=lambda state: (
        state.server.sid in slow, turn[state.server.sid]))


def _size(engines, streams):
    slots = max(1.0, SLOT_SHARE * engines[0].server.slots)
    largest = max(1, math.floor(MAX_GROUP_SHARE * len(engines)))
    return min(largest, max(1, math.ceil(streams / slots)))


def interactive_streams(state, gap_s):
    """Return the streams of all hosts there with pauses up to ``gap_s``."""
    return sum(streams for counts in (state.streams_by_gap,
                                      state.peer_loads.streams_by_gap)
               for (_, gap_ms), streams in counts.items()
               if gap_ms <= round(gap_s * 1000))
