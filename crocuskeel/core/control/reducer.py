"""The control daemon's reducer: one event in, effects out."""

from crocuskeel.core.control import effects
from crocuskeel.core.control import events
from crocuskeel.core.control import lease as leases
from crocuskeel.core.control import observing
from crocuskeel.core.control import planning

__all__ = ["reduce"]


def reduce(state, event, now):
    """Take one event; change the state and return effects.

    ``now`` is in seconds of a monotonic clock.
    """
    if state.ended:
        return []
    effs = leases.notice_clock(state, now)
    effs += _HANDLERS[type(event)](state, event, now)
    if state.stopping:
        effs += _stop(state, now)
    return effs


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
