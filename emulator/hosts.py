"""An entry host: the product's reducer with a simulated network."""

import dataclasses
import random

from crocuskeel.core import entry
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model
from crocuskeel.core.entry import record_effects
from emulator import engine as engines
from emulator import former_program
from emulator import listeners
from emulator import probes
from emulator import relays
from emulator import stops

__all__ = ["EntryHost"]

TICK_S = 0.3
# An attempt to connect is given up after this, s.
CONNECT_TIMEOUT_S = 0.3


def _peer(name, boot=1):
    """Return the Peer record of a host."""
    return model.Peer(name, boot, "a", f"{name}:80", (name, 81),
                      (name, 82), 1.0)


def _scheduling(deployment):
    """Return the host's argument for scheduling, if the deployment has it.

    Without it the argument is left out: versions without scheduling lack
    both the argument and the module, which is thus imported here.
    """
    if deployment.scheduling is None:
        return {}
    from crocuskeel.core.scheduling import settings
    return {"scheduling": settings.Settings(**deployment.scheduling)}


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A pending request; ``runs`` maps attempt numbers to (server, run)."""

    caller: object
    request: model.Request
    at: float
    runs: dict = dataclasses.field(default_factory=dict)
    timer: list | None = None
    forwarded_attempt: int | None = None
    # Attempts with an error response, and its status.
    errors: dict = dataclasses.field(default_factory=dict)
    # Events of a stream that isn't forwarded yet, and its end.
    unsent_events: int = 0
    unsent_end: events.StreamEnded | None = None

    def version(self, attempt_number):
        """Return the software version of an attempt's server."""
        return self.runs[attempt_number][0].version


class EntryHost:
    """``core`` is the product's state; None while the host is down."""

    def __init__(self, world, name, seed):
        self.world = world
        self.name = name
        self.rng = random.Random(seed)
        self.boot = 0
        self.started_at = 0.0
        self.core = None
        self.pending = {}
        self.last_key = 0
        # What its connections to the servers ``lost`` do, None if they work.
        self.cut = None
        self.lost = frozenset()
        # Whether its program is the one before records in the store.
        self.is_former = False
        # The planned stop in progress, None without one.
        self.stopping = None

    def cut_off(self, cut, sids):
        """Cut this host off from servers."""
        self.cut, self.lost = cut, frozenset(sids)
        if cut is not listeners.Cut.RESET:
            return
        for pending in list(self.pending.values()):
            for server, run in list(pending.runs.values()):
                if server.sid in self.lost and not run.finished:
                    server.cancel(run)
                    run.finished = True
                    run.listener.broken(run)

    def reconnect(self):
        """End a cut; connections that lost data stay silent."""
        self.cut = None

    def start(self):
        """Start with the current configuration and list of servers."""
        self.boot += 1
        self.started_at = self.world.clock.now
        self.core = entry.new_host(entry.Settings(
            repeat_slack=50.0), random.Random(self.rng.random()),
            **_scheduling(self.world.deployment))
        me = _peer(self.name, self.boot)
        others = tuple(map(_peer, self.world.names))
        for event in (events.Started(me), events.PeersListed(others),
                      *self.world.listing(self)):
            self.feed(event)
        self.world.clock.after(self.rng.random() * TICK_S, self._tick,
                               self.boot)

    def stop(self):
        """Lose power: all connections to callers and servers break."""
        self.core = self.stopping = None
        for key, pending in list(self.pending.items()):
            self.discard_request(key)
            pending.caller.connection_lost()

    def _tick(self, boot):
        if self.core is not None and boot == self.boot:
            if self.name not in self.world.standing:
                self.feed(events.Ticked(self.world.clock.now))
            self.world.clock.after(TICK_S, self._tick, boot)

    def is_ready(self):
        """Return whether it runs and has what it needs to serve."""
        return self.core is not None and fleet.is_ready(self.core)

    def addresses(self):
        """Return the names of the hosts that callers may connect to."""
        if self.core is None:
            return []
        return [address.partition(":")[0]
                for address in fleet.caller_addresses(
                    self.core, self.world.clock.now)]

    def receive_request(self, caller, request):
        """Accept a request; return its key, or None if the host is down."""
        if self.core is None:
            return None
        self.last_key += 1
        self.pending[self.last_key] = _PendingRequest(
            caller, request, self.world.clock.now)
        self.feed(events.RequestReceived(self.last_key, request))
        return self.last_key

    def caller_disconnected(self, key):
        """Handle the close of a caller's connection."""
        if self.core is not None and key in self.pending:
            self.feed(events.CallerDisconnected(key))
            self.discard_request(key)

    def receive_event(self, boot, event):
        """Handle an event, unless it is for an earlier boot of this host."""
        if self.core is None or boot != self.boot:
            return
        key = getattr(event, "key", None)
        if key is not None and key not in self.pending:
            return
        if self._waits(event):
            return
        self._forward_event(event)
        self.feed(event)
        if isinstance(event, events.StreamEnded) and key in self.pending:
            self.pending[key].caller.response_ended()
            self.discard_request(key)

    def receive_broadcast(self, event):
        """Handle an event from another host or from the store."""
        if self.core is not None:
            self.feed(event)

    def _waits(self, event):
        """Return whether a stream's end waits until it is forwarded."""
        if not isinstance(event, events.StreamEnded):
            return False
        pending = self.pending[event.key]
        if pending.forwarded_attempt == event.attempt_number:
            return False
        pending.unsent_end = event
        return True

    def _forward_event(self, event):
        """Forward a stream event to the caller if it is of its attempt."""
        if isinstance(event, events.ResponseReceived) and event.status >= 500:
            self.pending[event.key].errors[event.attempt_number] = event.status
        if isinstance(event, events.StreamProgressed):
            pending = self.pending[event.key]
            if pending.forwarded_attempt == event.attempt_number:
                pending.caller.receive_event(
                    pending.version(event.attempt_number))
            else:
                pending.unsent_events += 1

    def feed(self, event):
        """Reduce an event and execute the resulting effects."""
        found = entry.reduce(self.core, event, self.world.clock.now)
        if self.is_former:
            former_program.note(self.core)
        for effect in found:
            handler = EFFECT_HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, effect)

    def discard_request(self, key):
        """Discard a request and cancel its runs at servers."""
        pending = self.pending.pop(key)
        if pending.timer is not None:
            self.world.clock.cancel(pending.timer)
        for server, run in pending.runs.values():
            server.cancel(run)


