"""Ends attempts at servers, and requests as a whole."""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import model
from crocuskeel.core.entry import prefill_pauses
from crocuskeel.core.scheduling import waiting_room

__all__ = ["BUSY_RETRY_S", "NOT_RUN_STATUSES", "TIMEOUT_ANSWER_LEAD_S",
           "UNAVAILABLE", "active_attempts", "cancel_all", "cancel_others",
           "close_attempt", "find_attempt", "finish", "give_up",
           "limit_retry_delay", "log_line", "mark_load_changed", "refuse",
           "time_limit_s", "tried_servers"]

UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# Statuses that promise a caller that its request has not run and never will:
# one that may run once is sent again after them.
NOT_RUN_STATUSES = frozenset((408, 421, 429, UNAVAILABLE))
# The answer to a request that times out is sent this long before its caller
# stops waiting, s: several times the one-way network delay to a caller.
TIMEOUT_ANSWER_LEAD_S = 0.03
# Retry delay after a refusal, s: engines free slots within a few hundred
# milliseconds, and a host gets its configuration within a second.
BUSY_RETRY_S = 0.3
# Upper limit of the retry delay, as a share of the caller's time left.
MAX_RETRY_SHARE = 0.33


def active_attempts(pending):
    """Return the attempts in progress."""
    return [attempt for attempt in pending.attempts if not attempt.ended]


def time_limit_s(pending):
    """Return how long a request may take from its arrival, s.

    That is what its caller waits, or its route's timeout if that is shorter.
    """
    return pending.deadline_at + TIMEOUT_ANSWER_LEAD_S - pending.arrived_at


def tried_servers(pending):
    """Return the ids of the servers that a request mustn't be sent to again.

    Those of which it waits for a place are none.
    """
    return {attempt.sid for attempt in pending.attempts
            if not attempt.refused}


def give_up(host, pending, reason, now, retry_delay_s=BUSY_RETRY_S):
    """Finish a request with a server's error response or one of our own.

    ``retry_delay_s`` is the retry delay that is given if it has not run.
    """
    # The servers of attempts in progress may run the request.
    ran = pending.may_have_run or bool(active_attempts(pending))
    finish(host, pending)
    effect = _final_effect(pending, ran, reason, now, retry_delay_s)
    return [effect, log_line(
        "gave_up", pending.request, why=reason, ran=ran,
        status=getattr(effect, "status", None), tries=len(pending.attempts),
        after_s=round(now - pending.arrived_at, 3))]


def _final_effect(pending, ran, reason, now, retry_delay_s):
    """Return the effect that ends a request for its caller."""
    if pending.forwarded_attempt is not None:
        return effects.AbortStream(pending.key, reason)
    if pending.fallback is not None:
        return effects.ForwardResponse(pending.key, pending.fallback)
    if not ran:
        return refuse(pending.key, pending.deadline_at - now, reason,
                      retry_delay_s)
    is_late = now >= pending.deadline_at
    return effects.Answer(
        pending.key, GATEWAY_TIMEOUT if is_late else BAD_GATEWAY, reason)


def refuse(key, left_s, reason, retry_delay_s):
    """Respond that a request has not run, with a retry delay."""
    return effects.Answer(key, UNAVAILABLE, reason,
                          limit_retry_delay(retry_delay_s, left_s))


def limit_retry_delay(delay_s, left_s):
    """Return a retry delay that leaves time for the retry, s.

    ``left_s`` is the caller's time left, None if it has no limit.
    """
    if left_s is None:
        return delay_s
    return max(0.0, min(delay_s, left_s * MAX_RETRY_SHARE))


def cancel_all(host, pending):
    """Cancel all attempts of a request."""
    out = []
    for attempt in active_attempts(pending):
        out.append(effects.Cancel(pending.key, attempt.attempt_number))
        # The request was sent, so its server may have run it.
        pending.may_have_run = True
        close_attempt(host, pending, attempt)
    return out


def cancel_others(host, pending, winner):
    """Cancel all attempts but the one whose response is forwarded."""
    out = []
    for attempt in active_attempts(pending):
        if attempt is winner:
            continue
        out.append(effects.Cancel(pending.key, attempt.attempt_number))
        close_attempt(host, pending, attempt)
    return out


def find_attempt(host, event):
    """Return the request of an event, and its attempt if in progress."""
    pending = host.pending.get(event.key)
    if pending is None or event.attempt_number >= len(pending.attempts):
        return pending, None
    attempt = pending.attempts[event.attempt_number]
    if attempt.ended:
        return pending, None
    return pending, attempt


def close_attempt(host, pending, attempt):
    """Mark an attempt as over and remove it from its server's load."""
    attempt.ended = True
    target = host.servers.get(attempt.sid)
    if target is None:
        return
    if target.own_attempts.pop((pending.key, attempt.attempt_number),
                               None) is not None:
        target.memory_tokens -= attempt.memory_tokens
        if pending.route.kind is model.Kind.STREAM:
            prefill_pauses.note_stream_ended(target, pending.route)
    mark_load_changed(host, pending, target)


def mark_load_changed(host, pending, target):
    """Have an engine's changed load sent to other hosts."""
    if pending.request.prompt is not None:
        host.changed_loads.add(target.server.sid)


def finish(host, pending):
    """Remove a request from the host's state."""
    for attempt in active_attempts(pending):
        close_attempt(host, pending, attempt)
    host.held.discard(pending.key)
    schedule = host.schedules.get(pending.service)
    if schedule is not None:
        waiting_room.leave(schedule.room, pending.key)
    host.pending.pop(pending.key, None)


def log_line(name, request, **fields):
    """Return a log line about a request."""
    return effects.LogEvent(name, {"rid": request.rid, **fields})
