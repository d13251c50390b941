"""Ends attempts at servers, and requests for good."""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import model
from crocuskeel.core.entry import pauses

__all__ = ["BUSY_RETRY_S", "UNAVAILABLE", "cancel_all", "cancel_others",
           "changed", "find", "finish", "give_up", "live", "note", "refuse",
           "release"]

UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
# When to come back after a refusal, s: engines free slots within some
# hundred milliseconds, a host learns its configuration within a second.
BUSY_RETRY_S = 0.3
# A caller waits no more than this share of its time left.
RETRY_SHARE = 0.33


def live(pending):
    """Return the attempts under way."""
    return [attempt for attempt in pending.tries if not attempt.over]


def give_up(host, pending, reason, now, retry_s=BUSY_RETRY_S):
    """Answer for good: what a server said, or what is known.

    ``retry_s`` is when to come back if it has not run.
    """
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
        return [refuse(pending.key, left, reason, retry_s), line]
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
