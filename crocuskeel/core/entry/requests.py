"""A request from arrival to its one final answer."""

from crocuskeel.core.entry import admission
from crocuskeel.core.entry import budget
from crocuskeel.core.entry import choosing
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import health
from crocuskeel.core.entry import model
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import state as states

__all__ = ["answered", "arrived", "broken", "caller_left", "ended",
           "opened", "progressed", "timer_fired"]

UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
FAILED = 500
# Without a time limit of its own a caller is taken to wait this long, s.
DEFAULT_DEADLINE_S = 60.0
# The answer to a request that runs out of time is sent this much before
# its caller stops waiting, s: several one-way delays to a caller.
LAST_WORD_S = 0.03
# A server that sheds is left alone for this long, s.
FULL_S = 0.15
# Less than this is left: no server can do anything with it, s.
WORTH_SENDING_S = 0.02
# Attempts to reach a server, on top of servers that may have run it.
REACHES = 4
# When to come back after a refusal, s: engines free slots within some
# hundred milliseconds, a host learns its configuration within a second.
BUSY_RETRY_S = 0.3
STARTING_RETRY_S = 0.5
# A caller waits no more than this share of its time left.
RETRY_SHARE = 0.33
# A repeatable call is sent to a second server, too, when this share of
# its goal is gone, and so early enough to be answered on time.
HEDGE_SHARE = 0.5
# A resumable stream without its first event may be moved when this share
# of its goal is gone, if its engine is silent.
MOVE_SHARE = 0.45
# A resumable stream is moved when it pauses for longer than this many
# of the longest pauses that are on time; s at the least.
STALL_GAPS = 1.0
STALL_LEAST_S = 0.4
# A request that may not be moved yet is looked at again after this, s.
RECHECK_S = 0.1


def arrived(host, event, now):
    """Place a request and send it on, or refuse it."""
    request = event.request
    if host.catalog is None or not host.servers_known:
        return [_refuse(event.key, request.deadline_s, "starting",
                        STARTING_RETRY_S)]
    placed = routing.place(host.catalog, request)
    if placed.is_err():
        refusal = placed.unwrap_err()
        return [effects.Answer(event.key, refusal.status, refusal.reason),
                _note("refused", request, status=refusal.status,
                      why=refusal.reason, version=host.catalog.version)]
    if quarantine.condemned(host, request.digest, now):
        return [_refuse(event.key, request.deadline_s, "quarantined",
                        None),
                _note("quarantined", request)]
    pending = _admit(host, event, placed.unwrap(), now)
    return _send(host, pending, now)


def _admit(host, event, placed, now):
    request = event.request
    left = DEFAULT_DEADLINE_S
    if request.deadline_s is not None:
        left = request.deadline_s
    left = min(left, placed.route.timeout_s)
    pending = states.Pending(
        key=event.key, request=request, route=placed.route,
        service=placed.service, workspace=placed.workspace,
        priority=placed.priority, at=now,
        ends_at=now + left - LAST_WORD_S)
    host.pending[event.key] = pending
    budget.arrived(host, placed.service, now)
    return pending


def _send(host, pending, now):
    """Send a request to the best server that it may still go to."""
    left = pending.ends_at - now
    if left < WORTH_SENDING_S:
        return _give_up(host, pending, "time is up", now)
    tried = {attempt.sid for attempt in pending.tries}
    target = choosing.choose(
        host, pending.service, pending.request, tried, now)
    if target is None:
        return _give_up(host, pending, "no server", now)
    if not pending.tries and not admission.admits(
            host, pending, target, now):
        return _hold(host, pending, target, now)
    attempt = _begin(host, pending, target, now)
    send = effects.Send(
        pending.key, attempt.turn, target.server, left, pending.priority,
        pending.workspace, pending.route.kind is model.Kind.STREAM,
        resume=pending.passing is not None)
    return [send,
            _note("sent", pending.request, turn=attempt.turn,
                  server=target.server.sid, service=pending.service,
                  mine=len(target.mine),
                  running=choosing.running(target, now),
                  ahead=choosing.ahead_tokens(target, now),
                  said=target.load,
                  said_age_s=round(min(99, now - target.load_at), 1),
                  fresh=attempt.fresh_tokens, spill=attempt.spilled_tokens,
                  left_s=round(left, 2),
                  version=host.catalog.version),
            effects.Timer(pending.key, _next_check(pending, now))]


