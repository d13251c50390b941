"""A small world for the control reducer: hosts, a store, engines.

Each host has its own clock, which starts anywhere and may run at
another rate. All faults are the caller's choice.
"""

import collections
import dataclasses
import random

from crocuskeel.core import control
from crocuskeel.core.control import effects
from crocuskeel.core.control import events

Status = events.Status
Outcome = events.Outcome
LEASE = "control/lease"
STEP_S = 0.5


@dataclasses.dataclass
class Host:
    """One control daemon; ``fault`` is that of its lease's writes.

    ``well``, ``lost`` (takes effect, answer lost), ``late`` (answer
    lost, takes effect with ``World.land_writes``) or ``out``.
    ``transit``: orders that left it, where they are held back.
    """

    name: str
    state: control.ControlState
    clock_zero: float
    clock_rate: float = 1.0
    fault: str = "well"
    paused: bool = False
    exited: bool = False
    inbox: list = dataclasses.field(default_factory=list)
    unsent: list | None = None
    transit: list | None = None

    def now(self, world):
        """Return this host's own monotonic time."""
        return self.clock_zero + world.now * self.clock_rate


@dataclasses.dataclass
class Engine:
    """A fake engine; ``models`` is name to (version, ready from)."""

    name: str
    service: str
    domain: str
    checks: bool
    models: dict
    load_s: float = 2.0
    refuses: bool = False
    up_from: float = 0.0
    boot: int = 1
    highest: int = 0
    done: set = dataclasses.field(default_factory=set)
    out_since: float | None = None

    def take(self, order, now):
        """Carry an order out and return the outcome."""
        if now < self.up_from:
            return Outcome.NOT_SENT
        if self.checks and order.fence < self.highest:
            return Outcome.STALE_FENCE
        if self.refuses:
            return Outcome.REFUSED
        self.highest = max(self.highest, order.fence)
        if order.order_id not in self.done:
            self.done.add(order.order_id)
            self._obey(order.item, now)
        return Outcome.DONE

    def _obey(self, item, now):
        if item.kind is control.Kind.LOAD_MODEL:
            self.models[item.name] = (item.version, now + self.load_s)
        elif item.kind is control.Kind.UNLOAD_MODEL:
            self.models.pop(item.name, None)

    def crash(self, now, span_s=3.0):
        """Forget all but the models of the command line."""
        self.boot += 1
        self.up_from = now + span_s
        self.highest = 0
        self.done = set()
        self.models = {"m": ("1", self.up_from)}

    def serves(self, now):
        """Say whether all its models are ready."""
        return now >= self.up_from and all(
            now >= ready for _, ready in self.models.values())

    def version(self):
        """Return the version of model ``m``."""
        return self.models["m"][0]

    def seen(self, now):
        """Return the answer to a read of its state."""
        if now < self.up_from:
            return events.EngineSeen(self.name, False)
        return events.EngineSeen(
            self.name, True, f"b{self.boot}", tuple(
                (name, version, now >= ready)
                for name, (version, ready) in self.models.items()),
            (), "", self.highest if self.checks else 0)


