"""Simulation for the control reducer: hosts, a store and engines.

Each host has its own clock, with its own offset and rate. The caller
chooses all faults.
"""

import collections
import dataclasses
import random

from crocuskeel.core import control
from crocuskeel.core.control import effects
from crocuskeel.core.control import events

Status = events.Status
Outcome = events.Outcome
LEASE_KEY = "control/lease"
STEP_S = 0.5


@dataclasses.dataclass
class Host:
    """A control daemon; ``lease_fault`` is the fault of lease calls.

    ``none``, ``lost`` (a write takes effect, its answer is lost),
    ``late`` (the answer is lost, the write takes effect at
    ``Simulation.apply_late_writes``) or ``unavailable``. ``held_orders``, if
    not None, collects orders before the check that precedes sending,
    ``in_transit`` orders that were sent but not delivered.
    """

    name: str
    state: control.ControlState
    clock_offset_s: float
    clock_rate: float = 1.0
    lease_fault: str = "none"
    paused: bool = False
    exited: bool = False
    inbox: list = dataclasses.field(default_factory=list)
    held_orders: list | None = None
    in_transit: list | None = None

    def now(self, sim):
        """Return this host's own monotonic time."""
        return self.clock_offset_s + sim.now * self.clock_rate


@dataclasses.dataclass
class Engine:
    """A fake engine; ``models`` maps a name to (version, ready at)."""

    name: str
    service: str
    domain: str
    checks_fence: bool
    models: dict
    load_s: float = 2.0
    refuses_orders: bool = False
    up_at: float = 0.0
    boot_number: int = 1
    highest_fence: int = 0
    executed_order_ids: set = dataclasses.field(default_factory=set)
    unavailable_since: float | None = None

    def receive(self, order, now):
        """Execute an order and return the outcome."""
        if now < self.up_at:
            return Outcome.NOT_SENT
        if self.checks_fence and order.fence < self.highest_fence:
            return Outcome.STALE_FENCE
        if self.refuses_orders:
            return Outcome.REFUSED
        self.highest_fence = max(self.highest_fence, order.fence)
        if order.order_id not in self.executed_order_ids:
            self.executed_order_ids.add(order.order_id)
            self._apply(order.item, now)
        return Outcome.DONE

    def _apply(self, item, now):
        if item.kind is control.Kind.LOAD_MODEL:
            self.models[item.name] = (item.version, now + self.load_s)
        elif item.kind is control.Kind.UNLOAD_MODEL:
            self.models.pop(item.name, None)

    def crash(self, now, duration_s=3.0):
        """Restart with only the model given on the command line."""
        self.boot_number += 1
        self.up_at = now + duration_s
        self.highest_fence = 0
        self.executed_order_ids = set()
        self.models = {"m": ("1", self.up_at)}

    def serves(self, now):
        """Return whether all its models are ready."""
        return now >= self.up_at and all(
            now >= ready for _, ready in self.models.values())

    def version(self):
        """Return the version of model ``m``."""
        return self.models["m"][0]

    def state_event(self, now):
        """Return the event that answers a read of its state."""
        if now < self.up_at:
            return events.EngineSeen(self.name, False)
        return events.EngineSeen(
            self.name, True, f"b{self.boot_number}", tuple(
                (name, version, now >= ready)
                for name, (version, ready) in self.models.items()),
            (), "", self.highest_fence if self.checks_fence else 0)


