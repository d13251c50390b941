"""The reducer of the control daemon: handles events, returns effects."""

from crocuskeel.core.control import effects
from crocuskeel.core.control import events
from crocuskeel.core.control import load_limit
from crocuskeel.core.control import observing
from crocuskeel.core.control import planning
from crocuskeel.core.leadership import lease as leases

__all__ = ["reduce"]


def reduce(state, event, now):
    """Handle an event: update the state and return effects.

    ``now`` is in seconds of a monotonic clock.
    """
    if state.ended:
        return []
    effs = leases.detect_pause(state, now)
    fence = state.lease.fence
    effs += _HANDLERS[type(event)](state, event, now)
    if state.lease.fence != fence:
        _handle_lease_change(state, now)
    if state.stopping:
        effs += _continue_stop(state, now)
    return effs


def _handle_lease_change(state, now):
    """Reset the plan after the lease was acquired or lost.

    A new holder starts with an empty load bucket: loads of the previous
    holder count against the weight store's limit.
    """
    state.last_plan = None
    if state.lease.holding:
        load_limit.drain(state.load_bucket, now)


def _tick(state, event, now):
    effs = leases.step(state, now)
    if state.stopping:
        return effs
    effs += observing.step(state, now)
    orders = planning.step(state, now)
    return effs + orders


def _begin_stop(state, event, now):
    state.stopping = True
    return [effects.Record("stop_asked")]


def _continue_stop(state, now):
    """Wait for orders in flight, release the lease, then exit."""
    lease = state.lease
    in_flight = any(each.sent_order for each in state.engines.values())
    if in_flight or lease.call_in_progress:
        return []
    if not state.releasing and leases.is_valid(state, now):
        if lease.write_uncertain:
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
    events.StopAsked: _begin_stop,
}
