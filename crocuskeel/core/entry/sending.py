"""Sends requests to servers, and ends them for good."""

from crocuskeel.core.entry import admission
from crocuskeel.core.entry import budget
from crocuskeel.core.entry import choosing
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import model
from crocuskeel.core.entry import parts
from crocuskeel.core.entry import pauses
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import state as states

__all__ = [
    "UNAVAILABLE", "cancel_all", "cancel_others", "changed", "find",
    "finish", "give_up", "live", "may_go_on", "next_check", "note",
    "refuse", "release", "send", "stall_s",
]

UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# Less than this is left: no server can do anything with it, s.
WORTH_SENDING_S = 0.02
# When to come back after a refusal, s: engines free slots within some
# hundred milliseconds, a host learns its configuration within a second.
BUSY_RETRY_S = 0.3
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


def send(host, pending, now):
    """Send a request to the best server that it may still go to."""
    left = pending.ends_at - now
    if left < WORTH_SENDING_S:
        return give_up(host, pending, "time is up", now)
    parts.look(
        pending, choosing.sound(host, pending.service, now), now)
    tried = {attempt.sid for attempt in pending.tries}
    target = choosing.choose(host, pending, tried, now)
    if target is None:
        return give_up(host, pending, "no server", now)
    if not admission.admits(host, pending, target, now):
        full, target = target, _elsewhere(host, pending, now)
        if target is None:
            if now < admission.hold_until(pending):
                return _hold(host, pending, now)
            return _shed(host, pending, full, now)
    attempt, source = _begin(host, pending, target, now)
    order = effects.Send(
        pending.key, attempt.turn, target.server, left, pending.priority,
        pending.workspace, pending.route.kind is model.Kind.STREAM,
        resume=pending.passing is not None,
        fetch_from=source.server.address if source else None)
    return [order,
            note("sent", pending.request, turn=attempt.turn,
                 server=target.server.sid, service=pending.service,
                 mine=len(target.mine),
                 running=choosing.running(target, now),
                 ahead=choosing.ahead_tokens(target, now),
                 said=target.load,
                 said_age_s=round(min(99, now - target.load_at), 1),
                 fresh=attempt.fresh_tokens, spill=attempt.spilled_tokens,
                 fetch=attempt.fetched_tokens,
                 source=source.server.sid if source else "",
                 priority=pending.priority,
                 loud_s=round(pauses.loud_s(target, now), 3),
                 left_s=round(left, 2),
                 version=host.catalog.version),
            effects.Timer(pending.key, next_check(pending, now))]


def _hold(host, pending, now):
    """Have a request wait here for room at an engine."""
    host.held.add(pending.key)
    due = min(pending.ends_at, admission.look_at(host, now))
    return [effects.Timer(pending.key, due)]


def _elsewhere(host, pending, now):
    """Return another server for a request that its best one can't take.

    At once, if its shared parts can be had there without reading; else
    it waits first for the one that holds them. On a day of high load with
    70 engines 0.37 of what requests were worth came in so, 0.32 when all
    waited first.
    """
    if (now < admission.hold_until(pending)
            and not parts.follow(host, pending)):
        return None
    return _with_room(host, pending, now)


def _with_room(host, pending, now):
    """Return the best server that lets a request in, or None.

    Reading shared parts once more costs less than a refusal.
    """
    def has_room(state):
        return (admission.may_spill(host, pending, state)
                and admission.admits(host, pending, state, now))

    return choosing.choose_with_room(host, pending, has_room, now)


def _shed(host, pending, target, now):
    """Refuse a request that no server has room for."""
    line = note("shed", pending.request, server=target.server.sid,
                priority=pending.priority,
                running=choosing.running(target, now),
                ahead=choosing.ahead_tokens(target, now),
                reading=choosing.reading(target, now),
                back=admission.came_back(pending))
    finish(host, pending)
    retry_s = admission.retry_s(host, pending, now)
    return [refuse(pending.key, pending.ends_at - now, "overload",
                   retry_s), line]


def _begin(host, pending, target, now):
    attempt = states.Try(len(pending.tries), target.server.sid,
                         target.server.incarnation, now)
    source = None
    if pending.request.prompt is not None:
        source = _note_prompt(host, pending, target, attempt, now)
    host.held.discard(pending.key)
    pending.tries.append(attempt)
    pending.sent += 1
    pending.reached_out += 1
    if not target.mine:
        target.asked_at = now
    target.mine[pending.key, attempt.turn] = attempt.fresh_tokens
    if pending.route.kind is model.Kind.STREAM:
        pauses.note_sent(target, pending.route)
        pauses.heard(target, choosing.ahead_s(target, now), now)
    changed(host, pending, target)
    if pending.sent > 1:
        budget.repeated(host, pending.service, now)
    return attempt, source


