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

__all__ = ["harm", "heard", "late", "loud_s", "note_over",
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
    gap_ms = round(route.gap_s * 1000)
    state.gaps[gap_ms] = state.gaps.get(gap_ms, 0) + 1


def note_over(state, route):
    """Count it no more."""
    gap_ms = round(route.gap_s * 1000)
    left = state.gaps.get(gap_ms, 0) - 1
    if left > 0:
        state.gaps[gap_ms] = left
    else:
        state.gaps.pop(gap_ms, None)


def heard(state, ahead_s, now):
    """Note that an engine has prompts to read that take ``ahead_s``."""
    state.loud = max(ahead_s, loud_s(state, now))
    state.loud_at = now


def loud_s(state, now):
    """Return the pause that an engine's streams have to expect, s."""
    if not state.loud:
        return 0.0
    return state.loud * math.exp((state.loud_at - now) / LOUD_S)


def harm(state, ahead_s, more_s):
    """Return how many streams become late by one more prompt.

    ``ahead_s`` is the time to read what waits at the engine, ``more_s``
    that of the prompt.
    """
    found = 0.0
    for gaps in (state.gaps, state.others.gaps):
        for gap_ms, count in gaps.items():
            gap_s = gap_ms / 1000
            found += count * (late((ahead_s + more_s) / gap_s)
                              - late(ahead_s / gap_s))
    return found


def own_loss(state, route, first_s, now):
    """Return how likely a stream is late at an engine, 0 to 2.

    ``first_s`` is the time until its first event.
    """
    return (late(first_s / route.goal_s)
            + late(loud_s(state, now) / route.gap_s))


def sensitive(states, route, now):
    """Say whether long prompts are read that make such streams late."""
    loudest = max((loud_s(state, now) for state in states), default=0.0)
    return late(loudest / route.gap_s) > 0.0
