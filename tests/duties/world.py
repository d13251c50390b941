"""A small world for the duties: hosts, a store, and who takes the calls.

All hosts run the real reducer on one virtual clock, which goes on while a
host stands still. Faults are the caller's choice: of a host's way to the
store and to the platform, of the host, and of the answers.
"""

import dataclasses
import heapq
import json
import random

from crocuskeel.core.duties import model as duties_model
from crocuskeel.core import entry
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import usage
from crocuskeel.core.leadership import effects as lease_effects
from crocuskeel.core.leadership import events as lease_events
from tests.entry import support
from tools.soak import cloud

Status = lease_events.Status
Outcome = duties_model.Outcome
LEASE_S = 3.0
REPORT_S = 5.0
TICK_S = 0.3
STEP_S = 0.05
# One way between two processes, s, and the longest that a call waits.
WAY_S = 0.002
CALL_S = 1.0
DUTIES = frozenset({"usage", "scale"})


@dataclasses.dataclass
class Host:
    """One host; ``store`` and ``cloud`` say what becomes of its calls.

    ``well``, ``out`` (no answer), ``lost`` (done, no answer) or, of the
    store's writes, ``late`` (done 2 s later if its condition holds).
    ``skew`` is what its time of day is wrong by, s.
    """

    name: str
    boot: int = 1
    core: entry.Settings | None = None
    store: str = "well"
    cloud: str = "well"
    paused: bool = False
    dead: bool = False
    skew: float = 0.0
    tick_at: float = 0.0
    lines: list = dataclasses.field(default_factory=list)


