"""Figures of membership: real reducers on a virtual clock.

``python -m bench.membership_figures`` prints JSON lines with ``name``,
``value``, ``unit`` and ``n``. Bytes are those of the sealed datagram
without IP and UDP headers. CPU is the CPU time of this whole process,
including the virtual clock, divided by the number of hosts.
"""

import heapq
import itertools
import json
import math
import random
import statistics
import time

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import state
from crocuskeel import wire
from crocuskeel.wire import crocuskeel_pb2 as pb

__all__ = ["Fleet", "new_fleet", "sealed"]

KEY = b"0123456789abcdef0123456789abcdef"
DOMAINS = 4
START = 1764700000000
SIZES = (3, 9, 27, 81, 243, 470)


class Fleet:
    """Daemons by address, and the messages in transit between them.

    ``lost(sender, receiver)`` tells of each datagram whether it is lost.
    ``deaths`` lists (time, declaring host, declared host) in order.
    """

    def __init__(self, seed):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.daemons = {}
        self.paused = {}
        self.lost = lambda sender, receiver: False
        self.deaths = []
        self.records = []
        self.sent = [0, 0]
        self.encode = False
        self._heap = []
        self._order = itertools.count()
        self._timers = {}

    def add(self, host, domain, seeds=(), incarnation=START, address=""):
        """Start a daemon; return its address."""
        me = state.Identity("paddlegum", host, domain, "wa-south",
                            address or "10.20.30." + host, 7001, 8001,
                            incarnation, tuple(seeds))
        rng = random.Random(self.rng.random())
        daemon = state.Daemon(
            me, state.Limits(), rng, follower.new_state(),
            membership.new_state(me), *([None] * 5))
        self.daemons[me.address] = daemon
        self._schedule(self.now, me.address, events.Started())
        return me.address

    def stop(self, address):
        """Crash a daemon; return it."""
        return self.daemons.pop(address)

    def pause(self, address, duration_s):
        """Pause a daemon; its incoming events are queued."""
        self.paused[address] = []
        self._schedule(self.now + duration_s, address, None)

    def run(self, duration_s):
        """Advance the clock."""
        end = self.now + duration_s
        while self._heap and self._heap[0][0] <= end:
            self.now, _, address, event = heapq.heappop(self._heap)
            self._deliver(address, event)
        self.now = end

    def _schedule(self, due_at, address, event):
        heapq.heappush(self._heap, (due_at, next(self._order), address, event))

    def _deliver(self, address, event):
        daemon = self.daemons.get(address)
        if daemon is None:
            return
        if event is None:
            # As in twisted's reactor, due timers precede datagrams.
            queued = self.paused.pop(address)
            queued.sort(key=lambda event: type(event) is not tuple)
            for queued_event in queued:
                self._deliver(address, queued_event)
        elif address in self.paused:
            self.paused[address].append(event)
        else:
            self._reduce(daemon, event)

    def _reduce(self, daemon, event):
        if type(event) is tuple:
            slot = (daemon.identity.address, event[0])
            if self._timers.get(slot) != event[1]:
                return
            event = events.TimerFired(event[0])
        elif type(event) is bytes:
            event = _open_sealed(event, daemon)
        self.tell(daemon, event)

    def tell(self, daemon, event):
        """Reduce an event and execute its effects."""
        for effect in membership.handle(daemon, event, self.now):
            self._execute(daemon, effect)

    def _execute(self, daemon, effect):
        me = daemon.identity.address
        match effect:
            case effects.SetTimer(key=key, after_s=duration_s):
                token = next(self._order)
                self._timers[me, key] = token
                self._schedule(self.now + duration_s, me, (key, token))
            case effects.Send():
                self._send(daemon, effect)
            case effects.Record(kind=kind, fields=fields):
                self.records.append((self.now, daemon.identity.host, kind))
                if kind == "member_dead":
                    self.deaths.append(
                        (self.now, daemon.identity.host, fields[0][1]))

    def _send(self, daemon, effect):
        known = membership.member_info(daemon, effect.host)
        address = effect.address or known.address
        event = events.Received(
            daemon.identity.host, daemon.identity.incarnation, effect.message)
        if self.encode:
            event = sealed(daemon, effect)
            self.sent[0] += 1
            self.sent[1] += len(event)
        if not self.lost(daemon.identity.address, address):
            delay = self.rng.uniform(0.0005, 0.005)
            self._schedule(self.now + delay, address, event)