def _send_request(host, effect):
    pending = host.pending[effect.key]
    if effect.relay_servers is not None:
        _relay_request(host, effect)
        return
    server = host.world.servers.get(effect.server.sid)
    listener = listeners.Listener(
        host, effect.key, effect.attempt_number, server)
    if server is None or server.down:
        listener.fail(model.Outcome.REFUSED)
        return
    if host.cut is not None and server.sid in host.lost:
        _fail_cut_off(host, listener)
        return
    prompt = pending.request.prompt
    pending.unsent_events = 0
    pending.unsent_end = None
    run = engines.Run(listener, prompt, pending.caller.length,
                      effect.priority,
                      crashes_server=pending.caller.crashes_servers,
                      crash_after=pending.caller.crash_after,
                      bad_part=pending.caller.bad_part)
    if effect.resume or pending.request.last_event_id:
        run.events -= pending.caller.events
    pending.runs[effect.attempt_number] = server, run
    source = None
    if effect.fetch_from is not None:
        source = host.world.servers.get(effect.fetch_from[0])
    host.world.clock.after(
        host.world.network_delay_s,
        _arrive,
        listener,
        run,
        source)


def _relay_request(host, effect):
    pending = host.pending[effect.key]
    other = host.world.hosts[effect.server.sid]
    listener = listeners.Listener(
        host, effect.key, effect.attempt_number, None)
    relay = relays.Relay(listener, pending.caller, other)
    pending.runs[effect.attempt_number] = relay, relay
    request = dataclasses.replace(
        pending.request, deadline_s=effect.budget_s,
        max_servers=effect.relay_servers)
    if effect.resume:
        request = dataclasses.replace(
            request, last_event_id=str(pending.caller.events),
            relay_origin=effect.relay_origin)
    host.world.clock.after(
        host.world.network_delay_s, relay.submit, request)