def _hold(host, pending, target, now):
    """Wait a moment for room, then refuse."""
    if now < admission.hold_until(pending):
        return [effects.Timer(pending.key, now + admission.RECHECK_S)]
    line = _note("shed", pending.request, server=target.server.sid,
                 priority=pending.priority,
                 running=choosing.running(target, now),
                 ahead=choosing.ahead_tokens(target, now),
                 reading=choosing.reading(target, now),
                 back=admission.came_back(pending))
    _finish(host, pending)
    retry_s = admission.retry_s(host, pending, now)
    return [_refuse(pending.key, pending.ends_at - now, "overload",
                    retry_s), line]


def _begin(host, pending, target, now):
    fresh = spilled = 0
    prompt = pending.request.prompt
    if prompt is not None:
        engine = host.catalog.services[pending.service].engine
        fresh = choosing.fresh_tokens(target, prompt)
        spilled = choosing.spilled_tokens(host, target, prompt)
        if engine is not None:
            choosing.place(host, target, prompt, engine.memory, now)
    attempt = states.Try(len(pending.tries), target.server.sid, now, fresh,
                         spilled)
    pending.tries.append(attempt)
    pending.sent += 1
    pending.reached_out += 1
    if not target.mine:
        target.asked_at = now
    target.mine[pending.key, attempt.turn] = fresh
    _changed(host, pending, target)
    if pending.sent > 1:
        budget.repeated(host, pending.service, now)
    return attempt


def _next_check(pending, now):
    """Return when to look at the request again."""
    if not pending.route.repeatable:
        return pending.ends_at
    if pending.passing is not None:
        due = max(now + RECHECK_S, pending.progress_at + _stall_s(pending))
        return min(pending.ends_at, due)
    share = HEDGE_SHARE
    if pending.route.kind is model.Kind.STREAM:
        share = MOVE_SHARE
    due = pending.tries[-1].at + share * pending.route.goal_s
    return min(pending.ends_at, max(due, now + RECHECK_S))


def _stall_s(pending):
    return max(STALL_LEAST_S, STALL_GAPS * pending.route.gap_s)


def timer_fired(host, event, now):
    """Look at a request whose time has come."""
    pending = host.pending.get(event.key)
    if pending is None:
        return []
    if now >= pending.ends_at:
        return _out_of_time(host, pending, now)
    if not pending.tries:
        return _send(host, pending, now)
    if pending.route.kind is not model.Kind.STREAM:
        return _hedge(host, pending, now)
    return _move(host, pending, now)


def _out_of_time(host, pending, now):
    out = _cancel_all(host, pending)
    return out + _give_up(host, pending, "time is up", now)


def _hedge(host, pending, now):
    again = [effects.Timer(pending.key, pending.ends_at)]
    if not _may_go_on(host, pending, now):
        return again
    return _send(host, pending, now)


def _move(host, pending, now):
    """Move a resumable stream away from an engine that fell silent."""
    live = _live(pending)
    if not live:
        return []
    attempt = live[-1]
    target = host.servers.get(attempt.sid)
    if pending.passing is not None:
        silent = now - pending.progress_at >= _stall_s(pending) - 0.001
    else:
        silent = target is None or choosing.is_silent(target, now)
    if not silent or not _may_go_on(host, pending, now):
        return [effects.Timer(pending.key, _next_check(pending, now))]
    out = [effects.Cancel(pending.key, attempt.turn),
           _note("moved", pending.request, turn=attempt.turn,
                 server=attempt.sid, started=pending.passing is not None)]
    if target is not None:
        health.unreached(target, now)
    _release(host, pending, attempt)
    return out + _send(host, pending, now)


def _may_go_on(host, pending, now):
    """Say whether one more server may get this request."""
    if not pending.route.repeatable:
        return False
    if pending.ends_at - now < WORTH_SENDING_S:
        return False
    if _counted(host, pending) >= pending.route.tries:
        return False
    if quarantine.condemned(host, pending.request.digest, now):
        return False
    tried = {attempt.sid for attempt in pending.tries}
    if not _others(host, pending.service, tried):
        return False
    return budget.may_repeat(host, pending.service, now)


