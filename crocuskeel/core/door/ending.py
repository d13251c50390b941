"""The end of a request: slot, claim, kept answer, final answer."""

from crocuskeel.core.door import claim_keys
from crocuskeel.core.door import looking
from crocuskeel.core.door import reporting
from crocuskeel.core.door import state
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.core import problems

__all__ = ["abandon_claim", "answer", "claim_key", "claim_slot", "done",
           "drop_oldest", "end", "leave_queue", "listeners",
           "refuse_arrival", "release", "settle", "withdraw"]

MAX_KEPT = 4096
MAX_ABANDONED = 4096
_CALLER_TIMERS = ("deadline", "claim", "resume", "grace")


def refuse_arrival(rid, reason, detail="", retry_after_s=0.0,
                   class_name="", location=""):
    """Answer a request that was not admitted."""
    found = problems.problem(
        reason, problems.Outcome.NOT_RUN, detail, retry_after_s)
    fields = (("reason", str(reason)), ("class", class_name))
    return [effects.Answer(rid, found, location),
            effects.Record("refused", rid, fields),
            *reporting.refused(class_name, reason)]


def withdraw(daemon, req):
    """Take a waiting request out of its dispatcher's queue."""
    business = daemon.door.cells.get(req.cell)
    if business is None or req.rid not in business.waiting:
        return []
    leave_queue(daemon, req)
    message = messages.Withdraw(req.rid, req.attempt, req.cell)
    return _to(business.dispatcher, message)


def leave_queue(daemon, req):
    """Note that the request no longer waits with its dispatcher."""
    del daemon.door.cells[req.cell].waiting[req.rid]
    _forget_cell(daemon, req.cell)


def release(daemon, req, end, closed=None):
    """Give the request's slot back to its dispatcher.

    ``end`` is an ``AttemptEnd``; ``closed`` the event that tells what
    was seen of the engine, None if the attempt is cut off or unopened.
    """
    if not req.engine:
        return []
    business = daemon.door.cells[req.cell]
    business.slots.pop(req.rid, None)
    business.progress.pop(req.rid, None)
    message = messages.Released(
        req.rid, req.attempt, req.cell, req.engine, str(end),
        tokens=closed.tokens if closed else req.tokens,
        ttft_s=closed.ttft_s if closed else 0.0,
        itl_s=closed.itl_s if closed else 0.0,
        fingerprint=req.arrival.fingerprint)
    req.engine = ""
    _forget_cell(daemon, req.cell)
    return _to(business.dispatcher, message)


def _to(host, message):
    return [effects.Send(host, message)] if host else []


def _forget_cell(daemon, cell):
    business = daemon.door.cells[cell]
    if not business.waiting and not business.slots:
        del daemon.door.cells[cell]


def claim_key(req):
    """Return the ledger's key: callers can't reach each other's."""
    return claim_keys.key_of(req.scope)


def claim_slot(daemon, key):
    """Return the ledger slot of a claim key."""
    return claim_keys.slot_of(daemon, key)


def settle(daemon, rid, key, outcome):
    """Tell the ledger how a claimed request ended."""
    message = messages.ClaimSettle(
        rid, claim_slot(daemon, key), key, str(outcome))
    return _to(claim_keys.owner_of(daemon, key), message)


def abandon_claim(daemon, req):
    """Give up a claim whose request was never dispatched.

    The claim may be recorded after the request gave it up (a slow
    store): its resend would then be told "duplicate" of a request that
    never ran. The rid is remembered, and a late "granted" is settled.
    """
    abandoned = daemon.door.abandoned
    key = claim_key(req)
    abandoned[req.rid] = key
    while len(abandoned) > MAX_ABANDONED:
        abandoned.popitem(last=False)
    return settle(daemon, req.rid, key, problems.Outcome.NOT_RUN)


def answer(daemon, req, reason, now, detail="", retry_after_s=0.0,
           outcome=None):
    """Give the final refusal or failure; the request ends.

    ``outcome`` is what is known of all attempts unless given.
    """
    req.outcome = req.outcome if outcome is None else outcome
    found = problems.problem(reason, req.outcome, detail, retry_after_s)
    if looking.unproved(found) and not (req.repeatable or req.claimed):
        return _look_first(daemon, req, found, now)
    out = [effects.Answer(rid, found) for rid in listeners(req)]
    out.append(reporting.record(
        req, "answered", now, reason=str(reason),
        outcome=str(req.outcome)))
    out += reporting.refused(req.policy.name, reason)
    for rid in req.watchers:
        daemon.door.relays.pop(rid, None)
    return out + end(daemon, req, now, kept=not req.repeatable)


def _look_first(daemon, req, found, now):
    """End the request; its callers hear of it once that is proved."""
    callers = listeners(req)
    for rid in req.watchers:
        daemon.door.relays.pop(rid, None)
    out = end(daemon, req, now)
    if not callers:
        return out
    look = state.Look(req.rid, callers, claim_key(req), req.policy.name,
                      found)
    return out + looking.start(daemon, look, req.arrival)


def done(daemon, req, closed, now):
    """End a request whose whole answer was relayed."""
    req.outcome = problems.Outcome.RAN
    out = release(daemon, req, events.AttemptEnd.DONE, closed)
    out.append(reporting.record(
        req, "answered", now, reason="", outcome=str(req.outcome),
        tokens=closed.tokens, ttft_s=req.ttft_s, itl_s=closed.itl_s))
    out += reporting.served(req, closed)
    if req.repeatable and not listeners(req):
        out += reporting.wasted(req, closed.tokens)
    return out + end(daemon, req, now, kept=True, whole=True)


def listeners(req):
    """Return the rids of all callers that await this request's answer."""
    callers = [] if req.caller_gone else [req.rid]
    return callers + sorted(req.watchers)


def end(daemon, req, now, kept=False, whole=False):
    """Forget a request that has its answer, or that nobody awaits.

    ``kept``: remember its outcome for resends, and with ``whole`` its
    answer, unless it is known not to have run.
    """
    door = daemon.door
    out = release(daemon, req, events.AttemptEnd.CANCELLED)
    out += withdraw(daemon, req)
    out += [effects.CancelTimer(("door", kind, req.rid))
            for kind in _CALLER_TIMERS]
    if req.claim_asked:
        out += _settle_end(daemon, req)
    door.requests.pop(req.rid, None)
    if kept and req.outcome is not problems.Outcome.NOT_RUN:
        _keep(daemon, req, whole, now)
    elif door.keys.get(req.scope) == req.rid:
        del door.keys[req.scope]
    return out


def _settle_end(daemon, req):
    if req.outcome is problems.Outcome.NOT_RUN:
        return abandon_claim(daemon, req)
    return settle(daemon, req.rid, claim_key(req), req.outcome)


def _keep(daemon, req, whole, now):
    door = daemon.door
    door.kept[req.rid] = state.Kept(
        req.rid, req.caller.workspace, req.caller.caller,
        req.arrival.idempotency_key, req.arrival.digest, whole,
        req.outcome, now + daemon.limits.replay_kept_s)
    while len(door.kept) > MAX_KEPT:
        drop_oldest(door)


def drop_oldest(door):
    """Forget the kept answer that ended first."""
    rid, kept = door.kept.popitem(last=False)
    scope = (kept.workspace, kept.caller, kept.key)
    if door.keys.get(scope) == rid:
        del door.keys[scope]
