"""Arrivals wait, briefly, while a newer generation is being fetched.

Refusing them instead would turn each of the day's changes into a burst
of refusals; judging them at once would judge by settings known to be
replaced.
"""

from crocuskeel.core import events
from crocuskeel.core.follower import state as states

__all__ = ["forget", "park", "release", "unpark"]

_PARKED_KINDS = (events.RequestArrived, events.ResumeArrived)


def park(daemon, event, now):
    """Keep an arrival if this host is behind; tell whether it did.

    Once the wait is over arrivals are judged, and found to meet a host
    that is not ready.
    """
    state = daemon.follower
    if type(event) not in _PARKED_KINDS or state.behind_since is None:
        return False
    if now - state.behind_since >= states.PARK_S:
        return False
    if len(state.parked) >= daemon.limits.max_requests:
        return False
    state.parked[event.rid] = event
    return True


def forget(daemon, event):
    """Drop the parked arrival of a caller who went; tell if it was."""
    if type(event) is not events.CallerGone:
        return False
    return daemon.follower.parked.pop(event.rid, None) is not None


def release(state):
    """Let parked arrivals be judged next."""
    state.released.extend(state.parked.values())
    state.parked.clear()


def unpark(daemon):
    """Return and forget the arrivals that may be judged now."""
    state = daemon.follower
    released = state.released
    state.released = []
    return released
