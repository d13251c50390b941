"""Feeds events to the reducer in order and runs its effects."""

from loguru import logger

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.runtime import turns

__all__ = ["feed", "register", "timer_handlers"]

SLOW_S = 0.1
_DECIDING = (events.RequestArrived, events.ResumeArrived,
             events.LocateAsked, events.AttemptClosed)


def register(ctx, handlers):
    """Add handlers, a dict of effect class to ``fn(ctx, effect)``."""
    ctx.handlers.update(handlers)


def feed(ctx, event):
    """Reduce ``event`` and run what it brings about."""
    turns.feed(ctx, event, _one)


def _one(ctx, event):
    now = ctx.reactor.seconds()
    try:
        effs = ctx.reduce(ctx.daemon, event, now)
    except Exception:
        # A fault of the program in one request's event shows as a
        # traceback in the log; the other requests' answers must go on.
        logger.exception("reducer failed on {}", _name(event))
        _give_up(ctx, event)
        return
    for effect in effs:
        _run(ctx, effect)
    took_s = ctx.reactor.seconds() - now
    if took_s > SLOW_S:
        # All streams of this host stood still meanwhile.
        logger.warning("{} took {:.3f} s", _name(event), took_s)


def _give_up(ctx, event):
    # The core may have lost track of this request: its caller would
    # wait for good. Only its own event's failure says so, and the end
    # that the core is then told of can't fail over and over.
    if type(event) in _DECIDING:
        ctx.fail(ctx, event.rid)
        ctx.queue.append(events.CallerGone(event.rid))


def _name(event):
    if type(event) is events.Received:
        return f"Received {type(event.message).__name__}"
    if type(event) is events.TimerFired:
        return f"TimerFired {event.key[:2]}"
    return type(event).__name__


def _run(ctx, effect):
    try:
        ctx.handlers[type(effect)](ctx, effect)
    except Exception:
        logger.exception("effect failed: {}", type(effect).__name__)


def timer_handlers():
    """Return the handlers of timers."""
    return {effects.SetTimer: _set_timer,
            effects.CancelTimer: _cancel_timer}


def _set_timer(ctx, effect):
    _cancel_timer(ctx, effect)
    ctx.timers[effect.key] = ctx.reactor.callLater(
        max(0.0, effect.after_s), _fire, ctx, effect.key)


def _cancel_timer(ctx, effect):
    call = ctx.timers.pop(effect.key, None)
    if call is not None:
        call.cancel()


def _fire(ctx, key):
    del ctx.timers[key]
    feed(ctx, events.TimerFired(key))
