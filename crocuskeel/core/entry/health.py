"""The health of backend servers, inferred from outcomes of requests.

There are no health probes: a probe can succeed although requests fail, and
is billed. A server that can't be reached or ends connections is avoided for
a while, each time longer; one that fails some of its requests gets a higher
cost.
"""

import math

__all__ = ["current_failure_rate", "is_proven", "note_activity",
           "record_connection_failure", "record_duration", "record_failure",
           "record_success"]

# Weight of a new outcome in the moving average: about the last eight count.
OUTCOME_WEIGHT = 0.12
SLOWNESS_WEIGHT = 0.15
# Upper bound of the slowness: a server this slow is practically unusable.
MAX_SLOWNESS = 8.0
# Time constant by which the failure rate decays, s: a failing server gets few
# requests by which it could show that it has recovered. Faults of single
# servers last for some seconds.
FAILURE_DECAY_S = 10.0
# How long a server is avoided after its first connection failure, and at
# most, s: engines that crash are back after some seconds.
MIN_SUSPECT_S = 0.5
MAX_SUSPECT_S = 4.0


def note_activity(state, now):
    """Record any sign of life."""
    state.last_seen_at = now


def record_success(state, now):
    """Record a successful response."""
    _record_outcome(state, 0.0, now)
    note_activity(state, now)
    state.failure_count = 0
    state.suspect_until = 0.0
    state.unreachable_at = -math.inf


def record_failure(state, now):
    """Record a response that reports a failure of the server."""
    _record_outcome(state, 1.0, now)
    note_activity(state, now)


def record_connection_failure(state, now):
    """Record a connection that failed or broke."""
    _record_outcome(state, 1.0, now)
    if state.suspect_until > now:
        # Failures of requests that were in progress add no information.
        return
    duration_s = min(MAX_SUSPECT_S, MIN_SUSPECT_S * 2 ** state.failure_count)
    state.failure_count += 1
    state.suspect_until = now + duration_s


def is_proven(state):
    """Return whether a server was heard since its connections failed.

    One that was avoided for a while is tried again, and may still be down.
    """
    return (not state.failure_count
            or state.last_seen_at >= state.suspect_until)


def record_duration(state, took_s, expected_s):
    """Update a server's slowness by the time to first token or response."""
    ratio = min(MAX_SLOWNESS, max(1.0, took_s / max(expected_s, 0.02)))
    state.slowness += SLOWNESS_WEIGHT * (ratio - state.slowness)


def current_failure_rate(state, now):
    """Return the expected failure rate of a server."""
    return state.failure_rate * math.exp(
        (state.failure_rate_at - now) / FAILURE_DECAY_S)


def _record_outcome(state, failure, now):
    state.failure_rate = current_failure_rate(state, now)
    state.failure_rate += OUTCOME_WEIGHT * (failure - state.failure_rate)
    state.failure_rate_at = now
