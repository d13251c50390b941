"""What attempts at servers bring: answers, events, failures."""

from crocuskeel.core.entry import budget
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import health
from crocuskeel.core.entry import model
from crocuskeel.core.entry import pace
from crocuskeel.core.entry import parts
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import repeating
from crocuskeel.core.entry import sending
from crocuskeel.core.entry import serverload
from crocuskeel.core.entry import usage

__all__ = ["answered", "broken", "ended", "opened", "progressed"]

FAILED = 500
# A server that sheds is left alone for this long, s.
FULL_S = 0.15
# Attempts to reach a server, on top of servers that may have run it.
REACHES = 4
# The request got to no server that could run it.
REACHED_NOBODY = (model.Outcome.UNREACHED, model.Outcome.REFUSED,
                  model.Outcome.MISDIRECTED)


def opened(host, event, now):
    """The first event of a stream: the caller gets this answer."""
    pending, attempt = ending.find(host, event)
    if attempt is None:
        return []
    target = host.servers.get(attempt.sid)
    if target is not None:
        _note_pace(target, attempt, now)
        target.mine[pending.key, attempt.turn] = 0
        ending.changed(host, pending, target)
        serverload.note_load(target, event.load, now)
    pending.may_have_run = True
    usage.began(host, pending, now)
    attempt.opened = True
    pending.passing = attempt.turn
    pending.progress_at = now
    out = ending.cancel_others(host, pending, attempt)
    out.append(effects.PassOn(pending.key, attempt.turn))
    out.append(effects.Timer(pending.key, repeating.next_check(pending, now)))
    out.append(ending.note("opened", pending.request, turn=attempt.turn,
                           server=attempt.sid, load=event.load,
                           after_s=round(now - attempt.at, 3)))
    return out


def _note_pace(target, attempt, now):
    tokens = attempt.fresh_tokens + sum(target.mine.values())
    expected = 0.05 + tokens / parts.READ_TOKENS_S
    health.timed(target, now - attempt.at, expected)
    health.heard(target, now)


def progressed(host, event, now):
    """More of a stream came."""
    pending, attempt = ending.find(host, event)
    if attempt is None:
        return []
    gap_s = now - pending.progress_at
    pending.pause_s = max(pending.pause_s, gap_s)
    pending.progress_at = now
    target = host.servers.get(attempt.sid)
    if target is not None:
        health.heard(target, now)
        _note_gap(host, pending, target, gap_s, now)
    return []


def _note_gap(host, pending, target, gap_s, now):
    seen = pace.of_service(host, pending.service)
    pace.note_gap(seen, pending.ahead_s, gap_s)
    pending.ahead_s = serverload.ahead_s(target, now)


def ended(host, event, now):
    """A stream is complete."""
    pending, attempt = ending.find(host, event)
    if attempt is None:
        return []
    target = host.servers.get(attempt.sid)
    _note_success(host, target, attempt, now)
    ending.finish(host, pending)
    return [ending.note("served", pending.request, turn=attempt.turn,
                        server=attempt.sid,
                        took_s=round(now - pending.at, 3),
                        pause_s=round(pending.pause_s, 3),
                        gap_s=pending.route.gap_s)]


def _note_success(host, target, attempt, now):
    quarantine.note_alive(host, attempt.incarnation, attempt.at)
    if target is not None:
        health.succeeded(target, now)


def answered(host, event, now):
    """A whole answer: pass it on, or try another server after a failure."""
    pending, attempt = ending.find(host, event)
    if attempt is None:
        return []
    target = host.servers.get(attempt.sid)
    ending.release(host, pending, attempt)
    pending.may_have_run = True
    usage.began(host, pending, attempt.at)
    if event.status < FAILED:
        return _pass_on(host, pending, attempt, target, event, now)
    if target is not None:
        health.failed(target, now)
    pending.fallback = attempt.turn
    if ending.live(pending):
        return []
    if pending.passing is None and repeating.may_go_on(host, pending, now):
        return [ending.note("failed", pending.request, turn=attempt.turn,
                            server=attempt.sid, status=event.status)
                ] + sending.send(host, pending, now)
    return ending.give_up(host, pending, f"server failed {event.status}", now)


def _pass_on(host, pending, attempt, target, event, now):
    if pending.passing is not None:
        return ending.give_up(host, pending, "resume was refused", now)
    if target is not None:
        serverload.note_load(target, event.load, now)
    _note_success(host, target, attempt, now)
    out = ending.cancel_others(host, pending, attempt)
    out.append(effects.PassOn(pending.key, attempt.turn))
    out.append(ending.note("served", pending.request, turn=attempt.turn,
                           server=attempt.sid, status=event.status,
                           took_s=round(now - pending.at, 3)))
    ending.finish(host, pending)
    return out


def broken(host, event, now):
    """An attempt ended without an answer."""
    pending, attempt = ending.find(host, event)
    if attempt is None:
        return []
    ending.release(host, pending, attempt)
    _judge(host, pending, attempt, event, now)
    line = ending.note("broken", pending.request, turn=attempt.turn,
                       server=attempt.sid, outcome=event.outcome.value,
                       detail=event.detail,
                       passing=pending.passing is not None)
    if ending.live(pending):
        return [line]
    if _may_try_again(host, pending, event.outcome, now):
        return [line] + sending.send(host, pending, now)
    return [line] + ending.give_up(host, pending, event.outcome.value, now)


def _may_try_again(host, pending, outcome, now):
    if outcome in REACHED_NOBODY:
        return pending.reached_out < REACHES
    if outcome is model.Outcome.NOT_RUN and not pending.may_have_run:
        return (pending.sent < pending.route.tries
                and budget.may_repeat(host, pending.service, now))
    return repeating.may_go_on(host, pending, now)


def _judge(host, pending, attempt, event, now):
    """Learn from a broken attempt, of the request and its server."""
    target = host.servers.get(attempt.sid)
    digest = pending.request.digest
    match event.outcome:
        case model.Outcome.UNREACHED | model.Outcome.REFUSED:
            pending.sent -= 1
            attempt.fresh_tokens = -1
            quarantine.note_gone(host, attempt.sid, now)
            if event.outcome is model.Outcome.REFUSED:
                host.refusing.add(attempt.sid)
            if target is not None:
                target.unreached = True
                health.unreached(target, now)
        case model.Outcome.MISDIRECTED:
            attempt.fresh_tokens = -1
            pending.sent -= 1
            if target is not None:
                target.misdirects = True
        case model.Outcome.NOT_RUN:
            if target is not None:
                _note_full(target, now)
        case _:
            pending.may_have_run = True
            if pending.route.kind is not model.Kind.STREAM:
                usage.began(host, pending, attempt.at)
            if event.torn:
                quarantine.note_torn(host, digest, attempt, now)
            if target is not None:
                health.unreached(target, now)


def _note_full(target, now):
    """A server that sheds is full, whatever was thought of it."""
    target.heard_at = now
    target.suspect_until = max(target.suspect_until, now + FULL_S)
