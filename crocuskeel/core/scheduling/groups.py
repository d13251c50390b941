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

__all__ = ["Group", "engines_needed", "interactive_gap_s",
           "interactive_streams", "is_interactive", "new_group", "note_gap",
           "note_stream", "update"]

# A class is interactive if it allows pauses of at most this share of the
# longest pause that a class of the service allows: long prompts with the
# longest one may be prefilled without a pause then.
SHORT_GAP_SHARE = 0.3
# Share of its time that an engine of the group may prefill, by the allowed
# pause as a share of that during continuous prefill: with the second share or
# more the pauses do no harm, at the first one any slowed machine makes streams
# late that pause for prefill.
PAUSE_RATIOS = (1.0, 1.15)
PREFILL_SHARES = (0.1, 0.8)
FIRST_PREFILL_SHARE = 0.2
# Weight of one stream in the means of its class, and the first values:
# tokens to prefill, and s from the first event to the last.
STREAM_WEIGHT = 0.05
FIRST_TOKENS = 1_000.0
FIRST_DURATION_S = 2.0
# The group has the largest size that was needed within this span, s: chats
# end within seconds, and an engine that long prompts have entered is of no use
# to them until these are prefilled.
PEAK_S = 10.0
# Greatest share of the engines that the group may have: the other classes'
# prompts need more prefill than the interactive ones.
MAX_GROUP_SHARE = 0.25
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
    number of engines that was needed, at ``peak_at``.
    """

    sids: frozenset = frozenset()
    # By engine: the number of gaps between events and their mean, s.
    gaps: dict = dataclasses.field(default_factory=dict)
    updated_at: float = -math.inf
    # Means of the interactive streams that ended at this host.
    mean_tokens: float = FIRST_TOKENS
    mean_s: float = FIRST_DURATION_S
    peak: float = 0.0
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


def note_stream(group, tokens, duration_s):
    """Sample a stream that ended: the tokens prefilled for it, and its time.

    All hosts count the same streams at the engines, and their means are
    alike, so they agree on the size of the group. Rates of arrivals would
    differ: a host gets a few such requests a second.
    """
    group.mean_tokens += STREAM_WEIGHT * (tokens - group.mean_tokens)
    group.mean_s += STREAM_WEIGHT * (max(0.1, duration_s) - group.mean_s)


def engines_needed(group, streams, rate, pause_s, gap_s):
    """Return how many engines so many interactive streams need.

    An engine prefills ``rate`` tokens a second. ``pause_s`` is a stream's
    pause during continuous prefill, or None if that isn't known.
    """
    share = FIRST_PREFILL_SHARE
    if pause_s:
        low, high = PAUSE_RATIOS
        least, most = PREFILL_SHARES
        part = (gap_s / pause_s - low) / (high - low)
        share = least + (most - least) * min(1.0, max(0.0, part))
    tokens_per_s = streams * group.mean_tokens / group.mean_s
    return tokens_per_s / (rate * share)


def update(group, needed, find_engines, now):
    """Return the ids of the group's engines, recomputed at intervals.

    ``find_engines()`` returns the ServerStates that can serve now, and
    ``needed(engines)`` how many the streams at these need.
    """
    if now < group.updated_at + UPDATE_S:
        return group.sids
    group.updated_at = now
    engines = find_engines()
    count = needed(engines)
    if count >= group.peak or now > group.peak_at + PEAK_S:
        group.peak, group.peak_at = count, now
    if len(engines) < 2:
        group.sids = frozenset()
        return group.sids
    ranked = _ranked(engines, _slow(group, engines))
    largest = max(1, math.floor(MAX_GROUP_SHARE * len(engines)))
    size = min(largest, max(1, math.ceil(group.peak)))
    group.sids = frozenset(state.server.sid for state in ranked[:size])
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


def interactive_streams(state, gap_s):
    """Return the streams of all hosts there with pauses up to ``gap_s``."""
    return sum(streams for counts in (state.streams_by_gap,
                                      state.peer_loads.streams_by_gap)
               for (_, gap_ms), streams in counts.items()
               if gap_ms <= round(gap_s * 1000))
