"""An entry host: the product's reducer, its network and its requests."""

import dataclasses
import random

from crocuskeel.core import entry
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model
from emulator import engine as engines

__all__ = ["EntryHost"]

TICK_S = 0.3


def _peer(name, boot=1):
    """Return a host of this name as others know it."""
    return model.Peer(name, boot, "a", f"{name}:80", (name, 81),
                      (name, 82), 1.0)


@dataclasses.dataclass(slots=True)
class _Asked:
    """A request at this host; ``runs`` are its attempts by number."""

    caller: object
    request: model.Request
    at: float
    runs: dict = dataclasses.field(default_factory=dict)
    timer: list | None = None
    passing: int | None = None


class _Listener:
    """Tells a host what becomes of one attempt, a way later."""

    def __init__(self, host, key, attempt_number, server):
        self.host = host
        self.key = key
        self.attempt_number = attempt_number
        self.server = server

    def opened(self, run):
        """The first event was made."""
        self._tell_hints()
        self._tell(
            events.StreamOpened(self.key, self.attempt_number,
                                self.server.load()))

    def progressed(self, run):
        """One more event was made."""
        self._tell(events.StreamProgressed(self.key, self.attempt_number))

    def ended(self, run):
        """The answer is whole."""
        if run.prompt is not None:
            self._tell(events.StreamEnded(self.key, self.attempt_number))
            return
        self._tell_hints()
        self._tell(events.ResponseReceived(
            self.key, self.attempt_number, 200, self.server.load(), True))

    def broken(self, run):
        """The connection ended."""
        self._tell(events.AttemptFailed(
            self.key, self.attempt_number, model.Outcome.DISCONNECTED, "reset",
            True))

    def fails(self, outcome):
        """The attempt ends without having run."""
        if outcome is model.Outcome.NOT_RUN:
            self._tell_hints()
        self._tell(
            events.AttemptFailed(self.key, self.attempt_number, outcome))

    def _tell_hints(self):
        found = self.server.hints()
        now, name = self.host.world.clock.now, self.host.name
        if found.rate_limit is not None:
            self.server.told.setdefault(name, now)
        if found.leaving:
            self.server.told_leaving.setdefault(name, now)
        if found.backoff_s is not None:
            self.server.rests.append((now, name, found.backoff_s))
        self._tell(events.HintsReceived(self.key, self.attempt_number, found))

    def _tell(self, event):
        self.host.world.clock.after(
            self.host.world.way_s, self.host.hear, self.host.boot, event)


class EntryHost:
    """``core`` is the product's state; None while the host is down."""

    def __init__(self, world, name, seed):
        self.world = world
        self.name = name
        self.rng = random.Random(seed)
        self.boot = 0
        self.core = None
        self.asked = {}
        self.keys = 0

    def start(self):
        """Begin, knowing the configuration and the servers."""
        self.boot += 1
        self.core = entry.new_host(entry.Settings(
            repeat_slack=50.0), random.Random(self.rng.random()))
        me = _peer(self.name, self.boot)
        others = tuple(map(_peer, self.world.names))
        for event in (events.Started(me), events.PeersListed(others),
                      events.CatalogRead(self.world.catalog),
                      events.ServersListed(self.world.listed(), 5)):
            self.feed(event)
        self.world.clock.after(self.rng.random() * TICK_S, self._tick,
                               self.boot)

    def stop(self):
        """Lose power: callers' connections end, servers see theirs."""
        self.core = None
        for key, asked in list(self.asked.items()):
            self.forget(key)
            asked.caller.cut()

    def _tick(self, boot):
        if self.core is not None and boot == self.boot:
            self.feed(events.Ticked(self.world.clock.now))
            self.world.clock.after(TICK_S, self._tick, boot)

    def addresses(self):
        """Return the names of the hosts that callers may use."""
        if self.core is None:
            return []
        return [address.partition(":")[0]
                for address in fleet.caller_addresses(
                    self.core, self.world.clock.now)]

    def ask(self, caller, request):
        """Take a caller's request; return its key, None if it is down."""
        if self.core is None:
            return None
        self.keys += 1
        self.asked[self.keys] = _Asked(
            caller, request, self.world.clock.now)
        self.feed(events.RequestReceived(self.keys, request))
        return self.keys

    def left(self, key):
        """The caller closed its connection."""
        if self.core is not None and key in self.asked:
            self.feed(events.CallerDisconnected(key))
            self.forget(key)

    def hear(self, boot, event):
        """Take an event, unless it is of an earlier life."""
        if self.core is None or boot != self.boot:
            return
        key = getattr(event, "key", None)
        if key is not None and key not in self.asked:
            return
        self._pass_events(event)
        self.feed(event)
        if isinstance(event, events.StreamEnded) and key in self.asked:
            self.asked[key].caller.ended()
            self.forget(key)

    def hear_host(self, event):
        """Take what another host tells."""
        if self.core is not None:
            self.feed(event)

    def _pass_events(self, event):
        """Let the caller have an event of the stream that it gets."""
        if isinstance(event, events.StreamProgressed):
            asked = self.asked[event.key]
            if asked.passing == event.attempt_number:
                asked.caller.event()

    def feed(self, event):
        """Feed an event and carry out what follows."""
        for effect in entry.reduce(
                self.core, event, self.world.clock.now):
            perform = PERFORM.get(type(effect))
            if perform is not None:
                perform(self, effect)

    def forget(self, key):
        """Let go of a request, and end what servers do for it."""
        asked = self.asked.pop(key)
        if asked.timer is not None:
            self.world.clock.cancel(asked.timer)
        for server, run in asked.runs.values():
            server.cancel(run)


