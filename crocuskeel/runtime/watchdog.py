"""One periodic check of the deadlines of all streams.

A ``DelayedCall`` for each chunk would cost more than relaying it.
"""

from crocuskeel.core import events
from crocuskeel.runtime import attempts
from crocuskeel.runtime import callers
from crocuskeel.runtime import http_client
from crocuskeel.runtime import loop
from crocuskeel.runtime import records
from crocuskeel.runtime import replays
from crocuskeel.runtime import response_cache

__all__ = ["check", "start"]

INTERVAL_S = 0.25
MAX_LATE_S = 1.0
CALLER_STALL_TIMEOUT_S = 20.0


def start(ctx):
    """Start checking deadlines periodically."""
    due = ctx.reactor.seconds() + INTERVAL_S
    ctx.reactor.callLater(INTERVAL_S, _run, ctx, due)


def _run(ctx, due):
    late_s = ctx.reactor.seconds() - due
    start(ctx)
    if late_s > MAX_LATE_S:
        # Data that arrived during the pause has not been read yet, so all
        # servers would look silent now. The next round checks them.
        records.record_event(ctx, "paused", late_s=round(late_s, 3))
        return
    check(ctx)


def check(ctx):
    """Check all deadlines once and report the attempts' progress."""
    now = ctx.reactor.seconds()
    for attempt in list(ctx.attempts.values()):
        _check_attempt(ctx, attempt, now)
    callers.remove_finished(ctx)
    response_cache.remove_expired(ctx, now)
    replays.fail_expired(ctx, now)


def _check_attempt(ctx, attempt, now):
    paused_at = attempt.exchange.paused_at
    if paused_at and not attempt.exchange.caller_gone:
        # The caller does not read; the server is not silent.
        if now - paused_at > CALLER_STALL_TIMEOUT_S:
            attempt.exchange.req.transport.abortConnection()
        return
    last_activity = (attempt.last_data_at if attempt.first_data_at
                     else attempt.opened_at)
    timeout_s = (attempt.silence_s if attempt.first_data_at
                 else attempt.first_byte_s)
    if now - last_activity > timeout_s:
        _end_silent_attempt(ctx, attempt)
    elif attempt.event_count != attempt.reported_events:
        attempt.reported_events = attempt.event_count
        loop.feed(ctx, events.AttemptProgress(
            attempt.rid, attempt.number, attempt.event_count))


def _end_silent_attempt(ctx, attempt):
    # The connection may be dead while new ones work: neither it nor the
    # other idle connections to that server are reused.
    http_client.drop_idle_connections(ctx, attempt.url)
    attempts.close(ctx, attempt, events.AttemptEnd.TIMED_OUT)
    attempts.abort(attempt)
