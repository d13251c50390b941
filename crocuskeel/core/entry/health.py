"""What outcomes tell of a backend server, without asking it.

A health probe can lie, and is billed; requests don't lie. A server that
can't be reached or ends connections is left alone for a while, each time
longer; one that fails some of its requests becomes dearer to choose.
"""

import math

__all__ = ["failed", "failing", "heard", "succeeded", "timed", "unreached"]

# Weight of a new outcome: about the last eight count.
OUTCOME_WEIGHT = 0.12
PACE_WEIGHT = 0.15
# A server that slowed down by this much is as good as gone.
SLOWNESS_MOST = 8.0
# A server that fails gets few requests, by which it could show that it
# does so no more: what it failed counts less and less, s. Faults of
# single servers last for some seconds.
FORGET_S = 10.0
# How long a server is left alone after its first strike, s, and at
# most: engines that crash are back after some seconds.
SUSPECT_S = 0.5
SUSPECT_MOST_S = 4.0


def heard(state, now):
    """Note any sign of life."""
    state.heard_at = now


def succeeded(state, now):
    """Note a good answer."""
    _outcome(state, 0.0, now)
    heard(state, now)
    state.strikes = 0
    state.suspect_until = 0.0
    state.unreached = False


def failed(state, now):
    """Note an answer that reports a failure of the server."""
    _outcome(state, 1.0, now)
    heard(state, now)


def unreached(state, now):
    """Note a connection that could not be had, or broke."""
    _outcome(state, 1.0, now)
    if state.suspect_until > now:
        # Requests that were under way when it went say nothing new.
        return
    span = min(SUSPECT_MOST_S, SUSPECT_S * 2 ** state.strikes)
    state.strikes += 1
    state.suspect_until = now + span


def timed(state, took_s, expected_s):
    """Learn a server's pace from a first token or an answer."""
    ratio = min(SLOWNESS_MOST, max(1.0, took_s / max(expected_s, 0.02)))
    state.slowness += PACE_WEIGHT * (ratio - state.slowness)


def failing(state, now):
    """Return the share of requests that a server is expected to fail."""
    return state.failing * math.exp((state.judged_at - now) / FORGET_S)


def _outcome(state, bad, now):
    state.failing = failing(state, now)
    state.failing += OUTCOME_WEIGHT * (bad - state.failing)
    state.judged_at = now
