"""Callers that leave before their answer is complete."""

from crocuskeel.core.door import ending
from crocuskeel.core.door import looking
from crocuskeel.core.door import recovering
from crocuskeel.core.door import replaying
from crocuskeel.core.door import reporting
from crocuskeel.core.door import state
from crocuskeel.core import effects

__all__ = ["caller_gone", "grace_over"]

RESUME_GRACE_S = 3.0


def caller_gone(daemon, rid, now):
    """Stop the work that nobody waits for any more."""
    door = daemon.door
    if rid in door.relays:
        return _relay_gone(daemon, door.relays[rid], now)
    req = door.requests.get(rid)
    if req is None:
        return looking.caller_gone(daemon, rid)
    if req.caller_gone:
        return []
    req.caller_gone = True
    out = [reporting.record(req, "caller_gone", now)]
    return out + _unwatched(daemon, req, now)


def _relay_gone(daemon, relay, now):
    replaying.drop(daemon, relay)
    if relay.source is state.Source.PEER:
        return []
    if relay.source is state.Source.ENGINE:
        return [effects.CancelAttempt(relay.rid, relay.attempt)]
    req = daemon.door.requests.get(relay.held)
    if req is None or not req.caller_gone:
        return []
    return _unwatched(daemon, req, now)


def _unwatched(daemon, req, now):
    if req.watchers:
        return []
    if req.stage in (state.Stage.WAITING, state.Stage.CLAIMING):
        return ending.end(daemon, req, now, kept=True)
    if not req.repeatable:
        # It runs at most once, so this run must not be thrown away; its
        # answer is kept for the resend under the same key.
        return []
    if req.arrival.stream and req.opened:
        return [effects.SetTimer(("door", "grace", req.rid),
                                 RESUME_GRACE_S)]
    return _stop(daemon, req, now)


def grace_over(daemon, req, now):
    """Cancel a stream whose caller did not come back for it."""
    if not req.caller_gone or req.watchers:
        return []
    return _stop(daemon, req, now)


def _stop(daemon, req, now):
    out = recovering.cancel(daemon, req, now)
    return out + ending.end(daemon, req, now)