def sealed(daemon, effect):
    """Return the bytes of the datagram that carries a ``Send``."""
    batch = pb.Batch(
        deployment=daemon.identity.deployment, sender=daemon.identity.host,
        incarnation=daemon.identity.incarnation, receiver=effect.host,
        sequence=100000, generation=2000, clock_ms=START, clock_count=1,
        frames=[wire.to_frame(effect.message)])
    return wire.seal(KEY, batch).SerializeToString()


def _open_sealed(data, daemon):
    batch = wire.open_sealed(KEY, pb.Sealed.FromString(data),
                             daemon.identity.deployment, daemon.identity.host)
    return events.Received(batch.sender, batch.incarnation,
                           wire.from_frame(batch.frames[0]))


def new_fleet(hosts, seed=0, loss=0.0):
    """Return a fleet, 6 s after its start, whose hosts know each other."""
    fleet = Fleet(seed)
    names = [f"entry-{index:03}" for index in range(hosts)]
    # Hosts of one failure domain have consecutive names, as is usual at
    # real sites.
    for index, host in enumerate(names):
        fleet.add(host, f"domain-{index * DOMAINS // hosts}")
    members = tuple(
        daemon.membership.own_update for daemon in fleet.daemons.values())
    for daemon in fleet.daemons.values():
        ack = messages.ProbeAck(0, members)
        membership.handle(daemon, events.HostListSeen(1, members, ()), 0.0)
        membership.handle(daemon, events.Received("", 0, ack), 0.0)
        daemon.membership.pending_updates.clear()
    fleet.lost = lambda sender, receiver: fleet.rng.random() < loss
    fleet.run(6.0)
    return fleet


def _emit(name, value, unit, n):
    print(json.dumps({"name": name, "value": round(value, 5),
                      "unit": unit, "n": n}), flush=True)


def _measure_bare_datagram():
    # The size of a heartbeat without updates.
    fleet = new_fleet(2)
    daemon, other = fleet.daemons.values()
    send = effects.Send(other.identity.host, messages.Probe(100000))
    _emit("membership.bare_datagram", len(sealed(daemon, send)),
          "bytes", 1)


def _measure_costs():
    duration_s = {3: 60, 9: 60, 27: 30, 81: 15, 243: 8, 470: 6}
    rows = []
    for hosts in SIZES:
        fleet = new_fleet(hosts)
        fleet.run(20.0 if hosts < 200 else 5.0)
        fleet.encode = True
        started_at = time.process_time()
        fleet.run(duration_s[hosts])
        cpu_used_s = time.process_time() - started_at
        host_seconds = hosts * duration_s[hosts]
        row = (fleet.sent[0] / host_seconds, fleet.sent[1] / host_seconds,
               100 * cpu_used_s / host_seconds)
        rows.append(row)
        for name, value, unit in zip(
                ("datagrams", "bytes", "cpu"), row,
                ("datagrams/s/host", "bytes/s/host", "% of a core")):
            _emit(f"membership.{name}", value, unit, hosts)
    for index, name in enumerate(("datagrams", "bytes", "cpu")):
        # The probe period grows up to a few hundred hosts, so the slope
        # of the largest sizes predicts the cost of larger fleets.
        slope = statistics.linear_regression(
            SIZES[-3:], [row[index] for row in rows[-3:]]).slope
        _emit(f"membership.{name}.slope_81_to_470", slope,
              "a further host", 3)