class World:
    """Hosts h0, h1, ... that all may carry callers."""

    def __init__(self, hosts=5, seed=1, scaling=None, engines=()):
        self.rng = random.Random(seed)
        # No step falls on the end of a window.
        self.now = 1000.017
        # Of the true time of day, s since 1970.
        self.epoch = 1_700_000_000.0
        self.version = 100
        self.lease = None
        self.arrivals = []
        # The same as the hosts decided them.
        self.calls = []
        self.refuses_scale = False
        # Windows whose reports the platform turns down.
        self.refused_windows = set()
        # A host stands still for so long right after it decided on a call.
        self.pause_at_send_s = 0.0
        self.truth = {}
        self.queue = []
        self.order = 0
        self.scaling = scaling
        self.engines = tuple(engines)
        self.hosts = {f"h{number}": Host(f"h{number}")
                      for number in range(hosts)}
        for host in self.hosts.values():
            self._boot(host)

    def wall(self):
        """Return the true time of day."""
        return self.epoch + self.now

    def _boot(self, host):
        host.dead = False
        host.core = entry.new_host(
            entry.Settings(duties=DUTIES, lease_s=LEASE_S,
                           report_s=REPORT_S),
            random.Random(self.rng.random()))
        host.tick_at = self.now + self.rng.random() * TICK_S
        peers = tuple(support.peer(each.name, each.boot)
                      for each in self.hosts.values())
        self.feed(host, events.Started(
            support.peer(host.name, host.boot)))
        self.feed(host, events.PeersSeen(peers))
        catalog = support.catalog(support.stream())
        services = {**catalog.services, "engines": dataclasses.replace(
            catalog.services["engines"], scaling=self.scaling)}
        self.feed(host, events.CatalogSeen(
            dataclasses.replace(catalog, services=services)))
        self.feed(host, events.ServersListed(self.engines, 5))

    def feed(self, host, event):
        """Feed an event to a host and carry its effects out."""
        for effect in entry.reduce(host.core, event, self.now):
            self._carry_out(host, effect)

    def at(self, delay, action):
        """Have an action done after some seconds."""
        self.order += 1
        heapq.heappush(
            self.queue, (self.now + delay, self.order, action))

    def run(self, seconds, each_step=None):
        """Let time go on."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP_S
            if each_step is not None:
                each_step(self)
            self._due_actions()
            for host in self.hosts.values():
                self._tick(host)

    def _due_actions(self):
        ends = self.now
        while self.queue and self.queue[0][0] <= ends:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = ends

    def _tick(self, host):
        if host.dead or host.paused or self.now < host.tick_at:
            return
        host.tick_at = self.now + TICK_S
        self.feed(host, events.Ticked(self.wall() + host.skew))

    def _carry_out(self, host, effect):
        match effect:
            case effects.Tell():
                self._tell(host, effect)
            case lease_effects.ReadLease():
                self._read(host)
            case lease_effects.WriteLease():
                self._write(host, effect)
            case effects.SendDuty():
                boot = host.boot
                if self.pause_at_send_s:
                    self.pause(host.name, self.pause_at_send_s)
                    self.pause_at_send_s = 0.0
                self.at(WAY_S, lambda: self._send(host, boot, effect))
            case effects.Note():
                host.lines.append((effect.event, effect.fields))

    def _tell(self, host, effect):
        other = self.hosts.get(effect.peer.name)
        self.at(WAY_S, lambda: self._later(other, other.boot, effect.event))

    def _later(self, host, boot, event):
        """Feed an event, unless its host is gone; a paused one waits."""
        if host.boot != boot or host.dead:
            return
        if host.paused:
            self.at(STEP_S, lambda: self._later(host, boot, event))
            return
        self.feed(host, event)

    def _answer(self, host, delay, event):
        boot = host.boot
        self.at(delay, lambda: self._later(host, boot, event))

    def _read(self, host):
        if host.store != "well":
            self._answer(host, CALL_S, lease_events.LeaseRead(
                Status.UNAVAILABLE))
            return
        if self.lease is None:
            event = lease_events.LeaseRead(Status.NOT_FOUND)
        else:
            event = lease_events.LeaseRead(Status.FOUND, *self.lease)
        self._answer(host, 2 * WAY_S, event)

    def _write(self, host, effect):
        def answer(status, version=0, delay=2 * WAY_S):
            self._answer(host, delay, lease_events.LeaseWritten(
                effect.nonce, effect.number, status, version))

        if host.store == "out":
            answer(Status.UNKNOWN, delay=CALL_S)
        elif host.store == "late":
            self.at(2.0, lambda: self._apply(effect))
            answer(Status.UNKNOWN, delay=CALL_S)
        elif host.store == "lost":
            self._apply(effect)
            answer(Status.UNKNOWN, delay=CALL_S)
        elif self._apply(effect):
            answer(Status.WRITTEN, self.version)
        else:
            answer(Status.CONFLICT)

    def _apply(self, effect):
        """Write the lease if its condition holds."""
        current = self.lease[0] if self.lease else 0
        if current != effect.version:
            return False
        self.version += 1
        self.lease = self.version, effect.body
        return True

    def _send(self, host, boot, effect):
        """Connect and write, as the runtime does: not once it is late."""
        if host.boot != boot or host.dead:
            return
        if host.paused:
            self.at(STEP_S, lambda: self._send(host, boot, effect))
            return
        if self.now >= effect.until:
            self._duty_answer(host, effect, Outcome.FAILED, 0.0)
            return
        # What is not there at the end of the lease is dropped: the
        # runtime resets the connection, which a paused one can't.
        delay = WAY_S
        if host.cloud == "slow":
            delay = 0.8
        limit = min(CALL_S, effect.until - self.now)
        if host.cloud == "out" or delay >= limit:
            self._duty_answer(host, effect, Outcome.FAILED, limit)
            return
        if self._is_refused(effect.call):
            self._duty_answer(host, effect, Outcome.FAILED, delay + WAY_S)
            return
        self.at(delay, lambda: self._take(host, effect))
        outcome = Outcome.DONE
        if (self.refuses_scale
                and isinstance(effect.call, duties_model.Order)):
            outcome = Outcome.UNAVAILABLE
        if host.cloud == "lost":
            outcome = Outcome.FAILED
        self._duty_answer(host, effect, outcome, delay + WAY_S)

    def _is_refused(self, call):
        return (isinstance(call, duties_model.Report)
                and call.window in self.refused_windows)

    def _duty_answer(self, host, effect, outcome, delay):
        self._answer(host, delay, events.DutyAnswered(
            effect.call, outcome))

    def _take(self, host, effect):
        call = effect.call
        window = counts = None
        if isinstance(call, duties_model.Report):
            window, counts = call.window, call.counts
        self.arrivals.append(cloud.Arrival(
            self.now, host.name, effect.fence, call.subject, window,
            counts))
        self.calls.append(call)

    # Faults.

    def kill(self, name, down_s=1.0):
        """Kill a host's process; it starts again after some seconds."""
        host = self.hosts[name]
        host.dead = True
        host.paused = False
        host.boot += 1

        def start():
            self._boot(host)

        self.at(down_s, start)

    def stop(self, name):
        """Ask a host to stop as planned."""
        self.feed(self.hosts[name], events.StopAsked())

    def pause(self, name, seconds):
        """Have a host stand still."""
        host = self.hosts[name]
        host.paused = True

        def wake():
            host.paused = False

        self.at(seconds, wake)

    def holder(self):
        """Return the host that the lease's object names, or None."""
        return self.stored()["holder"] or None if self.lease else None

    def stored(self):
        """Return the lease's object."""
        return json.loads(self.lease[1])

    def begin_request(self, name, workspace="hire"):
        """Have an engine begin a request of a host."""
        host = self.hosts[name]
        if host.dead or host.paused:
            return
        pending = dataclasses.replace(
            support.pending(support.stream(), now=self.now),
            workspace=workspace)
        usage.began(host.core, pending, self.now)
        window = int(self.wall() // REPORT_S)
        row = self.truth.setdefault(window, {})
        row[workspace] = row.get(workspace, 0) + 1

    def reports(self):
        """Return the counts of each window as the platform has them."""
        return {each.window: dict(each.counts) for each in self.arrivals
                if each.window is not None}


def faults_of_one(world):
    """Return what the platform would find wrong, as texts."""
    return cloud.faults_of_one(world.arrivals, LEASE_S)


def scaling(**kwargs):
    """Return bounds of engines in three failure domains."""
    values = {"least": 1, "most": 20, "boot_s": 4.0, "spot_price": 0.2,
              "prices": {"perth-a": 0.8, "perth-b": 1.2, "bunbury": 1.0}}
    return model.Scaling(**{**values, **kwargs})


def engines(count=3, domains=("perth-a", "perth-b", "bunbury")):
    """Return so many engines in each failure domain."""
    return tuple(
        support.server(f"{domain}-{number}", "engines", domain=domain)
        for domain in domains for number in range(count))