def _fail_cut_off(host, listener):
    """Carry out an attempt at a server that the host is cut off from."""
    match host.cut:
        case listeners.Cut.REFUSED:
            listener.fail(model.Outcome.REFUSED)
        case listeners.Cut.RESET:
            listener.broken(None)
        case listeners.Cut.TIMEOUT:
            host.world.clock.after(CONNECT_TIMEOUT_S, listener.fail,
                                   model.Outcome.UNREACHABLE)


def _arrive(listener, run, source):
    if run.finished:
        return
    host = listener.host
    pending = host.pending.get(listener.key)
    listener.server.arrivals.append(engines.Arrival(
        host.world.clock.now, host.name, pending.at if pending else 0.0))
    host.world.note_arrival(run)
    if listener.server.down:
        run.finished = True
        listener.broken(run)
    elif not listener.server.submit(run, source):
        run.finished = True
        listener.fail(model.Outcome.NOT_RUN)


def _cancel_attempt(host, effect):
    found = host.pending[effect.key].runs.get(effect.attempt_number)
    if found is not None:
        server, run = found
        host.world.clock.after(host.world.network_delay_s, server.cancel, run)


def _forward_response(host, effect):
    pending = host.pending[effect.key]
    pending.forwarded_attempt = effect.attempt_number
    if effect.attempt_number in pending.errors:
        pending.caller.request_refused(
            pending.errors[effect.attempt_number], None)
        host.discard_request(effect.key)
        return
    if pending.request.prompt is not None:
        _forward_stream(host, pending, effect.attempt_number)
        return
    pending.caller.response_ended()
    host.discard_request(effect.key)


def _forward_stream(host, pending, attempt_number):
    """Forward the events so far, and the end if it has come."""
    count, pending.unsent_events = pending.unsent_events, 0
    for _ in range(1 + count):
        pending.caller.receive_event(pending.version(attempt_number))
    if pending.unsent_end is not None:
        host.world.clock.after(
            0.0, host.receive_event, host.boot, pending.unsent_end)


def _refuse(host, effect):
    host.world.tally.refusals[effect.reason] += 1
    stops.note_answer(host, effect)
    host.pending[effect.key].caller.request_refused(
        effect.status, effect.retry_delay_s)
    host.discard_request(effect.key)


def _abort_stream(host, effect):
    host.pending[effect.key].caller.connection_lost()
    host.discard_request(effect.key)


def _set_timer(host, effect):
    pending = host.pending.get(effect.key)
    if pending is None:
        return
    if pending.timer is not None:
        host.world.clock.cancel(pending.timer)
    pending.timer = host.world.clock.at(
        effect.at, host.receive_event, host.boot,
        events.TimerFired(effect.key))


def _send_to_peer(host, effect):
    other = host.world.hosts.get(effect.peer.name)
    event = effect.event
    host.world.tally.messages[type(event).__name__] += 1
    if host.is_former:
        event = former_program.sent(event)
    if (other is not None and host.world.are_connected(host, other)
            and not host.world.loses_datagram()):
        host.world.clock.after(
            host.world.network_delay_s, other.receive_broadcast, event)


def _schedule_loads_due(host, effect):
    host.world.clock.at(
        effect.at, host.receive_event, host.boot, events.LoadsDue())


def _access_records(host, effect):
    host.world.records.execute(host, effect)


EFFECT_HANDLERS = {
    effects.SendRequest: _send_request,
    effects.Cancel: _cancel_attempt,
    effects.ForwardResponse: _forward_response,
    effects.Answer: _refuse,
    effects.AbortStream: _abort_stream,
    effects.SetRequestTimer: _set_timer,
    effects.ProbeServer: probes.probe,
    effects.SendToPeer: _send_to_peer,
    effects.ScheduleLoadsDue: _schedule_loads_due,
    **stops.EFFECT_HANDLERS,
    **{getattr(record_effects, name): _access_records
       for name in record_effects.__all__},
}
