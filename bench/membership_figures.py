"""Figures of membership: real reducers on a virtual clock.

``python -m bench.membership_figures`` prints JSON lines with ``name``,
``value``, ``unit`` and ``n``. Bytes are those of the sealed datagram
without IP and UDP headers; CPU is this process's whole time, the
virtual clock's own work included, spread over the hosts.
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
    """Daemons by address, and what is under way between them.

    ``lost(sender, receiver)`` decides on each datagram; ``deaths`` are
    (time, who declared, host declared) in order.
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
        self._put(self.now, me.address, events.Started())
        return me.address

    def stop(self, address):
        """Let a daemon crash."""
        return self.daemons.pop(address)

    def pause(self, address, span):
        """Let a daemon stand still; what comes in waits."""
        self.paused[address] = []
        self._put(self.now + span, address, None)

    def run(self, span):
        """Advance the clock."""
        end = self.now + span
        while self._heap and self._heap[0][0] <= end:
            self.now, _, address, event = heapq.heappop(self._heap)
            self._deliver(address, event)
        self.now = end

    def _put(self, at, address, event):
        heapq.heappush(self._heap, (at, next(self._order), address, event))

    def _deliver(self, address, event):
        daemon = self.daemons.get(address)
        if daemon is None:
            return
        if event is None:
            # As twisted's reactor: due timers first, then datagrams.
            held = self.paused.pop(address)
            held.sort(key=lambda e: type(e) is not tuple)
            for waiting in held:
                self._deliver(address, waiting)
        elif address in self.paused:
            self.paused[address].append(event)
        else:
            self._reduce(daemon, event)

    def _reduce(self, daemon, event):
        if type(event) is tuple:
            slot = (daemon.me.address, event[0])
            if self._timers.get(slot) != event[1]:
                return
            event = events.TimerFired(event[0])
        elif type(event) is bytes:
            event = _open(event, daemon)
        self.tell(daemon, event)

    def tell(self, daemon, event):
        """Reduce an event and carry out its effects."""
        for effect in membership.handle(daemon, event, self.now):
            self._effect(daemon, effect)

    def _effect(self, daemon, effect):
        me = daemon.me.address
        match effect:
            case effects.SetTimer(key=key, after_s=span):
                token = next(self._order)
                self._timers[me, key] = token
                self._put(self.now + span, me, (key, token))
            case effects.Send():
                self._send(daemon, effect)
            case effects.Record(kind=kind, fields=fields):
                self.records.append((self.now, daemon.me.host, kind))
                if kind == "member_dead":
                    self.deaths.append(
                        (self.now, daemon.me.host, fields[0][1]))

    def _send(self, daemon, effect):
        known = membership.info(daemon, effect.host)
        address = effect.address or known.address
        event = events.Received(daemon.me.host, daemon.me.incarnation,
                                effect.message)
        if self.encode:
            event = sealed(daemon, effect)
            self.sent[0] += 1
            self.sent[1] += len(event)
        if not self.lost(daemon.me.address, address):
            delay = self.rng.uniform(0.0005, 0.005)
            self._put(self.now + delay, address, event)


def sealed(daemon, effect):
    """Return the bytes of the datagram that carries a ``Send``."""
    batch = pb.Batch(
        deployment=daemon.me.deployment, sender=daemon.me.host,
        incarnation=daemon.me.incarnation, receiver=effect.host,
        sequence=100000, generation=2000, clock_ms=START, clock_count=1,
        frames=[wire.to_frame(effect.message)])
    return wire.seal(KEY, batch).SerializeToString()


def _open(data, daemon):
    batch = wire.open_sealed(KEY, pb.Sealed.FromString(data),
                             daemon.me.deployment, daemon.me.host)
    return events.Received(batch.sender, batch.incarnation,
                           wire.from_frame(batch.frames[0]))


def new_fleet(hosts, seed=0, loss=0.0):
    """Return a fleet whose hosts know each other, 6 s after start."""
    fleet = Fleet(seed)
    names = [f"entry-{index:03}" for index in range(hosts)]
    # Hosts of one failure domain are named in a row, as sites do.
    for index, host in enumerate(names):
        fleet.add(host, f"domain-{index * DOMAINS // hosts}")
    infos = tuple(d.members.me for d in fleet.daemons.values())
    for daemon in fleet.daemons.values():
        told = messages.ProbeAck(0, infos)
        membership.handle(daemon, events.HostListSeen(1, infos, ()), 0.0)
        membership.handle(daemon, events.Received("", 0, told), 0.0)
        daemon.members.queue.clear()
    fleet.lost = lambda sender, receiver: fleet.rng.random() < loss
    fleet.run(6.0)
    return fleet


def _print(name, value, unit, n):
    print(json.dumps({"name": name, "value": round(value, 5),
                      "unit": unit, "n": n}), flush=True)


def _bare():
    # What one heartbeat without updates would cost.
    fleet = new_fleet(2)
    daemon, other = fleet.daemons.values()
    send = effects.Send(other.me.host, messages.Probe(100000))
    _print("membership.bare_datagram", len(sealed(daemon, send)),
           "bytes", 1)


