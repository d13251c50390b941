"""Graceful shutdown: refuses new requests, lets those in progress finish."""

from crocuskeel.core import effects

__all__ = ["exit_when_idle", "start"]

MIN_DRAIN_S = 3.0


def start(daemon, now):
    """Start draining; waiting and running requests continue."""
    if daemon.frontend.drain_started_at is not None:
        return []
    daemon.frontend.drain_started_at = now
    request_count = len(daemon.frontend.requests)
    return [effects.Record("drain_started", "",
                           (("requests", request_count),))]


def exit_when_idle(daemon, now):
    """Exit once no requests are left and the minimum time has passed.

    Callers cache the locate answer for a while; those that still connect
    must be redirected to another host.
    """
    frontend = daemon.frontend
    if frontend.drain_started_at is None or frontend.exited:
        return []
    if frontend.requests or frontend.relays or frontend.lookups:
        return []
    if now - frontend.drain_started_at < MIN_DRAIN_S:
        return []
    frontend.exited = True
    return [effects.Record("drained"), effects.Exit()]
