"""One coarse loop for the deadlines of all streams.

A ``DelayedCall`` for each chunk would cost more than relaying it.
"""

from crocuskeel.core import events
from crocuskeel.runtime import attempts
from crocuskeel.runtime import callers
from crocuskeel.runtime import http_client
from crocuskeel.runtime import kept
from crocuskeel.runtime import loop
from crocuskeel.runtime import records
from crocuskeel.runtime import replays

__all__ = ["check", "start"]

EVERY_S = 0.25
PAUSE_S = 1.0
CALLER_STALL_S = 20.0


def start(ctx):
    """Check all deadlines from now on."""
    due = ctx.reactor.seconds() + EVERY_S
    ctx.reactor.callLater(EVERY_S, _again, ctx, due)


def _again(ctx, due):
    late_s = ctx.reactor.seconds() - due
    start(ctx)
    if late_s > PAUSE_S:
        # What came in during the pause is not read yet: judged now, all
        # servers would look silent. The next round judges.
        records.note(ctx, "paused", late_s=round(late_s, 3))
        return
    check(ctx)


def check(ctx):
    """Check all deadlines once and report the attempts' progress."""
    now = ctx.reactor.seconds()
    for attempt in list(ctx.attempts.values()):
        _check_attempt(ctx, attempt, now)
    callers.sweep(ctx)
    kept.sweep(ctx, now)
    replays.sweep(ctx, now)


def _check_attempt(ctx, attempt, now):
    paused_at = attempt.held.paused_at
    if paused_at and not attempt.held.gone:
        # Not reading is the caller's fault, not the server's silence.
        if now - paused_at > CALLER_STALL_S:
            attempt.held.req.transport.abortConnection()
        return
    since = attempt.last_at if attempt.first_at else attempt.opened_at
    limit = attempt.silence_s if attempt.first_at else attempt.first_byte_s
    if now - since > limit:
        _silent(ctx, attempt)
    elif attempt.events != attempt.reported:
        attempt.reported = attempt.events
        loop.feed(ctx, events.AttemptProgress(
            attempt.rid, attempt.number, attempt.events))


def _silent(ctx, attempt):
    # The connection may be dead while new ones work: neither this nor
    # the other idle ones to that server are used again.
    http_client.retire(ctx, attempt.url)
    attempts.close(ctx, attempt, events.AttemptEnd.SILENT)
    attempts.abort(attempt)
