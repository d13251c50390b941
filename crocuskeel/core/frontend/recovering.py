"""Closed attempts: completion, resumption, retry or failure."""

from crocuskeel.core import backends
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.frontend import completion
from crocuskeel.core.frontend import queueing
from crocuskeel.core.frontend import replaying
from crocuskeel.core.frontend import reporting
from crocuskeel.core.frontend import state
from crocuskeel.core import problems
from crocuskeel.core import quarantine

__all__ = ["add_retry_budget", "cancel", "closed", "resume"]

End = events.AttemptEnd
Reason = problems.Reason
Outcome = problems.Outcome

MAX_ATTEMPTS = 4
MAX_RESUMES = 4
RESUME_DELAY_S = 0.1
INITIAL_RETRY_BUDGET = 3.0
MAX_RETRY_BUDGET = 20.0
MAX_BUDGETED_CLASSES = 4096
RETRY_AFTER_S = 1.0
_CLIENT_ERRORS = range(400, 500)
_NOT_RUN_ENDS = (End.BUSY, End.REFUSED, End.UNREADY)
_LOST_ENDS = (End.CONNECTION_LOST, End.TIMED_OUT)


def closed(daemon, req, event, now):
    """Handle the end of the open attempt: finish, resume, retry or fail."""
    if req.stage is not state.Stage.RUNNING:
        return []
    if req.attempt != event.attempt:
        return []
    req.forwarded = max(req.forwarded, event.forwarded)
    req.tokens = max(req.tokens, event.tokens)
    out = [reporting.record(req, "closed", now, end=str(event.end),
                            tokens=event.tokens)]
    if event.end is End.DONE:
        return out + _complete(daemon, req, event, now)
    if _can_resume(req, event.end):
        return out + _schedule_resume(req, event.end)
    if event.end in _NOT_RUN_ENDS and not req.resumes:
        # A refused resume says nothing about the run to be resumed.
        return out + _handle_not_run(daemon, req, event, now)
    return out + _handle_lost(daemon, req, event, now)


def _complete(daemon, req, event, now):
    out = []
    if not req.answer_started:
        # AttemptClosed arrived before AttemptOpened.
        req.ttft_s = now - req.arrived_at
        out += replaying.start_watcher_replays(daemon, req)
    return out + completion.complete(daemon, req, event, now)


def _can_resume(req, end):
    """Return whether to ask the engine for the rest of the stream.

    A connection may break or stall while the engine continues. Resuming
    does not start another run, so it is safe for every request.
    """
    if not req.arrival.stream or req.policy.kind != "engine":
        return False
    if req.resumes >= MAX_RESUMES:
        return False
    if end in _NOT_RUN_ENDS and req.resumes:
        # A crashed engine refuses connections. If nothing was relayed,
        # a new run on another engine is faster than waiting for it.
        return not req.repeatable or req.answer_started
    return end in _LOST_ENDS


def _schedule_resume(req, end):
    delay = RESUME_DELAY_S * req.resumes
    req.stage = state.Stage.RESUMING
    req.first_lost_end = req.first_lost_end or str(end)
    req.resumes += 1
    return [effects.SetTimer(("door", "resume", req.rid), delay)]


def resume(daemon, req, now, silence_s):
    """Ask the engine for the rest of an interrupted stream."""
    if req.stage is not state.Stage.RESUMING:
        return []
    backend = backends.get(daemon, req.engine)
    if backend is None:
        gone = events.AttemptClosed(req.rid, req.attempt, End.STREAM_UNKNOWN,
                                    req.forwarded, req.tokens)
        return _handle_lost(daemon, req, gone, now)
    req.stage = state.Stage.RUNNING
    return [reporting.record(req, "resumed", now, tries=req.resumes,
                             forwarded=req.forwarded),
            effects.ResumeAttempt(req.rid, req.attempt, req.engine,
                                  backend.url, silence_s)]