def _note_prompt(host, pending, target, attempt, now):
    """Note what an engine reads, fetches and comes to hold.

    Returns the server that it is to fetch from, or None.
    """
    prompt = pending.request.prompt
    source = parts.source(host, target, pending, choosing.sound(
        host, pending.service, now), now)
    held = parts.held(target, prompt)
    attempt.fresh_tokens = parts.to_read(host, target, pending)
    attempt.fetched_tokens = parts.fetchable(host, pending, held)
    attempt.spilled_tokens = max(
        0, pending.elsewhere - held - attempt.fetched_tokens)
    attempt.memory = prompt.tokens + prompt.output
    target.memory += attempt.memory
    engine = parts.engine_of(host, pending.service)
    if engine is not None:
        read_at = now + choosing.ahead_s(target, now) + choosing.read_s(
            target, attempt.fresh_tokens)
        parts.place(host, target, prompt, engine.memory, now, read_at)
    return source


def next_check(pending, now):
    """Return when to look at the request again."""
    if not pending.route.repeatable:
        return pending.ends_at
    if pending.tries[-1].opened:
        due = max(now + RECHECK_S, pending.progress_at + stall_s(pending))
        return min(pending.ends_at, due)
    share = HEDGE_SHARE
    if pending.route.kind is model.Kind.STREAM:
        share = MOVE_SHARE
    due = pending.tries[-1].at + share * pending.route.goal_s
    return min(pending.ends_at, max(due, now + RECHECK_S))


def stall_s(pending):
    """Return the pause after which a stream counts as silent, s."""
    return max(STALL_LEAST_S, STALL_GAPS * pending.route.gap_s)


def may_go_on(host, pending, now):
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


def live(pending):
    """Return the attempts under way."""
    return [attempt for attempt in pending.tries if not attempt.over]


def give_up(host, pending, reason, now):
    """Answer for good: what a server said, or what is known."""
    finish(host, pending)
    line = note("gave_up", pending.request, why=reason,
                ran=pending.may_have_run, tries=len(pending.tries),
                after_s=round(now - pending.at, 3))
    if pending.passing is not None:
        return [effects.Cut(pending.key, reason), line]
    if pending.fallback is not None:
        return [effects.PassOn(pending.key, pending.fallback), line]
    if not pending.may_have_run:
        left = pending.ends_at - now
        return [refuse(pending.key, left, reason, BUSY_RETRY_S), line]
    status = BAD_GATEWAY
    if now >= pending.ends_at:
        status = GATEWAY_TIMEOUT
    return [effects.Answer(pending.key, status, reason), line]


def refuse(key, left_s, reason, retry_s):
    """Say that a request has not run, and when to come back."""
    if left_s is not None:
        retry_s = max(0.0, min(retry_s, left_s * RETRY_SHARE))
    return effects.Answer(key, UNAVAILABLE, reason, retry_s)


def cancel_all(host, pending):
    """End all attempts of a request."""
    out = []
    for attempt in live(pending):
        out.append(effects.Cancel(pending.key, attempt.turn))
        # Once its bytes went out, a server may have run it.
        pending.may_have_run = True
        release(host, pending, attempt)
    return out


def cancel_others(host, pending, winner):
    """End all attempts but the one that the caller gets."""
    out = []
    for attempt in live(pending):
        if attempt is winner:
            continue
        out.append(effects.Cancel(pending.key, attempt.turn))
        release(host, pending, attempt)
    return out


def find(host, event):
    """Return the request and the live attempt of an event."""
    pending = host.pending.get(event.key)
    if pending is None or event.turn >= len(pending.tries):
        return pending, None
    attempt = pending.tries[event.turn]
    if attempt.over:
        return pending, None
    return pending, attempt


def release(host, pending, attempt):
    """Note that an attempt is over."""
    attempt.over = True
    target = host.servers.get(attempt.sid)
    if target is None:
        return
    if target.mine.pop((pending.key, attempt.turn), None) is not None:
        target.memory -= attempt.memory
        if pending.route.kind is model.Kind.STREAM:
            pauses.note_over(target, pending.route)
    changed(host, pending, target)


def changed(host, pending, target):
    """Have other hosts told of an engine's load."""
    if pending.request.prompt is not None:
        host.changed.add(target.server.sid)


def finish(host, pending):
    """Forget a request."""
    for attempt in live(pending):
        release(host, pending, attempt)
    host.held.discard(pending.key)
    host.pending.pop(pending.key, None)


def note(name, request, **fields):
    """Return a log line about a request."""
    return effects.Note(name, {"rid": request.rid, **fields})
