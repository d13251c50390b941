"""Dispatches each event of an entry host to its handler."""

from crocuskeel.core.duties import model as duties_model
from crocuskeel.core.entry import attempts
from crocuskeel.core.entry import backoff
from crocuskeel.core.entry import draining
from crocuskeel.core.entry import duties
from crocuskeel.core.entry import duty_lease
from crocuskeel.core.entry import events
from crocuskeel.core.entry import gossip
from crocuskeel.core.entry import lifecycle
from crocuskeel.core.entry import peers
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import registry
from crocuskeel.core.entry import requests
from crocuskeel.core.entry import response_hints
from crocuskeel.core.entry import server_load
from crocuskeel.core.entry import usage
from crocuskeel.core import exceptions
from crocuskeel.core.leadership import events as lease_events

__all__ = ["reduce"]


def _started(host, event, now):
    host.me = event.me
    duties.begin(host, now)
    return []


def _settings_seen(host, event, now):
    host.cfg = event.settings
    return []


def _ticked(host, event, now):
    server_load.sample(host, now)
    ratelimits.refill(host, now)
    draining.forget(host, now)
    backoff.forget(host, now)
    return (registry.expire(host, now) + gossip.tell(host, now)
            + duties.step(host, event.wall, now)
            + lifecycle.step(host, now))


HANDLERS = {
    events.Started: _started,
    events.Ticked: _ticked,
    events.StopAsked: lifecycle.stop_asked,
    events.Arrived: requests.arrived,
    events.CallerLeft: requests.caller_left,
    events.TimerFired: requests.timer_fired,
    events.HintsSeen: response_hints.seen,
    events.HintsHeard: response_hints.heard,
    events.Opened: attempts.opened,
    events.Progressed: attempts.progressed,
    events.Ended: attempts.ended,
    events.Answered: attempts.answered,
    events.Broken: attempts.broken,
    events.CatalogSeen: registry.catalog_seen,
    events.ServersListed: registry.servers_listed,
    events.ServersChanged: registry.servers_changed,
    events.SettingsSeen: _settings_seen,
    events.StoreLost: registry.store_lost,
    events.StoreBack: registry.store_back,
    events.StoreLeft: registry.store_left,
    events.PeersSeen: peers.seen,
    events.Heard: peers.heard,
    events.LoadsDue: gossip.loads_due,
    events.LoadHeard: peers.load_heard,
    events.DutyAnswered: duties.answered,
    duties_model.Usage: usage.received,
    lease_events.LeaseRead: duty_lease.lease_read,
    lease_events.LeaseWritten: duty_lease.lease_written,
}


def reduce(host, event, now):
    """Reduce one event into the host's state; return effects in order.

    ``now`` is the runtime's clock, s; ``host`` is changed in place.
    Raises :class:`UnknownEvent` for an event without a handler.
    """
    handler = HANDLERS.get(type(event))
    if handler is None:
        raise exceptions.UnknownEvent(type(event).__name__)
    out = handler(host, event, now)
    if host.changed or host.refusing:
        out += gossip.note_changes(host, now)
    return out
