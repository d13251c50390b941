"""Callers that disconnect before their answer is complete."""

from crocuskeel.core import effects
from crocuskeel.core.frontend import claim_lookup
from crocuskeel.core.frontend import completion
from crocuskeel.core.frontend import recovering
from crocuskeel.core.frontend import replaying
from crocuskeel.core.frontend import reporting
from crocuskeel.core.frontend import state

__all__ = ["caller_gone", "resume_grace_expired"]

RESUME_GRACE_S = 3.0


def caller_gone(daemon, rid, now):
    """Handle a caller's disconnect; cancel unneeded work."""
    frontend = daemon.frontend
    if rid in frontend.relays:
        return _relay_caller_gone(daemon, frontend.relays[rid], now)
    req = frontend.requests.get(rid)
    if req is None:
        return claim_lookup.caller_gone(daemon, rid)
    if req.caller_gone:
        return []
    req.caller_gone = True
    out = [reporting.record(req, "caller_gone", now)]
    return out + _end_unless_watched(daemon, req, now)


def _relay_caller_gone(daemon, relay, now):
    replaying.drop_relay(daemon, relay)
    if relay.source is state.RelaySource.PEER:
        return []
    if relay.source is state.RelaySource.ENGINE:
        return [effects.CancelAttempt(relay.rid, relay.attempt)]
    req = daemon.frontend.requests.get(relay.original_rid)
    if req is None or not req.caller_gone:
        return []
    return _end_unless_watched(daemon, req, now)


def _end_unless_watched(daemon, req, now):
    if req.watchers:
        return []
    if req.stage in (state.Stage.WAITING, state.Stage.CLAIMING):
        return completion.finish(daemon, req, now, keep_outcome=True)
    if not req.repeatable:
        # It runs at most once, so this run must not be cancelled. Its
        # answer is kept for a resend with the same key.
        return []
    if req.arrival.stream and req.answer_started:
        return [effects.SetTimer(("door", "grace", req.rid),
                                 RESUME_GRACE_S)]
    return _stop(daemon, req, now)


def resume_grace_expired(daemon, req, now):
    """Cancel a stream whose caller did not resume it in time."""
    if not req.caller_gone or req.watchers:
        return []
    return _stop(daemon, req, now)


def _stop(daemon, req, now):
    out = recovering.cancel(daemon, req, now)
    return out + completion.finish(daemon, req, now)
