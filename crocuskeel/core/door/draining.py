"""Graceful shutdown: refuses new requests, lets those in progress finish."""

from crocuskeel.core import effects

__all__ = ["exit_when_idle", "start"]

MIN_DRAIN_S = 3.0


def start(daemon, now):
    """Start draining; waiting and running requests continue."""
    if daemon.door.drain_started_at is not None:
        return []
    daemon.door.drain_started_at = now
    request_count = len(daemon.door.requests)
    return [effects.Record("drain_started", "",
                           (("requests", request_count),))]


def exit_when_idle(daemon, now):
    """Exit once no requests are left and the minimum time has passed.

    Callers cache the locate answer for a while; those that still connect
    must be redirected to another host.
    """
    door = daemon.door
    if door.drain_started_at is None or door.exited:
        return []
    if door.requests or door.relays or door.lookups:
        return []
    if now - door.drain_started_at < MIN_DRAIN_S:
        return []
    door.exited = True
    return [effects.Record("drained"), effects.Exit()]