def _measure_detection(hosts, loss, trials):
    durations_s = []
    false_deaths = 0
    for seed in range(trials):
        fleet = new_fleet(hosts, seed, loss)
        fleet.run(fleet.rng.uniform(0, 2))
        address = fleet.rng.choice(sorted(fleet.daemons))
        victim = fleet.stop(address).identity.host
        died_at = fleet.now
        fleet.run(6.0 if hosts < 30 else 15.0)
        detected_after_s = {
            reporter: when - died_at
            for when, reporter, host in fleet.deaths if host == victim}
        durations_s += [detected_after_s.get(daemon.identity.host, math.inf)
                        for daemon in fleet.daemons.values()]
        false_deaths += sum(host != victim for _, _, host in fleet.deaths)
    label = f"membership.detection.{hosts}hosts.loss{loss:.0%}"
    _emit(
        label + ".p50", statistics.median(durations_s), "s", len(durations_s))
    _emit(label + ".max", max(durations_s), "s", len(durations_s))
    _emit(label + ".false_deaths", false_deaths, "deaths", trials)


def _measure_pauses(hosts, loss, trials):
    false_deaths = 0
    for seed in range(trials):
        fleet = new_fleet(hosts, seed, loss)
        fleet.run(fleet.rng.uniform(0, 2))
        fleet.pause(fleet.rng.choice(sorted(fleet.daemons)), 2.0)
        fleet.run(10.0)
        false_deaths += len(fleet.deaths)
    _emit(f"membership.pause2s.{hosts}hosts.loss{loss:.0%}.false_deaths",
          false_deaths, "deaths", trials)


def _measure_quiet(hosts, loss, duration_s):
    fleet = new_fleet(hosts, 1, loss)
    fleet.run(duration_s)
    _emit(f"membership.quiet.{hosts}hosts.loss{loss:.0%}.false_deaths",
          len(fleet.deaths), "deaths", int(duration_s * hosts))


def _members_agree(fleet):
    expected = tuple(
        sorted(daemon.identity.host for daemon in fleet.daemons.values()))
    return all(membership.live(daemon) == expected
               for daemon in fleet.daemons.values())


def _time_to_agreement(fleet, timeout_s):
    started_at = fleet.now
    while not _members_agree(fleet) and fleet.now < started_at + timeout_s:
        fleet.run(0.1)
    return fleet.now - started_at if _members_agree(fleet) else math.inf


def _measure_split(hosts, trials):
    durations_s = []
    for seed in range(trials):
        fleet = new_fleet(hosts, seed)
        first_half = set(sorted(fleet.daemons)[:hosts // 2])
        fleet.lost = lambda a, b: (a in first_half) != (b in first_half)
        fleet.run(30.0)
        fleet.lost = lambda a, b: False
        durations_s.append(_time_to_agreement(fleet, 120.0))
    _emit(f"membership.split_healed.{hosts}hosts.max", max(durations_s), "s",
          trials)


def _measure_join(hosts):
    fleet = new_fleet(hosts, loss=0.02)
    seeds = [(daemon.identity.host, daemon.identity.address,
              daemon.identity.peer_port)
             for daemon in list(fleet.daemons.values())[:3]]
    fleet.add("newcomer", "domain-0", seeds)
    _emit(f"membership.joined.{hosts}hosts.loss2%",
          _time_to_agreement(fleet, 60.0), "s", 1)


def _measure_domain_loss(hosts, trials):
    durations_s = []
    for seed in range(trials):
        fleet = new_fleet(hosts, seed)
        fleet.run(fleet.rng.uniform(0, 2))
        for address, daemon in list(fleet.daemons.items()):
            if daemon.identity.domain == "domain-0":
                fleet.stop(address)
        durations_s.append(_time_to_agreement(fleet, 60.0))
    label = f"membership.domain_lost.{hosts}hosts"
    _emit(label + ".p50", statistics.median(durations_s), "s", trials)
    _emit(label + ".max", max(durations_s), "s", trials)


def main():
    """Print all figures."""
    _measure_bare_datagram()
    _measure_costs()
    for loss in (0.0, 0.02, 0.05):
        _measure_detection(9, loss, 40)
        _measure_pauses(9, loss, 40)
        _measure_quiet(9, loss, 200.0)
    _measure_detection(6, 0.02, 40)
    _measure_detection(470, 0.02, 1)
    _measure_pauses(470, 0.02, 1)
    _measure_join(9)
    _measure_join(470)
    _measure_split(9, 10)
    _measure_split(81, 2)
    _measure_domain_loss(9, 40)
    _measure_domain_loss(470, 1)


if __name__ == "__main__":
    main()
