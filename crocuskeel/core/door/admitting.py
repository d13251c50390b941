"""Admission: plain checks of a request, refused at once or enqueued."""

from crocuskeel.core.door import deadlines
from crocuskeel.core.door import ending
from crocuskeel.core.door import locating
from crocuskeel.core.door import looking
from crocuskeel.core.door import models
from crocuskeel.core.door import queueing
from crocuskeel.core.door import recovering
from crocuskeel.core.door import replaying
from crocuskeel.core.door import reporting
from crocuskeel.core.door import state
from crocuskeel.core import follower
from crocuskeel.core import problems
from crocuskeel.core import quarantine

__all__ = ["arrived"]

Reason = problems.Reason

CALL_ROLE = "call"
RETRY_SOON_S = 1.0


def arrived(daemon, event, now):
    """Admit a request or refuse it; the first check that fails wins."""
    if event.rid in daemon.door.requests or event.rid in daemon.door.looks:
        return []
    out = _judged(daemon, event, now)
    if not event.idempotency_key:
        return out
    return looking.unless_ran(daemon, event, out)


def _judged(daemon, event, now):
    refusal = _host_refuses(daemon, event, now)
    if refusal is not None:
        return refusal
    caller = follower.caller(daemon, event.token)
    if caller is None or CALL_ROLE not in caller.roles:
        return ending.refuse_arrival(event.rid, Reason.UNAUTHORIZED)
    # OpenAI clients that can't set a header give the class as model.
    name = event.class_name or event.model
    policy = follower.policy(daemon, caller.workspace, name)
    if policy is None:
        return ending.refuse_arrival(event.rid, Reason.UNKNOWN_CLASS,
                                     detail=name)
    return _known_class(daemon, event, caller, policy, now)


def _host_refuses(daemon, event, now):
    if daemon.door.drain_at is not None:
        return ending.refuse_arrival(
            event.rid, Reason.LEAVING, retry_after_s=RETRY_SOON_S,
            location=locating.elsewhere(daemon))
    if daemon.follower.tree is None:
        return ending.refuse_arrival(event.rid, Reason.NOT_READY,
                                     retry_after_s=RETRY_SOON_S)
    if not follower.ready(daemon, now):
        return ending.refuse_arrival(event.rid, Reason.SETTINGS_STALE,
                                     retry_after_s=RETRY_SOON_S)
    return None


def _known_class(daemon, event, caller, policy, now):
    name = policy.name
    repeatable = policy.repeatable and not event.non_repeatable
    if not repeatable and not event.idempotency_key:
        return ending.refuse_arrival(event.rid, Reason.KEY_REQUIRED,
                                     class_name=name)
    replayed = replaying.by_key(daemon, event, caller, name)
    if replayed is not None:
        return replayed
    if event.max_tokens > policy.max_tokens:
        return ending.refuse_arrival(
            event.rid, Reason.TOO_LARGE, class_name=name,
            detail=f"max_tokens is over {policy.max_tokens}")
    model = models.choose(daemon, event, policy)
    if model.is_err():
        return ending.refuse_arrival(
            event.rid, Reason.BAD_REQUEST, class_name=name,
            detail=model.unwrap_err())
    if quarantine.verdict(daemon, event.fingerprint) == "quarantined":
        return ending.refuse_arrival(event.rid, Reason.QUARANTINED,
                                     class_name=name)
    cell = queueing.cell_for(daemon, policy.service, event)
    if not cell:
        return ending.refuse_arrival(event.rid, Reason.NO_BACKEND,
                                     retry_after_s=RETRY_SOON_S,
                                     class_name=name)
    req = state.Request(
        event, caller, policy, repeatable, cell, now,
        now + policy.deadline_s, model.unwrap())
    return _admit(daemon, req, now)


def _admit(daemon, req, now):
    out = []
    if len(daemon.door.requests) >= daemon.limits.max_requests:
        victim = _victim(daemon, req)
        if victim is None:
            return ending.refuse_arrival(
                req.rid, Reason.OVERLOAD, retry_after_s=RETRY_SOON_S,
                class_name=req.policy.name)
        out += ending.answer(daemon, victim, Reason.OVERLOAD, now,
                             retry_after_s=RETRY_SOON_S)
    daemon.door.requests[req.rid] = req
    if req.arrival.idempotency_key:
        daemon.door.keys[req.scope] = req.rid
    recovering.fund(daemon, req.policy)
    out += [reporting.record(req, "arrived", now),
            reporting.count(f"class.{req.policy.name}.arrived"),
            deadlines.start(req, now)]
    return out + queueing.enqueue(daemon, req, now)


def _victim(daemon, req):
    """Return a waiting request of the lowest tier below, or None.

    A full host that refused whoever comes last would shed a higher tier
    for the lower ones it holds. The newest goes, so that the oldest of
    its tier keeps its bounded wait.
    """
    lower = [other for other in daemon.door.requests.values()
             if other.stage is state.Stage.WAITING
             and other.policy.tier > req.policy.tier]
    return max(lower, key=lambda other: (other.policy.tier,
                                         other.arrived_at), default=None)
