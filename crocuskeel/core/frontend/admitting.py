"""Admission control: validates a request, then refuses or enqueues it."""

from crocuskeel.core import follower
from crocuskeel.core.frontend import claim_lookup
from crocuskeel.core.frontend import completion
from crocuskeel.core.frontend import locating
from crocuskeel.core.frontend import models
from crocuskeel.core.frontend import queueing
from crocuskeel.core.frontend import recovering
from crocuskeel.core.frontend import replaying
from crocuskeel.core.frontend import reporting
from crocuskeel.core.frontend import state
from crocuskeel.core import problems
from crocuskeel.core import quarantine

__all__ = ["arrived"]

Reason = problems.Reason

CALL_ROLE = "call"
RETRY_AFTER_S = 1.0


def arrived(daemon, event, now):
    """Admit a request, or refuse it for the first check that fails."""
    if (event.rid in daemon.frontend.requests
            or event.rid in daemon.frontend.lookups):
        return []
    out = _check(daemon, event, now)
    if not event.idempotency_key:
        return out
    return claim_lookup.verify_not_run(daemon, event, out)


def _check(daemon, event, now):
    refusal = _check_host(daemon, event, now)
    if refusal is not None:
        return refusal
    caller = follower.caller(daemon, event.token)
    if caller is None or CALL_ROLE not in caller.roles:
        return completion.refuse_arrival(event.rid, Reason.UNAUTHORIZED)
    # OpenAI clients that can't set a header pass the class as the model.
    name = event.class_name or event.model
    policy = follower.policy(daemon, caller.workspace, name)
    if policy is None:
        return completion.refuse_arrival(event.rid, Reason.UNKNOWN_CLASS,
                                         detail=name)
    return _check_class(daemon, event, caller, policy, now)


def _check_host(daemon, event, now):
    if daemon.frontend.drain_started_at is not None:
        return completion.refuse_arrival(
            event.rid, Reason.LEAVING, retry_after_s=RETRY_AFTER_S,
            location=locating.other_host_address(daemon))
    if daemon.follower.tree is None:
        return completion.refuse_arrival(event.rid, Reason.NOT_READY,
                                         retry_after_s=RETRY_AFTER_S)
    if not follower.ready(daemon, now):
        return completion.refuse_arrival(event.rid, Reason.SETTINGS_STALE,
                                         retry_after_s=RETRY_AFTER_S)
    return None


def _check_class(daemon, event, caller, policy, now):
    name = policy.name
    repeatable = policy.repeatable and not event.non_repeatable
    if not repeatable and not event.idempotency_key:
        return completion.refuse_arrival(event.rid, Reason.KEY_REQUIRED,
                                         class_name=name)
    replayed = replaying.answer_resend(daemon, event, caller, name)
    if replayed is not None:
        return replayed
    if event.max_tokens > policy.max_tokens:
        return completion.refuse_arrival(
            event.rid, Reason.TOO_LARGE, class_name=name,
            detail=f"max_tokens is over {policy.max_tokens}")
    model = models.choose_model(daemon, event, policy)
    if model.is_err():
        return completion.refuse_arrival(
            event.rid, Reason.BAD_REQUEST, class_name=name,
            detail=model.unwrap_err())
    if quarantine.verdict(daemon, event.fingerprint) == "quarantined":
        return completion.refuse_arrival(event.rid, Reason.QUARANTINED,
                                         class_name=name)
    cell = queueing.assign_cell(daemon, policy.service, event)
    if not cell:
        return completion.refuse_arrival(event.rid, Reason.NO_BACKEND,
                                         retry_after_s=RETRY_AFTER_S,
                                         class_name=name)
    req = state.Request(
        event, caller, policy, repeatable, cell, now,
        now + policy.deadline_s, model.unwrap())
    return _admit(daemon, req, now)


def _admit(daemon, req, now):
    out = []
    if len(daemon.frontend.requests) >= daemon.limits.max_requests:
        victim = _request_to_shed(daemon, req)
        if victim is None:
            return completion.refuse_arrival(
                req.rid, Reason.OVERLOAD, retry_after_s=RETRY_AFTER_S,
                class_name=req.policy.name)
        out += completion.fail(daemon, victim, Reason.OVERLOAD, now,
                               retry_after_s=RETRY_AFTER_S)
    daemon.frontend.requests[req.rid] = req
    if req.arrival.idempotency_key:
        daemon.frontend.rids_by_key[req.scope] = req.rid
    recovering.add_retry_budget(daemon, req.policy)
    out += [reporting.record(req, "arrived", now),
            reporting.count(f"class.{req.policy.name}.arrived")]
    return out + queueing.enqueue(daemon, req, now)


def _request_to_shed(daemon, req):
    """Return the waiting request to shed for ``req``, or None.

    It is the newest request of the lowest tier below that of ``req``. A
    full host that always refused the newest arrival would shed a higher
    tier in favor of the lower tiers it already holds. The newest request
    of a tier is shed so that the wait of the oldest stays bounded.
    """
    lower = [other for other in daemon.frontend.requests.values()
             if other.stage is state.Stage.WAITING
             and other.policy.tier > req.policy.tier]
    return max(lower, key=lambda other: (other.policy.tier,
                                         other.arrived_at), default=None)
