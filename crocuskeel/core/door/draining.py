"""Planned stop: nothing new comes in, nothing in progress is cut."""

from crocuskeel.core import effects

__all__ = ["asked", "step"]

MIN_DRAIN_S = 3.0


def asked(daemon, now):
    """Begin to drain; waiting and running requests go on."""
    if daemon.door.drain_at is not None:
        return []
    daemon.door.drain_at = now
    held = len(daemon.door.requests)
    return [effects.Record("drain_started", "", (("requests", held),))]


def step(daemon, now):
    """Exit once nothing is held here.

    Not at once even then: callers keep the locate answer a while, and
    those who still come must be told where to go.
    """
    door = daemon.door
    if door.drain_at is None or door.exited:
        return []
    if door.requests or door.relays or door.looks:
        return []
    if now - door.drain_at < MIN_DRAIN_S:
        return []
    door.exited = True
    return [effects.Record("drained"), effects.Exit()]
