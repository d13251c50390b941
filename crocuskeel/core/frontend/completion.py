"""The end of a request.

Releases its slot, settles its claim, and sends and retains its answer.
"""

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.frontend import claim_keys
from crocuskeel.core.frontend import claim_lookup
from crocuskeel.core.frontend import reporting
from crocuskeel.core.frontend import state
from crocuskeel.core import messages
from crocuskeel.core import problems

__all__ = ["abandon_claim", "claim_key", "claim_slot", "complete",
           "evict_oldest", "fail", "finish", "refuse_arrival", "release",
           "remove_from_queue", "settle_claim", "waiting_callers", "withdraw"]

MAX_ENDED_REQUESTS = 4096
MAX_ABANDONED_CLAIMS = 4096
_REQUEST_TIMERS = ("deadline", "claim", "resume", "grace")


def refuse_arrival(rid, reason, detail="", retry_after_s=0.0,
                   class_name="", location=""):
    """Refuse a request that was not admitted."""
    found = problems.new_problem(
        reason, problems.Outcome.NOT_RUN, detail, retry_after_s)
    fields = (("reason", str(reason)), ("class", class_name))
    return [effects.Answer(rid, found, location),
            effects.Record("refused", rid, fields),
            *reporting.refused(class_name, reason)]


def withdraw(daemon, req):
    """Remove a waiting request from its dispatcher's queue."""
    cell_state = daemon.frontend.cells.get(req.cell)
    if cell_state is None or req.rid not in cell_state.waiting:
        return []
    remove_from_queue(daemon, req)
    message = messages.Withdraw(req.rid, req.attempt, req.cell)
    return _send_to(cell_state.dispatcher, message)


def remove_from_queue(daemon, req):
    """Record that the dispatcher no longer has the request queued."""
    del daemon.frontend.cells[req.cell].waiting[req.rid]
    _discard_cell_if_empty(daemon, req.cell)


def release(daemon, req, end, closed=None):
    """Release the request's slot to its dispatcher.

    ``end`` is an ``AttemptEnd``. ``closed`` is the event with the
    attempt's measurements, None if it was cancelled or never opened.
    """
    if not req.engine:
        return []
    cell_state = daemon.frontend.cells[req.cell]
    cell_state.slots.pop(req.rid, None)
    cell_state.unreported_tokens.pop(req.rid, None)
    message = messages.Released(
        req.rid, req.attempt, req.cell, req.engine, str(end),
        tokens=closed.tokens if closed else req.tokens,
        ttft_s=closed.ttft_s if closed else 0.0,
        itl_s=closed.itl_s if closed else 0.0,
        fingerprint=req.arrival.fingerprint)
    req.engine = ""
    _discard_cell_if_empty(daemon, req.cell)
    return _send_to(cell_state.dispatcher, message)


def _send_to(host, message):
    return [effects.Send(host, message)] if host else []


def _discard_cell_if_empty(daemon, cell):
    cell_state = daemon.frontend.cells[cell]
    if not cell_state.waiting and not cell_state.slots:
        del daemon.frontend.cells[cell]


def claim_key(req):
    """Return the ledger key of the request's claim."""
    return claim_keys.key_of(req.scope)


def claim_slot(daemon, key):
    """Return the ledger slot of a claim key."""
    return claim_keys.slot_of(daemon, key)


def settle_claim(daemon, rid, key, outcome):
    """Tell the ledger how a claimed request ended."""
    message = messages.ClaimSettle(
        rid, claim_slot(daemon, key), key, str(outcome))
    return _send_to(claim_keys.owner_of(daemon, key), message)


def abandon_claim(daemon, req):
    """Abandon the claim of a request that never ran.

    A slow store may record the claim after the request abandoned it. A
    resend would then be refused as a duplicate of a request that never
    ran. The rid is remembered so that a late grant is settled.
    """
    abandoned_claims = daemon.frontend.abandoned_claims
    key = claim_key(req)
    abandoned_claims[req.rid] = key
    while len(abandoned_claims) > MAX_ABANDONED_CLAIMS:
        abandoned_claims.popitem(last=False)
    return settle_claim(daemon, req.rid, key, problems.Outcome.NOT_RUN)