def _counted(host, pending):
    """Return how many servers a request was sent to that still live."""
    lost = sum(1 for attempt in pending.tries
               if attempt.over and attempt.fresh_tokens >= 0
               and _is_lost(host, attempt.sid))
    return pending.sent - lost


def _is_lost(host, sid):
    target = host.servers.get(sid)
    return target is None or target.unreached


def _others(host, service, tried):
    return any(state.server.sid not in tried
               and not state.server.draining
               for state in host.by_service.get(service, ()))


def _live(pending):
    return [attempt for attempt in pending.tries if not attempt.over]


def opened(host, event, now):
    """The first event of a stream: the caller gets this answer."""
    pending, attempt = _find(host, event)
    if attempt is None:
        return []
    target = host.servers.get(attempt.sid)
    if target is not None:
        _note_pace(target, attempt, now)
        target.mine[pending.key, attempt.turn] = 0
        _changed(host, pending, target)
        choosing.note_load(target, event.load, now)
    pending.may_have_run = True
    pending.passing = attempt.turn
    pending.progress_at = now
    out = _cancel_others(host, pending, attempt)
    out.append(effects.PassOn(pending.key, attempt.turn))
    out.append(effects.Timer(pending.key, _next_check(pending, now)))
    out.append(_note("opened", pending.request, turn=attempt.turn,
                     server=attempt.sid, load=event.load,
                     after_s=round(now - attempt.at, 3)))
    return out


def _note_pace(target, attempt, now):
    tokens = attempt.fresh_tokens + sum(target.mine.values())
    expected = 0.05 + tokens / choosing.PREFILL_TOKENS_S
    health.timed(target, now - attempt.at, expected)
    health.heard(target, now)


def progressed(host, event, now):
    """More of a stream came."""
    pending, attempt = _find(host, event)
    if attempt is None:
        return []
    pending.progress_at = now
    target = host.servers.get(attempt.sid)
    if target is not None:
        health.heard(target, now)
    return []


def ended(host, event, now):
    """A stream is complete."""
    pending, attempt = _find(host, event)
    if attempt is None:
        return []
    target = host.servers.get(attempt.sid)
    if target is not None:
        health.succeeded(target, now)
    _finish(host, pending)
    return [_note("served", pending.request, turn=attempt.turn,
                  server=attempt.sid, took_s=round(now - pending.at, 3))]


def answered(host, event, now):
    """A whole answer: pass it on, or try another server after a failure."""
    pending, attempt = _find(host, event)
    if attempt is None:
        return []
    target = host.servers.get(attempt.sid)
    _release(host, pending, attempt)
    pending.may_have_run = True
    if event.status < FAILED:
        return _pass_on(host, pending, attempt, target, event, now)
    if target is not None:
        health.failed(target, now)
    pending.fallback = attempt.turn
    if _live(pending):
        return []
    if pending.passing is None and _may_go_on(host, pending, now):
        return [_note("failed", pending.request, turn=attempt.turn,
                      server=attempt.sid, status=event.status)
                ] + _send(host, pending, now)
    return _give_up(host, pending, f"server failed {event.status}", now)


def _pass_on(host, pending, attempt, target, event, now):
    if pending.passing is not None:
        return _give_up(host, pending, "resume was refused", now)
    if target is not None:
        choosing.note_load(target, event.load, now)
        health.succeeded(target, now)
    out = _cancel_others(host, pending, attempt)
    out.append(effects.PassOn(pending.key, attempt.turn))
    out.append(_note("served", pending.request, turn=attempt.turn,
                     server=attempt.sid, status=event.status,
                     took_s=round(now - pending.at, 3)))
    _finish(host, pending)
    return out


def broken(host, event, now):
    """An attempt ended without an answer."""
    pending, attempt = _find(host, event)
    if attempt is None:
        return []
    _release(host, pending, attempt)
    _judge(host, pending, attempt, event, now)
    line = _note("broken", pending.request, turn=attempt.turn,
                 server=attempt.sid, outcome=event.outcome.value,
                 detail=event.detail, passing=pending.passing is not None)
    if _live(pending):
        return [line]
    if _may_try_again(host, pending, event.outcome, now):
        return [line] + _send(host, pending, now)
    return [line] + _give_up(host, pending, event.outcome.value, now)