def _costs():
    span = {3: 60, 9: 60, 27: 30, 81: 15, 243: 8, 470: 6}
    rows = []
    for hosts in SIZES:
        fleet = new_fleet(hosts)
        fleet.run(20.0 if hosts < 200 else 5.0)
        fleet.encode = True
        began = time.process_time()
        fleet.run(span[hosts])
        used = time.process_time() - began
        total = hosts * span[hosts]
        row = (fleet.sent[0] / total, fleet.sent[1] / total,
               100 * used / total)
        rows.append(row)
        for name, value, unit in zip(
                ("datagrams", "bytes", "cpu"), row,
                ("datagrams/s/host", "bytes/s/host", "% of a core")):
            _print(f"membership.{name}", value, unit, hosts)
    for at, name in enumerate(("datagrams", "bytes", "cpu")):
        # The period grows up to some hundred hosts; what counts for
        # larger fleets is the slope of the upper sizes.
        slope = statistics.linear_regression(
            SIZES[-3:], [row[at] for row in rows[-3:]]).slope
        _print(f"membership.{name}.slope_81_to_470", slope,
               "a further host", 3)


def _detection(hosts, loss, trials):
    spans = []
    false = 0
    for seed in range(trials):
        fleet = new_fleet(hosts, seed, loss)
        fleet.run(fleet.rng.uniform(0, 2))
        address = fleet.rng.choice(sorted(fleet.daemons))
        victim = fleet.stop(address).me.host
        at = fleet.now
        fleet.run(6.0 if hosts < 30 else 15.0)
        seen = {who: when - at for when, who, host in fleet.deaths
                if host == victim}
        spans += [seen.get(d.me.host, math.inf)
                  for d in fleet.daemons.values()]
        false += sum(host != victim for _, _, host in fleet.deaths)
    label = f"membership.detection.{hosts}hosts.loss{loss:.0%}"
    _print(label + ".p50", statistics.median(spans), "s", len(spans))
    _print(label + ".max", max(spans), "s", len(spans))
    _print(label + ".false_deaths", false, "deaths", trials)


def _pauses(hosts, loss, trials):
    false = 0
    for seed in range(trials):
        fleet = new_fleet(hosts, seed, loss)
        fleet.run(fleet.rng.uniform(0, 2))
        fleet.pause(fleet.rng.choice(sorted(fleet.daemons)), 2.0)
        fleet.run(10.0)
        false += len(fleet.deaths)
    _print(f"membership.pause2s.{hosts}hosts.loss{loss:.0%}.false_deaths",
           false, "deaths", trials)


def _quiet(hosts, loss, span):
    fleet = new_fleet(hosts, 1, loss)
    fleet.run(span)
    _print(f"membership.quiet.{hosts}hosts.loss{loss:.0%}.false_deaths",
           len(fleet.deaths), "deaths", int(span * hosts))


def _agreed(fleet):
    want = tuple(sorted(d.me.host for d in fleet.daemons.values()))
    return all(membership.live(d) == want
               for d in fleet.daemons.values())


def _until_agreed(fleet, limit):
    began = fleet.now
    while not _agreed(fleet) and fleet.now < began + limit:
        fleet.run(0.1)
    return fleet.now - began if _agreed(fleet) else math.inf


def _split(hosts, trials):
    spans = []
    for seed in range(trials):
        fleet = new_fleet(hosts, seed)
        half = set(sorted(fleet.daemons)[:hosts // 2])
        fleet.lost = lambda a, b: (a in half) != (b in half)
        fleet.run(30.0)
        fleet.lost = lambda a, b: False
        spans.append(_until_agreed(fleet, 120.0))
    _print(f"membership.split_healed.{hosts}hosts.max", max(spans), "s",
           trials)


def _joins(hosts):
    fleet = new_fleet(hosts, loss=0.02)
    seeds = [(d.me.host, d.me.address, d.me.peer_port)
             for d in list(fleet.daemons.values())[:3]]
    fleet.add("newcomer", "domain-0", seeds)
    _print(f"membership.joined.{hosts}hosts.loss2%",
           _until_agreed(fleet, 60.0), "s", 1)


def _domain_lost(hosts, trials):
    spans = []
    for seed in range(trials):
        fleet = new_fleet(hosts, seed)
        fleet.run(fleet.rng.uniform(0, 2))
        for address, daemon in list(fleet.daemons.items()):
            if daemon.me.domain == "domain-0":
                fleet.stop(address)
        spans.append(_until_agreed(fleet, 60.0))
    label = f"membership.domain_lost.{hosts}hosts"
    _print(label + ".p50", statistics.median(spans), "s", trials)
    _print(label + ".max", max(spans), "s", trials)


def main():
    """Print all figures."""
    _bare()
    _costs()
    for loss in (0.0, 0.02, 0.05):
        _detection(9, loss, 40)
        _pauses(9, loss, 40)
        _quiet(9, loss, 200.0)
    _detection(6, 0.02, 40)
    _detection(470, 0.02, 1)
    _pauses(470, 0.02, 1)
    _joins(9)
    _joins(470)
    _split(9, 10)
    _split(81, 2)
    _domain_lost(9, 40)
    _domain_lost(470, 1)


if __name__ == "__main__":
    main()
