"""What follows an attempt that did not end well."""

from crocuskeel.core import backends
from crocuskeel.core.door import ending
from crocuskeel.core.door import queueing
from crocuskeel.core.door import replaying
from crocuskeel.core.door import reporting
from crocuskeel.core.door import state
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import problems
from crocuskeel.core import quarantine

__all__ = ["cancel", "closed", "fund", "resume"]

End = events.AttemptEnd
Reason = problems.Reason
Outcome = problems.Outcome

MAX_ATTEMPTS = 4
RESUME_TRIES = 4
RESUME_DELAY_S = 0.1
BUDGET_START = 3.0
BUDGET_CAP = 20.0
MAX_BUDGETS = 4096
RETRY_AFTER_S = 1.0
_CLIENT_ERRORS = range(400, 500)
_NOT_RUN = (End.BUSY, End.REFUSED, End.UNREADY)
_LOST = (End.BROKEN, End.SILENT)


def closed(daemon, req, event, now):
    """Take the end of the open attempt: done, go on, retry or fail."""
    if req.stage is not state.Stage.RUNNING:
        return []
    if req.attempt != event.attempt:
        return []
    req.forwarded = max(req.forwarded, event.forwarded)
    req.tokens = max(req.tokens, event.tokens)
    out = [reporting.record(req, "closed", now, end=str(event.end),
                            tokens=event.tokens)]
    if event.end is End.DONE:
        return out + _done(daemon, req, event, now)
    if _can_resume(req, event.end):
        return out + _resume_later(req, event.end)
    if event.end in _NOT_RUN and not req.resumes:
        # Refusing a resume says nothing of the run to be resumed.
        return out + _not_run(daemon, req, event, now)
    return out + _lost(daemon, req, event, now)


def _done(daemon, req, event, now):
    out = []
    if not req.opened:
        # The first byte's event was overtaken by the last one's.
        req.ttft_s = now - req.arrived_at
        out += replaying.start_watchers(daemon, req)
    return out + ending.done(daemon, req, event, now)


def _can_resume(req, end):
    """Tell whether to ask the engine for the rest of the stream.

    A connection may break or go silent while the engine goes on. Asking
    for the rest runs nothing anew, so it is safe for every request.
    """
    if not req.arrival.stream or req.policy.kind != "engine":
        return False
    if req.resumes >= RESUME_TRIES:
        return False
    if end in _NOT_RUN and req.resumes:
        # A crashed engine refuses connections: with nothing relayed, a
        # new run elsewhere is sooner than its return.
        return not req.repeatable or req.opened
    return end in _LOST


def _resume_later(req, end):
    delay = RESUME_DELAY_S * req.resumes
    req.stage = state.Stage.RESUMING
    req.lost_end = req.lost_end or str(end)
    req.resumes += 1
    return [effects.SetTimer(("door", "resume", req.rid), delay)]


def resume(daemon, req, now, silence_s):
    """Ask the engine for the rest of a broken stream."""
    if req.stage is not state.Stage.RESUMING:
        return []
    backend = backends.get(daemon, req.engine)
    if backend is None:
        gone = events.AttemptClosed(req.rid, req.attempt, End.GONE,
                                    req.forwarded, req.tokens)
        return _lost(daemon, req, gone, now)
    req.stage = state.Stage.RUNNING
    return [reporting.record(req, "resumed", now, tries=req.resumes,
                             forwarded=req.forwarded),
            effects.ResumeAttempt(req.rid, req.attempt, req.engine,
                                  backend.url, silence_s)]


def _not_run(daemon, req, event, now):
    """The server did not run it: any request may go to another one."""
    req.outcome = req.earlier
    engine = req.engine
    out = ending.release(daemon, req, event.end, event)
    if req.caller_gone and not req.watchers:
        return out + ending.end(daemon, req, now)
    if req.opened_attempts >= MAX_ATTEMPTS:
        reason = (Reason.OVERLOAD if event.end is End.BUSY
                  else Reason.NO_BACKEND)
        wait = event.retry_after_s or RETRY_AFTER_S
        return out + ending.answer(daemon, req, reason, now,
                                   retry_after_s=wait)
    return out + _retry(daemon, req, engine, event.end, now)


def _lost(daemon, req, event, now):
    """The attempt ran or may have run, and its answer is lost."""
    engine = req.engine
    out = []
    if event.end in _LOST:
        # The server may still be at work on what nobody will read.
        out.append(effects.CancelAttempt(req.rid, req.attempt))
    end = req.lost_end or str(event.end)
    out += ending.release(daemon, req, end, event)
    out += reporting.wasted(req, req.tokens)
    if _may_repeat(req, event):
        if _spend(daemon, req):
            return out + _retry(daemon, req, engine, event.end, now)
        out.append(reporting.record(req, "budget_spent", now))
    return out + _fail(daemon, req, event, now)


def _may_repeat(req, event):
    """Tell whether a second run can harm nobody and may help.

    Once a part of the answer reached the caller, a second answer would
    be mixed with it; a client error would only come again.
    """
    return (req.repeatable
            and not req.forwarded
            and not req.opened
            and not req.caller_gone
            and event.end is not End.CANCELLED
            and not _is_client_error(event)
            and req.opened_attempts < MAX_ATTEMPTS)


def _is_client_error(event):
    # GONE is an engine's 404 to a resume, which tells of the engine's
    # memory and not of the request.
    return (event.end is not End.GONE
            and event.http_status in _CLIENT_ERRORS)


def _fail(daemon, req, event, now):
    outcome = Outcome.UNKNOWN
    if req.repeatable and (req.opened or req.forwarded):
        outcome = Outcome.RAN
    reason = (Reason.BACKEND_FAILED if event.end is End.FAILED
              else Reason.BACKEND_LOST)
    return ending.answer(daemon, req, reason, now, outcome=outcome,
                         retry_after_s=RETRY_AFTER_S)


def _retry(daemon, req, engine, end, now):
    verdict = quarantine.verdict(daemon, req.arrival.fingerprint)
    if verdict == "quarantined":
        return ending.answer(daemon, req, Reason.QUARANTINED, now)
    # The dispatcher prefers other failure domains than those avoided.
    req.avoid = tuple(sorted({*req.avoid, engine}))
    out = [reporting.record(req, "retried", now, end=str(end),
                            avoid=",".join(req.avoid))]
    return out + queueing.requeue(daemon, req, now)


def fund(daemon, policy):
    """Let a first attempt add its share to its class's retry budget.

    Without a budget a fault that fails every request would multiply the
    load by the number of attempts just when capacity is short.
    """
    budget = _budget(daemon, policy)
    budget.tokens = min(BUDGET_CAP, budget.tokens + policy.retry_budget)


def _spend(daemon, req):
    budget = _budget(daemon, req.policy)
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def _budget(daemon, policy):
    budgets = daemon.door.budgets
    found = budgets.get(policy.name)
    if found is None:
        start = BUDGET_START if policy.retry_budget else 0.0
        found = budgets[policy.name] = state.Budget(start)
    budgets.move_to_end(policy.name)
    while len(budgets) > MAX_BUDGETS:
        budgets.popitem(last=False)
    return found


def cancel(daemon, req, now):
    """Cancel the open attempt at its server; its work is wasted."""
    out = [reporting.record(req, "cancelled", now),
           effects.CancelAttempt(req.rid, req.attempt)]
    out += reporting.wasted(req, req.tokens)
    return out + ending.release(daemon, req, End.CANCELLED)
