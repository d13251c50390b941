"""A simulation of hosts with duties, their store and the platform.

All hosts run the real reducer on one virtual clock, which continues while
a host is paused. Tests inject faults into a host, its connections to the
store and to the platform, and their responses.
"""

import collections
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
from tests.duties import lease_store
from tests.entry import support
from tests import liveness
from tools.soak import cloud

Outcome = duties_model.Outcome
LEASE_S = 3.0
REPORT_S = 5.0
TICK_S = 0.3
STEP_S = 0.05
# One-way delay between two processes, and the timeout of a call, s.
DELAY_S = lease_store.DELAY_S
TIMEOUT_S = lease_store.TIMEOUT_S
LEASE = "lease"
DUTIES = frozenset({"usage", "scale"})


@dataclasses.dataclass
class Host:
    """A host; ``store`` and ``cloud`` determine the fate of its calls.

    ``well``: carried out. ``out``: no response. ``lost``: carried out,
    but the response is lost. ``late``, for writes to the store: carried
    out 2 s later if the condition still holds. ``slow``, for calls to the
    platform: delayed. ``skew`` is the error of the host's wall clock, s.
    ``calls_in_flight`` counts those for the lease and those of each duty.
    ``era`` is the newest era of the store that it has seen in an answer.
    """

    name: str
    boot: int = 1
    core: entry.Settings | None = None
    store: str = "well"
    cloud: str = "well"
    paused: bool = False
    dead: bool = False
    skew: float = 0.0
    era: int = 0
    tick_at: float = 0.0
    calls_in_flight: collections.Counter = dataclasses.field(
        default_factory=collections.Counter)
    lines: list = dataclasses.field(default_factory=list)