class World:
    """Hosts x and y, engines of the service ``s`` in three domains."""

    def __init__(self, count=6, checks=True, rates=(1.0, 1.0), **cfg):
        """``cfg`` are overrides of ``control.Config``."""
        self.now = 0.0
        self.version = 0
        self.objects = {}
        self.late = []
        self.landed = []
        self.records = []
        self.queue = collections.deque()
        self.hosts = {
            name: Host(name, control.new_state(
                control.Config(name, **cfg), random.Random(name), zero),
                zero, rate)
            for (name, zero), rate in zip(
                (("x", 0.0), ("y", 5000.0)), rates)}
        self.engines = {}
        self.generation = 0
        self.services = {}
        for number in range(count):
            domain = "abc"[number * 3 // count]
            self.add_engine(f"e{number}", "s", domain, checks)
        self.want("s", "m:1", checks)

    def add_engine(self, name, service, domain, checks):
        """Add an engine that has version 1 of model ``m``."""
        self.engines[name] = Engine(
            name, service, domain, checks, {"m": ("1", 0.0)})

    def want(self, service, model, checks=True):
        """Accept a new generation of the settings."""
        self.generation += 1
        self.services = {**self.services, service: {
            "kind": "engine", "models": [model], "checks_fence": checks}}

    # Time.

    def run(self, span_s, names="xy"):
        """Let time go on; the hosts named tick, if not paused."""
        for _ in range(round(span_s / STEP_S)):
            self.now += STEP_S
            for name in names:
                host = self.hosts[name]
                if not host.paused and not host.exited:
                    self.feed(host, events.Ticked())
            self.note_engines()

    def note_engines(self):
        """Note since when each engine does not serve."""
        for engine in self.engines.values():
            if engine.serves(self.now):
                engine.out_since = None
            elif engine.out_since is None:
                engine.out_since = self.now

    def wake(self, host):
        """End a pause: what waited is handled, in order."""
        host.paused = False
        inbox, host.inbox = host.inbox, []
        for event in inbox:
            self.feed(host, event)

    def feed(self, host, event):
        """Reduce an event and carry out what comes of it."""
        if host.paused:
            host.inbox.append(event)
            return
        self.queue.append((host, event))
        if len(self.queue) > 1:
            return
        while self.queue:
            at, event = self.queue[0]
            for effect in control.reduce(
                    at.state, event, at.now(self)):
                self._carry_out(at, effect)
            self.queue.popleft()

    # Effects.

    def _carry_out(self, host, effect):
        match effect:
            case effects.Record():
                self.records.append(
                    (host.name, effect.kind, dict(effect.fields)))
            case effects.Exit():
                host.exited = True
            case effects.SendOrder():
                self._send(host, effect.order)
            case _:
                self.feed(host, self._answer(host, effect))

    def _answer(self, host, effect):
        match effect:
            case effects.ReadLease():
                if host.fault == "out":
                    return events.LeaseRead(Status.UNAVAILABLE)
                version, body = self.objects.get(LEASE, (0, b""))
                status = Status.FOUND if version else Status.NOT_FOUND
                return events.LeaseRead(status, version, body)
            case effects.WriteLease():
                return self._write(host, effect)
            case effects.CheckSettings(have=have):
                common = None
                if self.generation > have:
                    common = {"services": self.services}
                return events.SettingsChecked(
                    True, self.generation, common)
            case effects.ReadHosts():
                return events.HostsSeen(tuple(
                    events.EngineEntry(
                        each.name, each.service, "u", each.domain)
                    for each in self.engines.values()))
            case effects.ReadEngine(engine=name):
                return self.engines[name].seen(self.now)

    def _write(self, host, effect):
        status = Status.UNKNOWN
        if host.fault == "out":
            status = Status.UNAVAILABLE
        elif host.fault == "late":
            self.late.append(effect)
        elif not self.put(effect):
            status = Status.CONFLICT
        elif host.fault == "well":
            status = Status.WRITTEN
        return events.LeaseWritten(
            effect.nonce, effect.number, status, self.version)

    def put(self, effect):
        """Carry out a conditional write; say whether it took effect."""
        if self.objects.get(LEASE, (0, b""))[0] != effect.version:
            return False
        self.version += 1
        self.objects[LEASE] = (self.version, effect.body)
        return True

    def land_writes(self):
        """Let the late writes take effect, where they still can."""
        late, self.late = self.late, []
        for effect in late:
            self.put(effect)

    # Orders.

    def _send(self, host, order):
        if host.unsent is not None:
            host.unsent.append(order)
            return
        if not control.may_send(host.state, order, host.now(self)):
            self.answer(host, order, Outcome.NOT_SENT)
        elif host.transit is not None:
            host.transit.append((self.now, order))
        else:
            self.answer(host, order, self.land(host, order))

    def send_unsent(self, host):
        """Go on with the sending that was held up before its check."""
        held, host.unsent = host.unsent, None
        for order in held:
            self._send(host, order)

    def land(self, host, order):
        """Let an order reach its engine; return the outcome."""
        engine = self.engines[order.engine]
        served = engine.serves(self.now)
        outcome = engine.take(order, self.now)
        self.landed.append((self.now, host.name, order, outcome, served))
        return outcome

    def answer(self, host, order, outcome):
        """Tell a host how the sending of an order ended."""
        self.feed(host, events.OrderAnswered(
            order.order_id, order.engine, outcome))

    # For asserts.

    def holder(self):
        """Return the names of the hosts that believe they hold."""
        return "".join(name for name, host in self.hosts.items()
                       if host.state.lease.holding)

    def kinds(self, host):
        """Return the kinds of records of a host."""
        return [kind for name, kind, _ in self.records if name == host]

    def taken(self, name):
        """Return the (host, fence) of orders an engine has taken."""
        return [(host, order.fence)
                for _, host, order, outcome, _ in self.landed
                if order.engine == name and outcome is Outcome.DONE]
