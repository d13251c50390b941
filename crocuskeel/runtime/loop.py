"""Passes events to the reducer in order and runs its effects."""

from loguru import logger

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.runtime import event_queue

__all__ = ["feed", "register", "timer_handlers"]

SLOW_EVENT_S = 0.1
_REQUEST_EVENTS = (events.RequestArrived, events.ResumeArrived,
                   events.LocateAsked, events.AttemptClosed)


def register(ctx, handlers):
    """Add handlers: a dict from effect class to ``fn(ctx, effect)``."""
    ctx.handlers.update(handlers)


def feed(ctx, event):
    """Reduce ``event`` and run the resulting effects."""
    event_queue.feed(ctx, event, _handle)


def _handle(ctx, event):
    now = ctx.reactor.seconds()
    try:
        new_effects = ctx.reduce(ctx.daemon, event, now)
    except Exception:
        # A bug triggered by one request's event is logged with a
        # traceback; the other requests must continue.
        logger.exception("reducer failed on event {}", _event_name(event))
        _fail_request(ctx, event)
        return
    for effect in new_effects:
        _run_effect(ctx, effect)
    elapsed_s = ctx.reactor.seconds() - now
    if elapsed_s > SLOW_EVENT_S:
        # All streams of this host were blocked in the meantime.
        logger.warning("slow event: {} took {:.3f} s",
                       _event_name(event), elapsed_s)


def _fail_request(ctx, event):
    # The core's state of this request may be inconsistent, and its caller
    # would wait forever. Only failures of the request's own events end it;
    # CallerGone is not among them, so its failure can't repeat endlessly.
    if type(event) in _REQUEST_EVENTS:
        ctx.fail_request(ctx, event.rid)
        ctx.event_queue.append(events.CallerGone(event.rid))


def _event_name(event):
    if type(event) is events.Received:
        return f"Received {type(event.message).__name__}"
    if type(event) is events.TimerFired:
        return f"TimerFired {event.key[:2]}"
    return type(event).__name__


def _run_effect(ctx, effect):
    try:
        ctx.handlers[type(effect)](ctx, effect)
    except Exception:
        logger.exception("effect handler failed: {}", type(effect).__name__)


def timer_handlers():
    """Return the handlers of the timer effects."""
    return {effects.SetTimer: _set_timer,
            effects.CancelTimer: _cancel_timer}


def _set_timer(ctx, effect):
    _cancel_timer(ctx, effect)
    ctx.timers[effect.key] = ctx.reactor.callLater(
        max(0.0, effect.after_s), _timer_fired, ctx, effect.key)


def _cancel_timer(ctx, effect):
    call = ctx.timers.pop(effect.key, None)
    if call is not None:
        call.cancel()


def _timer_fired(ctx, key):
    del ctx.timers[key]
    feed(ctx, events.TimerFired(key))