class World(lease_store.LeaseStore):
    """Hosts h0, h1, ... all of which may serve callers."""

    def __init__(self, hosts=5, seed=1, scaling=None, engines=()):
        self.rng = random.Random(seed)
        # No step coincides with the end of a window.
        self.now = 1000.017
        # Offset of the true wall clock time, s since 1970.
        self.epoch = 1_700_000_000.0
        super().__init__()
        self.arrivals = []
        # The hosts' call of each arrival.
        self.calls = []
        self.refuses_scale = False
        # Windows whose reports the platform refuses.
        self.refused_windows = set()
        # The next host that decides on a call is paused for this long.
        self.pause_at_send_s = 0.0
        self.true_counts = {}
        self.queue = []
        self.queued_count = 0
        self.scaling = scaling
        self.engines = tuple(engines)
        self.hosts = {f"h{number}": Host(f"h{number}")
                      for number in range(hosts)}
        for host in self.hosts.values():
            self._boot(host)

    def wall(self):
        """Return the true wall clock time."""
        return self.epoch + self.now

    def _boot(self, host):
        host.dead = False
        host.calls_in_flight.clear()
        host.era = 0
        host.core = entry.new_host(
            entry.Settings(duties=DUTIES, lease_s=LEASE_S,
                           report_window_s=REPORT_S),
            random.Random(self.rng.random()))
        host.tick_at = self.now + self.rng.random() * TICK_S
        peers = tuple(support.peer(each.name, each.boot)
                      for each in self.hosts.values())
        self.feed(host, events.Started(
            support.peer(host.name, host.boot)))
        self.feed(host, events.PeersListed(peers))
        catalog = support.catalog(support.stream())
        services = {**catalog.services, "engines": dataclasses.replace(
            catalog.services["engines"], scaling=self.scaling)}
        self.feed(host, events.CatalogRead(
            dataclasses.replace(catalog, services=services)))
        self.feed(host, events.ServersListed(self.engines, 5))

    def feed(self, host, event):
        """Feed an event to a host and carry out its effects."""
        for effect in entry.reduce(host.core, event, self.now):
            self._carry_out(host, effect)
        self._check_liveness(host)

    def _check_liveness(self, host):
        """Check that a host that waits for a call has one in flight.

        While it waits, it makes no other: the lease would not be renewed,
        and the duty not done.
        """
        duties = host.core.duties
        waiting = {subject: {subject} for subject, call in duties.calls.items()
                   if call.in_progress}
        if duties.lease_state.lease.call_in_progress:
            waiting[LEASE] = {LEASE}
        liveness.check(host.name, waiting, set(+host.calls_in_flight))

    def at(self, delay, action):
        """Schedule an action after ``delay`` seconds."""
        self.queued_count += 1
        heapq.heappush(
            self.queue, (self.now + delay, self.queued_count, action))

    def run(self, seconds, each_step=None):
        """Advance the clock, calling ``each_step`` at each step."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += STEP_S
            if each_step is not None:
                each_step(self)
            self._run_due_actions()
            for host in self.hosts.values():
                self._tick(host)

    def _run_due_actions(self):
        end_at = self.now
        while self.queue and self.queue[0][0] <= end_at:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end_at

    def _tick(self, host):
        if host.dead or host.paused or self.now < host.tick_at:
            return
        host.tick_at = self.now + TICK_S
        self.feed(host, events.Ticked(self.wall() + host.skew))

    def _carry_out(self, host, effect):
        match effect:
            case effects.SendToPeer():
                self._tell(host, effect)
            case lease_effects.ReadLease():
                host.calls_in_flight[LEASE] += 1
                self._read(host)
            case lease_effects.WriteLease():
                host.calls_in_flight[LEASE] += 1
                self._write(host, effect)
            case effects.SendDuty():
                host.calls_in_flight[effect.call.subject] += 1
                boot = host.boot
                if self.pause_at_send_s:
                    self.pause(host.name, self.pause_at_send_s)
                    self.pause_at_send_s = 0.0
                self.at(DELAY_S, lambda: self._send_call(host, boot, effect))
            case effects.LogEvent():
                host.lines.append((effect.event, effect.fields))

    def _tell(self, host, effect):
        other = self.hosts.get(effect.peer.name)
        self.at(DELAY_S,
                lambda: self._deliver(other, other.boot, effect.event))

    def _deliver(self, host, boot, event):
        """Feed an event to its host, after a pause; drop it if killed."""
        if host.boot != boot or host.dead:
            return
        if host.paused:
            self.at(STEP_S, lambda: self._deliver(host, boot, event))
            return
        match event:
            case lease_events.LeaseRead() | lease_events.LeaseWritten():
                host.calls_in_flight[LEASE] -= 1
            case events.DutyAnswered(call=call):
                host.calls_in_flight[call.subject] -= 1
        self.feed(host, event)

    def _answer(self, host, delay, event):
        boot = host.boot
        self.at(delay, lambda: self._deliver(host, boot, event))

    def _send_call(self, host, boot, effect):
        """Send a call unless it is too late, as the runtime does."""
        if host.boot != boot or host.dead:
            return
        if host.paused:
            self.at(STEP_S, lambda: self._send_call(host, boot, effect))
            return
        if self.now >= effect.until:
            self._duty_answer(host, effect, Outcome.FAILED, 0.0)
            return
        # A call that has not arrived at the end of the lease is dropped:
        # the runtime resets the connection, unless the host is paused.
        delay = DELAY_S
        if host.cloud == "slow":
            delay = 0.8
        limit = min(TIMEOUT_S, effect.until - self.now)
        if host.cloud == "out" or delay >= limit:
            self._duty_answer(host, effect, Outcome.FAILED, limit)
            return
        if self._is_refused(effect.call):
            self._duty_answer(host, effect, Outcome.FAILED, delay + DELAY_S)
            return
        self.at(delay, lambda: self._record_arrival(host, effect))
        outcome = Outcome.DONE
        if (self.refuses_scale
                and isinstance(effect.call, duties_model.Order)):
            outcome = Outcome.UNAVAILABLE
        if host.cloud == "lost":
            outcome = Outcome.FAILED
        self._duty_answer(host, effect, outcome, delay + DELAY_S)

    def _is_refused(self, call):
        return (isinstance(call, duties_model.Report)
                and call.window in self.refused_windows)

    def _duty_answer(self, host, effect, outcome, delay):
        self._answer(host, delay, events.DutyAnswered(
            effect.call, outcome))

    def _record_arrival(self, host, effect):
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
        """Kill a host's process; it restarts after ``down_s``."""
        host = self.hosts[name]
        host.dead = True
        host.paused = False
        host.boot += 1

        def start():
            self._boot(host)

        self.at(down_s, start)

    def stop(self, name):
        """Ask a host to shut down gracefully."""
        self.feed(self.hosts[name], events.StopAsked())

    def pause(self, name, seconds):
        """Pause a host's process."""
        host = self.hosts[name]
        host.paused = True

        def resume():
            host.paused = False

        self.at(seconds, resume)

    def holder(self):
        """Return the holder according to the lease object, or None."""
        return self.stored()["holder"] or None if self.lease else None

    def stored(self):
        """Return the decoded lease object."""
        return json.loads(self.lease[1])

    def begin_request(self, name, workspace="hire"):
        """Have an engine begin a request that a host received."""
        host = self.hosts[name]
        if host.dead or host.paused:
            return
        pending = dataclasses.replace(
            support.request_state(support.stream(), now=self.now),
            workspace=workspace)
        usage.count_begun(host.core, pending, self.now)
        window = int(self.wall() // REPORT_S)
        counts = self.true_counts.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1

    def reports(self):
        """Return the counts of each window as the platform received them."""
        return {each.window: dict(each.counts) for each in self.arrivals
                if each.window is not None}


def platform_faults(world):
    """Return the faults that the platform would find, as strings."""
    return cloud.faults_of_one(world.arrivals, LEASE_S)


def scaling(**kwargs):
    """Return a scaling of engines in three failure domains."""
    values = {"min_engines": 1, "max_engines": 20, "boot_s": 4.0,
              "spot_price": 0.2,
              "prices": {"perth-a": 0.8, "perth-b": 1.2, "bunbury": 1.0}}
    return model.Scaling(**{**values, **kwargs})


def engines(count=3, domains=("perth-a", "perth-b", "bunbury")):
    """Return ``count`` engines in each failure domain."""
    return tuple(
        support.server(f"{domain}-{number}", "engines", domain=domain)
        for domain in domains for number in range(count))