def _send(host, effect):
    asked = host.asked[effect.key]
    server = host.world.servers.get(effect.server.sid)
    listener = _Listener(host, effect.key, effect.attempt_number, server)
    if server is None or server.down:
        listener.fails(model.Outcome.REFUSED)
        return
    kind = asked.caller.kind
    prompt = asked.request.prompt
    run = engines.Run(listener, prompt, kind.events, effect.priority)
    if effect.resume:
        run.events -= asked.caller.events
    asked.runs[effect.attempt_number] = server, run
    source = None
    if effect.fetch_from is not None:
        source = host.world.servers.get(effect.fetch_from[0])
    host.world.clock.after(host.world.way_s, _arrive, listener, run, source)


def _arrive(listener, run, source):
    if run.over:
        return
    host = listener.host
    asked = host.asked.get(listener.key)
    listener.server.arrivals.append(engines.Arrival(
        host.world.clock.now, host.name, asked.at if asked else 0.0))
    if listener.server.down:
        run.over = True
        listener.broken(run)
    elif not listener.server.begin(run, source):
        run.over = True
        listener.fails(model.Outcome.NOT_RUN)


def _cancel(host, effect):
    found = host.asked[effect.key].runs.get(effect.attempt_number)
    if found is not None:
        server, run = found
        host.world.clock.after(host.world.way_s, server.cancel, run)


def _pass_on(host, effect):
    asked = host.asked[effect.key]
    asked.passing = effect.attempt_number
    if asked.request.prompt is not None:
        asked.caller.event()
        return
    asked.caller.ended()
    host.forget(effect.key)


def _answer(host, effect):
    host.asked[effect.key].caller.refused(effect.status, effect.retry_delay_s)
    host.forget(effect.key)


def _cut(host, effect):
    host.asked[effect.key].caller.cut()
    host.forget(effect.key)


def _timer(host, effect):
    asked = host.asked.get(effect.key)
    if asked is None:
        return
    if asked.timer is not None:
        host.world.clock.cancel(asked.timer)
    asked.timer = host.world.clock.at(
        effect.at, host.hear, host.boot, events.TimerFired(effect.key))


def _tell(host, effect):
    other = host.world.hosts.get(effect.peer.name)
    if other is not None and host.world.hear_each_other(host, other):
        host.world.clock.after(
            host.world.way_s, other.hear_host, effect.event)


def _tell_loads(host, effect):
    host.world.clock.at(
        effect.at, host.hear, host.boot, events.LoadsDue())


PERFORM = {
    effects.SendRequest: _send,
    effects.Cancel: _cancel,
    effects.ForwardResponse: _pass_on,
    effects.Answer: _answer,
    effects.AbortStream: _cut,
    effects.SetRequestTimer: _timer,
    effects.SendToPeer: _tell,
    effects.ScheduleLoadsDue: _tell_loads,
}
