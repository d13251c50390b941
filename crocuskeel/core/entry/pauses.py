"""What reading a prompt does to the streams that run beside it.

An engine reads a prompt between the steps of its running streams, and
each of these pauses meanwhile. A stream whose pause is longer than its
route allows is late, however soon it began. So streams that allow short
pauses and prompts that take long to read are kept on different engines,
without a fixed split: a long prompt goes where it makes the fewest
streams late, and a stream where no long prompt was read lately. The
two sides grow and shrink with the work that there is, and where only
one engine is left, it serves all.
"""

import math

from crocuskeel.core.entry import pace

__all__ = ["count", "harm", "heard", "late", "loud_s", "note_over",
           "note_sent", "own_loss", "sensitive"]

# A pause is certain to be late at the longest that is allowed, and safe
# up to this share of it: estimates of reading times are off by a third.
SAFE_SHARE = 0.5
# For so long an engine that read a long prompt is expected to read the
# next one, s: streams run for one to three seconds.
LOUD_S = 2.0


def late(share):
    """Return how likely a pause is late that takes a share of its limit."""
    return min(1.0, max(0.0, (share - SAFE_SHARE) / (1.0 - SAFE_SHARE)))


def note_sent(state, route):
    """Count a stream that was sent to an engine."""
    count(state.gaps, _kind(route), 1)


def note_over(state, route):
    """Count it no more."""
    count(state.gaps, _kind(route), -1)


def _kind(route):
    return route.priority, round(route.gap_s * 1000)


def count(counts, kind, more):
    """Add to the counts of streams by (priority, pause in ms)."""
    left = counts.get(kind, 0) + more
    if left > 0:
        counts[kind] = left
    else:
        counts.pop(kind, None)


def heard(state, ahead_s, now):
    """Note that an engine has prompts to read that take ``ahead_s``."""
    state.loud = max(ahead_s, loud_s(state, now))
    state.loud_at = now


def loud_s(state, now):
    """Return the pause that an engine's streams have to expect, s."""
    if not state.loud:
        return 0.0
    return state.loud * math.exp((state.loud_at - now) / LOUD_S)


def harm(state, seen, ahead_s, more_s, least=math.inf):
    """Return how many streams become late by one more prompt.

    ``ahead_s`` is the time to read what waits at the engine, ``more_s``
    that of the prompt; ``seen`` is the Pace of the service. Counted are
    streams whose priority is ``least`` or more urgent.
    """
    found = 0.0
    for gaps in (state.gaps, state.others.gaps):
        for (priority, gap_ms), streams in gaps.items():
            gap_s = gap_ms / 1000
            if priority > least or not pace.pauses_longer(seen, gap_s):
                continue
            found += streams * (late((ahead_s + more_s) / gap_s)
                                - late(ahead_s / gap_s))
    return found


def own_loss(state, seen, route, now):
    """Return how likely a stream is late by its pauses at an engine."""
    if not pace.pauses_longer(seen, route.gap_s):
        return 0.0
    return late(loud_s(state, now) / route.gap_s)


def sensitive(states, seen, route, now):
    """Say whether long prompts are read that make such streams late."""
    if not pace.pauses_longer(seen, route.gap_s):
        return False
    loudest = max((loud_s(state, now) for state in states), default=0.0)
    return late(loudest / route.gap_s) > 0.0