def _handle_not_run(daemon, req, event, now):
    """Retry an attempt that did not run; safe for every request."""
    req.outcome = req.earlier_outcome
    engine = req.engine
    out = completion.release(daemon, req, event.end, event)
    if req.caller_gone and not req.watchers:
        return out + completion.finish(daemon, req, now)
    if req.opened_attempts >= MAX_ATTEMPTS:
        reason = (Reason.OVERLOAD if event.end is End.BUSY
                  else Reason.NO_BACKEND)
        wait = event.retry_after_s or RETRY_AFTER_S
        return out + completion.fail(daemon, req, reason, now,
                                     retry_after_s=wait)
    return out + _retry(daemon, req, engine, event.end, now)


def _handle_lost(daemon, req, event, now):
    """Retry or fail a request whose attempt may have run."""
    engine = req.engine
    out = []
    if event.end in _LOST_ENDS:
        # The server may still be producing an answer nobody will read.
        out.append(effects.CancelAttempt(req.rid, req.attempt))
    end = req.first_lost_end or str(event.end)
    out += completion.release(daemon, req, end, event)
    out += reporting.wasted(req, req.tokens)
    if _may_run_again(req, event):
        if _take_retry(daemon, req):
            return out + _retry(daemon, req, engine, event.end, now)
        out.append(reporting.record(req, "budget_spent", now))
    return out + _fail(daemon, req, event, now)


def _may_run_again(req, event):
    """Return whether a second run is harmless and may succeed.

    Once part of the answer reached the caller, a second answer would be
    mixed with it. A client error would only occur again.
    """
    return (req.repeatable
            and not req.forwarded
            and not req.answer_started
            and not req.caller_gone
            and event.end is not End.CANCELLED
            and not _is_client_error(event)
            and req.opened_attempts < MAX_ATTEMPTS)


def _is_client_error(event):
    # GONE is an engine's 404 to a resume: the engine no longer has the
    # stream, which says nothing about the request.
    return (event.end is not End.STREAM_UNKNOWN
            and event.http_status in _CLIENT_ERRORS)


def _fail(daemon, req, event, now):
    outcome = Outcome.UNKNOWN
    if req.repeatable and (req.answer_started or req.forwarded):
        outcome = Outcome.RAN
    reason = (Reason.BACKEND_FAILED if event.end is End.FAILED
              else Reason.BACKEND_LOST)
    return completion.fail(daemon, req, reason, now, outcome=outcome,
                           retry_after_s=RETRY_AFTER_S)


def _retry(daemon, req, engine, end, now):
    verdict = quarantine.verdict(daemon, req.arrival.fingerprint)
    if verdict == "quarantined":
        return completion.fail(daemon, req, Reason.QUARANTINED, now)
    # The dispatcher prefers failure domains other than those avoided.
    req.avoid = tuple(sorted({*req.avoid, engine}))
    out = [reporting.record(req, "retried", now, end=str(end),
                            avoid=",".join(req.avoid))]
    return out + queueing.requeue(daemon, req, now)


def add_retry_budget(daemon, policy):
    """Add a first attempt's share to the retry budget of its class.

    Without a budget, a fault that fails every request would multiply
    the load by the number of attempts just when capacity is short.
    """
    budget = _retry_budget(daemon, policy)
    budget.tokens = min(MAX_RETRY_BUDGET, budget.tokens + policy.retry_budget)


def _take_retry(daemon, req):
    budget = _retry_budget(daemon, req.policy)
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def _retry_budget(daemon, policy):
    retry_budgets = daemon.frontend.retry_budgets
    found = retry_budgets.get(policy.name)
    if found is None:
        start = INITIAL_RETRY_BUDGET if policy.retry_budget else 0.0
        found = retry_budgets[policy.name] = state.RetryBudget(start)
    retry_budgets.move_to_end(policy.name)
    while len(retry_budgets) > MAX_BUDGETED_CLASSES:
        retry_budgets.popitem(last=False)
    return found


def cancel(daemon, req, now):
    """Cancel the open attempt and count its work as wasted."""
    out = [reporting.record(req, "cancelled", now),
           effects.CancelAttempt(req.rid, req.attempt)]
    out += reporting.wasted(req, req.tokens)
    return out + completion.release(daemon, req, End.CANCELLED)
