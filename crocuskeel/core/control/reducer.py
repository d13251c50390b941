"""The control daemon's reducer: one event in, effects out."""

from crocuskeel.core.control import effects
from crocuskeel.core.control import events
from crocuskeel.core.control import observing
from crocuskeel.core.control import planning
from crocuskeel.core.control import rates
from crocuskeel.core.leadership import lease as leases

__all__ = ["reduce"]


def reduce(state, event, now):
    """Take one event; change the state and return effects.

    ``now`` is in seconds of a monotonic clock.
    """
    if state.ended:
        return []
    effs = leases.notice_clock(state, now)
    fence = state.lease.fence
    effs += _HANDLERS[type(event)](state, event, now)
    if state.lease.fence != fence:
        _note_holding(state, now)
    if state.stopping:
        effs += _stop(state, now)
    return effs


def _note_holding(state, now):
    """Begin anew: this process has just become the holder, or lost it.

    What the holder before loaded counts against the weight store's limit.
    """
    state.planned = None
    if state.lease.holding:
        rates.drain(state.bucket, now)


def _tick(state, event, now):
    effs = leases.step(state, now)
    if state.stopping:
        return effs
    effs += observing.step(state, now)
    orders = planning.step(state, now)
    return effs + orders


def _ask_stop(state, event, now):
    state.stopping = True
    return [effects.Record("stop_asked")]


def _stop(state, now):
    """Let what is on its way end, release the lease, then exit."""
    lease = state.lease
    in_flight = any(each.order for each in state.engines.values())
    if in_flight or lease.open_call:
        return []
    if not state.releasing and leases.fresh(state, now):
        if lease.unsettled:
            return []
        state.releasing = True
        return [leases.release(state, now)]
    state.ended = True
    return [effects.Record("stopped"), effects.Exit()]


_HANDLERS = {
    events.Ticked: _tick,
    events.LeaseRead: leases.on_read,
    events.LeaseWritten: leases.on_written,
    events.SettingsChecked: observing.on_settings,
    events.HostsSeen: observing.on_hosts,
    events.EngineSeen: observing.on_engine,
    events.OrderAnswered: observing.on_order,
    events.StopAsked: _ask_stop,
}
