"""Dispatches events to the modules that handle them."""

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.frontend import admitting
from crocuskeel.core.frontend import claim_lookup_results
from crocuskeel.core.frontend import claiming
from crocuskeel.core.frontend import deadlines
from crocuskeel.core.frontend import disconnecting
from crocuskeel.core.frontend import draining
from crocuskeel.core.frontend import granting
from crocuskeel.core.frontend import local_granting
from crocuskeel.core.frontend import locating
from crocuskeel.core.frontend import queueing
from crocuskeel.core.frontend import recovering
from crocuskeel.core.frontend import replaying
from crocuskeel.core.frontend import running
from crocuskeel.core.frontend import state
from crocuskeel.core import membership
from crocuskeel.core import messages

__all__ = ["handle"]

TICK_S = 0.25
_TICK = ("door", "tick", "")


def handle(daemon, event, now):
    """Handle one event; return its effects."""
    match event:
        case events.Started():
            return _started(daemon, now)
        case events.TimerFired(key=("door", kind, rid)):
            return _timer(daemon, kind, rid, now)
        case events.RequestArrived():
            return admitting.arrived(daemon, event, now)
        case events.ResumeArrived():
            return replaying.resume_arrived(daemon, event, now)
        case events.CallerGone(rid=rid):
            return disconnecting.caller_gone(daemon, rid, now)
        case events.LocateAsked():
            return locating.locate(daemon, event, now)
        case events.AttemptOpened() | events.AttemptProgress():
            return _attempt(daemon, event, now)
        case events.AttemptClosed():
            return _closed(daemon, event, now)
        case events.PeerUp(host=host):
            return queueing.peer_up(daemon, host, now)
        case events.PeerDown(host=host):
            return queueing.peer_down(daemon, host, now)
        case events.HostListSeen():
            return queueing.move_from_removed_cells(daemon, now)
        case events.DrainAsked():
            return draining.start(daemon, now)
        case events.Received(sender=sender, message=message):
            return _message(daemon, sender, message, now)
    return []


def _started(daemon, now):
    daemon.frontend.membership_changed_at = now
    return [effects.SetTimer(_TICK, TICK_S)]


def _timer(daemon, kind, rid, now):
    if kind == "tick":
        return _tick(daemon, now)
    if kind == "lookup":
        return claim_lookup_results.timed_out(daemon, rid)
    req = daemon.frontend.requests.get(rid)
    if req is None:
        return []
    match kind:
        case "deadline":
            return deadlines.expired(daemon, req, now)
        case "claim":
            return claiming.timed_out(daemon, req, now)
        case "resume":
            silence_s = running.silence_timeout_s(req.policy)
            return recovering.resume(daemon, req, now, silence_s)
        case "grace":
            return disconnecting.resume_grace_expired(daemon, req, now)
    return []


def _tick(daemon, now):
    out = queueing.update_dispatchers(daemon, now)
    out += queueing.reregister_unreachable(daemon, now)
    out += local_granting.grant_waiting(daemon, now)
    out += queueing.flush_progress(daemon)
    out += replaying.expire_retained(daemon, now)
    out += draining.exit_when_idle(daemon, now)
    _update_load(daemon)
    out.append(effects.SetTimer(_TICK, TICK_S))
    return out


def _update_load(daemon):
    request_count = len(daemon.frontend.requests) + len(daemon.frontend.relays)
    load = min(1.0, request_count / daemon.limits.max_requests)
    membership.set_load(daemon, load)


def _attempt(daemon, event, now):
    req = daemon.frontend.requests.get(event.rid)
    if req is None:
        return []
    if type(event) is events.AttemptOpened:
        return running.opened(daemon, req, event, now)
    return running.progressed(daemon, req, event)


def _closed(daemon, event, now):
    req = daemon.frontend.requests.get(event.rid)
    if req is not None:
        return recovering.closed(daemon, req, event, now)
    relay = daemon.frontend.relays.get(event.rid)
    if relay is not None:
        return replaying.closed(daemon, relay, event)
    return []


def _message(daemon, sender, message, now):
    match message:
        case messages.Grant():
            return granting.granted(daemon, sender, message, now)
        case messages.Refusal():
            return queueing.refused(daemon, sender, message, now)
        case messages.NotDispatcher():
            return queueing.not_dispatcher(daemon, sender, message, now)
        case messages.ReregisterAsk(cell=cell):
            return queueing.reregister_requested(daemon, sender, cell, now)
        case messages.ClaimAnswer():
            return _claim_answer(daemon, message, now)
        case messages.ReplayAsk():
            return replaying.replay_requested(daemon, message)
    return []


def _claim_answer(daemon, message, now):
    if message.rid in daemon.frontend.lookups and message.status != "granted":
        return claim_lookup_results.answered(daemon, message)
    req = daemon.frontend.requests.get(message.rid)
    if req is None or req.stage is not state.Stage.CLAIMING:
        return claiming.late_response(daemon, message)
    granted = message.status == "granted"
    own_claim = message.holder_rid == req.rid
    if granted or (message.status == "duplicate" and own_claim):
        # A duplicate of itself: the answer to the first claim request
        # was lost and the request was sent again.
        req.claimed = True
        return granting.claim_granted(daemon, req, now)
    if message.status == "duplicate":
        return replaying.replay_claim_holder(daemon, req, message, now)
    return claiming.refused(daemon, req, message, now)