def fail(daemon, req, reason, now, detail="", retry_after_s=0.0,
         outcome=None):
    """End the request with a refusal or failure.

    ``outcome`` defaults to the combined outcome of all its attempts.
    """
    req.outcome = req.outcome if outcome is None else outcome
    found = problems.new_problem(reason, req.outcome, detail, retry_after_s)
    if claim_lookup.needs_lookup(found) and not (
            req.repeatable or req.claimed):
        return _fail_after_lookup(daemon, req, found, now)
    out = [effects.Answer(rid, found) for rid in waiting_callers(req)]
    out.append(reporting.record(
        req, "answered", now, reason=str(reason),
        outcome=str(req.outcome)))
    out += reporting.refused(req.policy.name, reason)
    for rid in req.watchers:
        daemon.frontend.relays.pop(rid, None)
    return out + finish(daemon, req, now, keep_outcome=not req.repeatable)


def _fail_after_lookup(daemon, req, found, now):
    """End the request; answer its callers after a ledger lookup."""
    callers = waiting_callers(req)
    for rid in req.watchers:
        daemon.frontend.relays.pop(rid, None)
    out = finish(daemon, req, now)
    if not callers:
        return out
    lookup = state.ClaimLookup(req.rid, callers, claim_key(req),
                               req.policy.name, found)
    return out + claim_lookup.start(daemon, lookup, req.arrival)


def complete(daemon, req, closed, now):
    """End a request whose complete answer was relayed."""
    req.outcome = problems.Outcome.RAN
    out = release(daemon, req, events.AttemptEnd.DONE, closed)
    out.append(reporting.record(
        req, "answered", now, reason="", outcome=str(req.outcome),
        tokens=closed.tokens, ttft_s=req.ttft_s, itl_s=closed.itl_s))
    out += reporting.served(req, closed)
    if req.repeatable and not waiting_callers(req):
        out += reporting.wasted(req, closed.tokens)
    return out + finish(daemon, req, now, keep_outcome=True, has_answer=True)


def waiting_callers(req):
    """Return the rids of all callers waiting for this request's answer."""
    callers = [] if req.caller_gone else [req.rid]
    return callers + sorted(req.watchers)


def finish(daemon, req, now, keep_outcome=False, has_answer=False):
    """Remove a request that was answered or has no caller left.

    ``keep_outcome`` retains its outcome for resends, and its answer too
    if ``has_answer``, unless the request is known not to have run.
    """
    frontend = daemon.frontend
    out = release(daemon, req, events.AttemptEnd.CANCELLED)
    out += withdraw(daemon, req)
    out += [effects.CancelTimer(("door", kind, req.rid))
            for kind in _REQUEST_TIMERS]
    if req.claim_requested:
        out += _settle_ended(daemon, req)
    frontend.requests.pop(req.rid, None)
    if keep_outcome and req.outcome is not problems.Outcome.NOT_RUN:
        _retain(daemon, req, has_answer, now)
    elif frontend.rids_by_key.get(req.scope) == req.rid:
        del frontend.rids_by_key[req.scope]
    return out


def _settle_ended(daemon, req):
    if req.outcome is problems.Outcome.NOT_RUN:
        return abandon_claim(daemon, req)
    return settle_claim(daemon, req.rid, claim_key(req), req.outcome)


def _retain(daemon, req, has_answer, now):
    frontend = daemon.frontend
    frontend.ended_requests[req.rid] = state.EndedRequest(
        req.rid, req.caller.workspace, req.caller.caller,
        req.arrival.idempotency_key, req.arrival.digest, has_answer,
        req.outcome, now + daemon.limits.replay_kept_s)
    while len(frontend.ended_requests) > MAX_ENDED_REQUESTS:
        evict_oldest(frontend)


def evict_oldest(frontend):
    """Evict the retained answer of the request that ended first."""
    rid, ended = frontend.ended_requests.popitem(last=False)
    scope = (ended.workspace, ended.caller, ended.key)
    if frontend.rids_by_key.get(scope) == rid:
        del frontend.rids_by_key[scope]