class Simulation:
    """Hosts x and y, and engines of service ``s`` in three domains."""

    def __init__(self, count=6, checks_fence=True,
                 clock_rates=(1.0, 1.0), **cfg):
        """``cfg`` overrides fields of ``control.Config``."""
        self.now = 0.0
        self.version = 0
        self.objects = {}
        self.late_writes = []
        self.delivered = []
        self.records = []
        self.queue = collections.deque()
        self.hosts = {
            name: Host(name, control.new_state(
                control.Config(name, **cfg), random.Random(name), offset_s),
                offset_s, rate)
            for (name, offset_s), rate in zip(
                (("x", 0.0), ("y", 5000.0)), clock_rates)}
        self.engines = {}
        self.generation = 0
        self.services = {}
        for number in range(count):
            domain = "abc"[number * 3 // count]
            self.add_engine(f"e{number}", "s", domain, checks_fence)
        self.set_desired_model("s", "m:1", checks_fence)

    def add_engine(self, name, service, domain, checks_fence):
        """Add an engine that has version 1 of model ``m``."""
        self.engines[name] = Engine(
            name, service, domain, checks_fence, {"m": ("1", 0.0)})

    def set_desired_model(self, service, model, checks_fence=True):
        """Accept a new generation of the settings."""
        self.generation += 1
        self.services = {**self.services, service: {
            "kind": "engine", "models": [model], "checks_fence": checks_fence}}

    # Time.

    def run(self, duration_s, names="xy"):
        """Advance the time; the named hosts tick, unless paused."""
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            for name in names:
                host = self.hosts[name]
                if not host.paused and not host.exited:
                    self.feed(host, events.Ticked())
            self.track_availability()

    def track_availability(self):
        """Record since when each engine has not been serving."""
        for engine in self.engines.values():
            if engine.serves(self.now):
                engine.unavailable_since = None
            elif engine.unavailable_since is None:
                engine.unavailable_since = self.now

    def resume(self, host):
        """End a pause and handle the queued events in order."""
        host.paused = False
        inbox, host.inbox = host.inbox, []
        for event in inbox:
            self.feed(host, event)

    def feed(self, host, event):
        """Reduce an event and execute its effects."""
        if host.paused:
            host.inbox.append(event)
            return
        self.queue.append((host, event))
        if len(self.queue) > 1:
            return
        while self.queue:
            target, event = self.queue[0]
            for effect in control.reduce(
                    target.state, event, target.now(self)):
                self._execute_effect(target, effect)
            self.queue.popleft()

    # Effects.

    def _execute_effect(self, host, effect):
        match effect:
            case effects.Record():
                self.records.append(
                    (host.name, effect.kind, dict(effect.fields)))
            case effects.Exit():
                host.exited = True
            case effects.SendOrder():
                self._send(host, effect.order)
            case _:
                self.feed(host, self._execute_call(host, effect))

    def _execute_call(self, host, effect):
        match effect:
            case effects.ReadLease():
                if host.lease_fault == "unavailable":
                    return events.LeaseRead(Status.UNAVAILABLE)
                version, body = self.objects.get(LEASE_KEY, (0, b""))
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
                return self.engines[name].state_event(self.now)

    def _write(self, host, effect):
        status = Status.UNKNOWN
        if host.lease_fault == "unavailable":
            status = Status.UNAVAILABLE
        elif host.lease_fault == "late":
            self.late_writes.append(effect)
        elif not self.write_lease(effect):
            status = Status.CONFLICT
        elif host.lease_fault == "none":
            status = Status.WRITTEN
        return events.LeaseWritten(
            effect.nonce, effect.number, status, self.version)

    def write_lease(self, effect):
        """Apply a conditional write; return whether it took effect."""
        if self.objects.get(LEASE_KEY, (0, b""))[0] != effect.version:
            return False
        self.version += 1
        self.objects[LEASE_KEY] = (self.version, effect.body)
        return True

    def apply_late_writes(self):
        """Apply the late writes whose condition still holds."""
        late_writes, self.late_writes = self.late_writes, []
        for effect in late_writes:
            self.write_lease(effect)

    # Orders.

    def _send(self, host, order):
        if host.held_orders is not None:
            host.held_orders.append(order)
            return
        if not control.may_send(host.state, order, host.now(self)):
            self.report_outcome(host, order, Outcome.NOT_SENT)
        elif host.in_transit is not None:
            host.in_transit.append((self.now, order))
        else:
            self.report_outcome(host, order, self.deliver_order(host, order))

    def send_held_orders(self, host):
        """Resume sending the orders held before the check."""
        held_orders, host.held_orders = host.held_orders, None
        for order in held_orders:
            self._send(host, order)

    def deliver_order(self, host, order):
        """Deliver an order to its engine; return the outcome."""
        engine = self.engines[order.engine]
        served = engine.serves(self.now)
        outcome = engine.receive(order, self.now)
        self.delivered.append((self.now, host.name, order, outcome, served))
        return outcome

    def report_outcome(self, host, order, outcome):
        """Report the outcome of an order to the host."""
        self.feed(host, events.OrderAnswered(
            order.order_id, order.engine, outcome))

    # For assertions.

    def holders(self):
        """Return the names of the hosts that believe they hold the lease."""
        return "".join(name for name, host in self.hosts.items()
                       if host.state.lease.holding)

    def record_kinds(self, host):
        """Return the kinds of the timeline events of a host."""
        return [kind for name, kind, _ in self.records if name == host]

    def accepted_orders(self, name):
        """Return (host, fence) of the orders that an engine accepted."""
        return [(host, order.fence)
                for _, host, order, outcome, _ in self.delivered
                if order.engine == name and outcome is Outcome.DONE]