def _may_try_again(host, pending, outcome, now):
    if outcome is model.Outcome.UNREACHED:
        return pending.reached_out < REACHES
    if outcome is model.Outcome.MISDIRECTED:
        return pending.reached_out < REACHES
    if outcome is model.Outcome.NOT_RUN and not pending.may_have_run:
        return (pending.sent < pending.route.tries
                and budget.may_repeat(host, pending.service, now))
    return _may_go_on(host, pending, now)


def _judge(host, pending, attempt, event, now):
    """Learn from a broken attempt, of the request and its server."""
    target = host.servers.get(attempt.sid)
    digest = pending.request.digest
    match event.outcome:
        case model.Outcome.UNREACHED:
            pending.sent -= 1
            attempt.fresh_tokens = -1
            quarantine.note_unreached(host, attempt.sid, now)
            if target is not None:
                target.unreached = True
                health.unreached(target, now)
        case model.Outcome.MISDIRECTED:
            attempt.fresh_tokens = -1
            pending.sent -= 1
            if target is not None:
                health.unreached(target, now)
        case model.Outcome.NOT_RUN:
            if target is not None:
                _note_full(target, now)
        case _:
            pending.may_have_run = True
            if event.torn:
                quarantine.note_torn(host, digest, attempt.sid, now)
            if target is not None:
                health.unreached(target, now)


def _note_full(target, now):
    """A server that sheds is full, whatever was thought of it."""
    target.heard_at = now
    target.suspect_until = max(target.suspect_until, now + FULL_S)


def caller_left(host, event, now):
    """The caller is gone: nobody needs the answer."""
    pending = host.pending.get(event.key)
    if pending is None:
        return []
    out = _cancel_all(host, pending)
    _finish(host, pending)
    out.append(_note("caller_left", pending.request,
                     after_s=round(now - pending.at, 3),
                     passing=pending.passing is not None))
    return out


def _give_up(host, pending, reason, now):
    """Answer for good: what a server said, or what is known."""
    _finish(host, pending)
    line = _note("gave_up", pending.request, why=reason,
                 ran=pending.may_have_run, tries=len(pending.tries),
                 after_s=round(now - pending.at, 3))
    if pending.passing is not None:
        return [effects.Cut(pending.key, reason), line]
    if pending.fallback is not None:
        return [effects.PassOn(pending.key, pending.fallback), line]
    if not pending.may_have_run:
        left = pending.ends_at - now
        return [_refuse(pending.key, left, reason, BUSY_RETRY_S), line]
    status = BAD_GATEWAY
    if now >= pending.ends_at:
        status = GATEWAY_TIMEOUT
    return [effects.Answer(pending.key, status, reason), line]


def _refuse(key, left_s, reason, retry_s):
    """Say that a request has not run, and when to come back."""
    if retry_s is not None and left_s is not None:
        retry_s = max(0.0, min(retry_s, left_s * RETRY_SHARE))
    return effects.Answer(key, UNAVAILABLE, reason, retry_s)


def _cancel_all(host, pending):
    out = []
    for attempt in _live(pending):
        out.append(effects.Cancel(pending.key, attempt.turn))
        # Once its bytes went out, a server may have run it.
        pending.may_have_run = True
        _release(host, pending, attempt)
    return out


def _cancel_others(host, pending, winner):
    out = []
    for attempt in _live(pending):
        if attempt is winner:
            continue
        out.append(effects.Cancel(pending.key, attempt.turn))
        _release(host, pending, attempt)
    return out


def _find(host, event):
    pending = host.pending.get(event.key)
    if pending is None or event.turn >= len(pending.tries):
        return pending, None
    attempt = pending.tries[event.turn]
    if attempt.over:
        return pending, None
    return pending, attempt


def _release(host, pending, attempt):
    attempt.over = True
    target = host.servers.get(attempt.sid)
    if target is not None:
        target.mine.pop((pending.key, attempt.turn), None)
        _changed(host, pending, target)


def _changed(host, pending, target):
    if pending.request.prompt is not None:
        host.changed.add(target.server.sid)


def _finish(host, pending):
    for attempt in _live(pending):
        _release(host, pending, attempt)
    host.pending.pop(pending.key, None)


def _note(name, request, **fields):
    return effects.Note(name, {"rid": request.rid, **fields})
