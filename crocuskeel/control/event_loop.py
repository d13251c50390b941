"""Passes events to the control reducer and executes its effects."""

from loguru import logger
from twisted.internet import defer

from crocuskeel.control import context
from crocuskeel.control import engine_calls
from crocuskeel.control import platform_calls
from crocuskeel.core import control
from crocuskeel.core.control import effects
from crocuskeel.core.control import events
from crocuskeel.runtime import event_queue

__all__ = ["TICK_S", "feed", "start", "stop"]

TICK_S = 0.5
_CALLS = {
    effects.ReadLease: platform_calls.read_lease,
    effects.WriteLease: platform_calls.write_lease,
    effects.CheckSettings: platform_calls.check_settings,
    effects.ReadHosts: platform_calls.read_hosts,
    effects.ReadEngine: engine_calls.read_engine,
    effects.SendOrder: engine_calls.send_order,
}


def start(ctx):
    """Start the periodic timer."""
    _tick(ctx)


def stop(ctx):
    """Start the planned stop; ``ctx.on_exit()`` is called at its end."""
    feed(ctx, events.StopAsked())


def _tick(ctx):
    if not ctx.stopped:
        ctx.reactor.callLater(TICK_S, _tick, ctx)
        feed(ctx, events.Ticked())


def feed(ctx, event):
    """Reduce an event and run its effects before the next event."""
    event_queue.feed(ctx, event, _handle_event)


def _handle_event(ctx, event):
    try:
        effs = control.reduce(ctx.state, event, ctx.now())
    except Exception:
        # Log the traceback and continue: later events must still renew
        # the lease or let it expire.
        logger.exception("reducer failed on event {}", type(event).__name__)
        return
    for effect in effs:
        _run_effect(ctx, effect)


def _run_effect(ctx, effect):
    if isinstance(effect, effects.Record):
        context.record(ctx, effect)
    elif isinstance(effect, effects.Exit):
        ctx.stopped = True
        ctx.on_exit()
    else:
        call = _CALLS[type(effect)](ctx, effect)
        deferred = defer.Deferred.fromCoroutine(call)
        deferred.addErrback(_log_failure, effect)
        deferred.addCallback(lambda answer: feed(ctx, answer))


def _log_failure(failure, effect):
    """Return the event of a call that failed unexpectedly.

    The core makes no other such call while it waits for this one.
    """
    logger.error("effect {} failed: {}", type(effect).__name__,
                 failure.getErrorMessage())
    match effect:
        case effects.ReadLease():
            return events.LeaseRead(events.Status.UNAVAILABLE)
        case effects.WriteLease():
            return events.LeaseWritten(
                effect.nonce, effect.number, events.Status.UNKNOWN)
        case effects.CheckSettings():
            return events.SettingsChecked(False)
        case effects.ReadHosts():
            return events.HostsSeen(None)
        case effects.ReadEngine():
            return events.EngineSeen(effect.engine, False)
    return events.OrderAnswered(
        effect.order.order_id, effect.order.engine, events.Outcome.UNKNOWN,
        "unexpected error")
