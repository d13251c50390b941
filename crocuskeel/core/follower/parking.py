"""Holds arriving requests briefly while a newer generation is fetched.

Refusing them would turn each settings change of the day into a burst of
refusals; handling them immediately would apply settings that are known
to be outdated.
"""

from crocuskeel.core import events
from crocuskeel.core.follower import state as states

__all__ = ["drop_parked", "park", "release", "take_released"]

_PARKABLE_EVENTS = (events.RequestArrived, events.ResumeArrived)


def park(daemon, event, now):
    """Park an arrival if this host is behind; return whether it did.

    After ``MAX_PARK_S`` arrivals are no longer parked, and are refused
    because the host is not ready.
    """
    state = daemon.follower
    if type(event) not in _PARKABLE_EVENTS or state.behind_since is None:
        return False
    if now - state.behind_since >= states.MAX_PARK_S:
        return False
    if len(state.parked) >= daemon.limits.max_requests:
        return False
    state.parked[event.rid] = event
    return True


def drop_parked(daemon, event):
    """Drop the parked arrival of a caller that disconnected.

    Return whether there was one.
    """
    if type(event) is not events.CallerGone:
        return False
    return daemon.follower.parked.pop(event.rid, None) is not None


def release(state):
    """Release the parked arrivals for handling."""
    state.released.extend(state.parked.values())
    state.parked.clear()


def take_released(daemon):
    """Return the released arrivals and clear them."""
    state = daemon.follower
    released = state.released
    state.released = []
    return released
