"""Handles the arrival, timers and cancellation of a caller's request."""

from crocuskeel.core.entry import arrivals
from crocuskeel.core.entry import attempts
from crocuskeel.core.entry import body_memory
from crocuskeel.core.entry import class_minimums
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import health
from crocuskeel.core.entry import key_owners
from crocuskeel.core.entry import model
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import part_quarantine
from crocuskeel.core.entry import prompt_parts
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import reachability
from crocuskeel.core.entry import retry_budget
from crocuskeel.core.entry import retrying
from crocuskeel.core.entry import sending
from crocuskeel.core.entry import server_load
from crocuskeel.core.entry import state as states

__all__ = ["caller_left", "request_arrived", "timer_fired"]

# Time limit of a request that has none of its own, s.
DEFAULT_DEADLINE_S = 60.0


def request_arrived(host, event, now):
    """Resolve the route of a request and send it, or refuse it."""
    request = event.request
    found = arrivals.find_destination(host, request, now)
    if found.is_err():
        refused = found.unwrap_err()
        return [effects.Answer(event.key, refused.status, refused.reason,
                               refused.retry_delay_s), *refused.lines]
    destination = found.unwrap()
    if body_memory.is_short(host.memory, destination.priority):
        return _shed(event, destination, host.memory)
    pending = _new_pending(host, event, destination, now)
    quarantine_s = quarantine.pending_time_left_s(host, pending, now)
    if quarantine_s:
        return _quarantined(host, pending, quarantine_s)
    _register(host, pending, now)
    return sending.send(host, pending, now)


def _shed(event, destination, memory):
    """Refuse a request until the memory is measured again."""
    request = event.request
    return [ending.refuse(event.key, request.deadline_s, "host memory",
                          ending.BUSY_RETRY_S),
            ending.log_line("shed", request, route=destination.route.name,
                            priority=destination.priority,
                            cause="host_memory", held=memory.held,
                            budget=memory.total)]


def _quarantined(host, pending, retry_delay_s):
    """Refuse a request that crashes servers until its quarantine ends.

    The retry delay may exceed the caller's time limit: a retry before the
    quarantine ends would only be refused again.
    """
    return [effects.Answer(pending.key, ending.UNAVAILABLE, "quarantined",
                           retry_delay_s),
            ending.log_line("quarantined", pending.request,
                            digest=pending.digest,
                            parts=part_quarantine.blamed_ids(host, pending),
                            ends_in_s=round(retry_delay_s, 1))]


def _new_pending(host, event, destination, now):
    request = event.request
    left = DEFAULT_DEADLINE_S
    if request.deadline_s is not None:
        left = request.deadline_s
    left = min(left, destination.route.timeout_s)
    max_servers = destination.route.max_servers
    if request.max_servers is not None:
        max_servers = min(max_servers, request.max_servers)
    return states.RequestState(
        key=event.key, request=request,
        digest=quarantine.digest_of(request, destination.workspace),
        part_keys=prompt_parts.keys_of(destination.service, request.prompt),
        route=destination.route, service=destination.service,
        workspace=destination.workspace,
        owner=key_owners.owner_of(host, request),
        priority=destination.priority,
        arrived_at=now,
        deadline_at=now + left - ending.TIMEOUT_ANSWER_LEAD_S,
        max_servers=max_servers)


def _register(host, pending, now):
    if pending.route.kind is model.Kind.STREAM:
        origins.note_limit(host, pending)
    host.pending[pending.key] = pending
    if pending.request.max_servers is None:
        # Otherwise the host that relays it has counted it.
        retry_budget.note_request(host, pending.service, now)
    class_minimums.note_arrived(host, pending, now)


def timer_fired(host, event, now):
    """Time out, send, hedge or move a request whose timer fired."""
    pending = host.pending.get(event.key)
    if pending is None:
        return []
    if now >= pending.deadline_at:
        return _time_out(host, pending, now)
    if not ending.active_attempts(pending):
        # It is queued on this host until a server has capacity.
        if pending.forwarded_attempt is not None and not (
                retry_budget.may_retry(host, pending.service, now)):
            return sending.wait_for_place(host, pending, now)
        return sending.send(host, pending, now)
    if pending.route.kind is not model.Kind.STREAM:
        return _hedge(host, pending, now)
    return _move(host, pending, now)


def _time_out(host, pending, now):
    out = []
    for attempt in ending.active_attempts(pending):
        if not attempt.opened:
            out += crashes.note_lost(host, pending, attempt, now, silent=True)
    out += ending.cancel_all(host, pending)
    return out + ending.give_up(host, pending, "time is up", now)


def _hedge(host, pending, now):
    timeout = [effects.SetRequestTimer(pending.key, pending.deadline_at)]
    if not retrying.may_send_again(host, pending, now):
        return timeout
    return sending.send(host, pending, now)


def _move(host, pending, now):
    """Move a resumable stream away from a silent engine.

    Before its first event a moved stream is judged by the silence of its
    new engine, which needs time to prefill the prompt. Judged by the last
    event of the former engine, it would be moved again at every check,
    0.1 s apart, and run on more servers than its route allows.
    """
    if pending.waiting_attempt is not None:
        return attempts.forward_stream(host, pending, now)
    attempt = ending.active_attempts(pending)[-1]
    target = host.servers.get(attempt.sid)
    if attempt.opened:
        limit_s = retrying.stall_limit_s(pending) - 0.001
        silent = (not pending.is_paused
                  and now - pending.last_event_at >= limit_s)
    else:
        silent = (target is None or server_load.is_silent(target, now)
                  or reachability.is_cut_off(host, pending.service))
    if not silent or not retrying.may_send_again(host, pending, now):
        return [effects.SetRequestTimer(pending.key,
                                        retrying.next_check(pending, now))]
    out = crashes.note_lost(host, pending, attempt, now, silent=True)
    out += ending.cancel_all(host, pending)
    out.append(
        ending.log_line("moved", pending.request, turn=attempt.attempt_number,
                        server=attempt.sid,
                        started=pending.forwarded_attempt is not None))
    if target is not None:
        health.record_connection_failure(target, now)
    return out + sending.send(host, pending, now)


def caller_left(host, event, now):
    """Cancel a request whose caller disconnected."""
    pending = host.pending.get(event.key)
    if pending is None:
        return []
    out = ending.cancel_all(host, pending)
    ending.finish(host, pending)
    out.append(ending.log_line("caller_left", pending.request,
                               after_s=round(now - pending.arrived_at, 3),
                               passing=pending.forwarded_attempt is not None))
    return out
