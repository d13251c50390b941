"""Run the soak: ``python -m tools.soak --seed 1 --seconds 20``.

Closes with a plain line: N answers, N violations. Exits 1 if a promise
was broken, or if too few requests were served to say anything.
"""

import argparse
import collections
import json
import random
import sys
import tempfile
import time

from twisted.internet import asyncioreactor

asyncioreactor.install()

from crocuskeel.gateway import calls  # noqa: E402
from crocuskeel.gateway import exceptions  # noqa: E402
from tools.soak import checks  # noqa: E402
from tools.soak import engine as engines  # noqa: E402
from tools.soak import fleet as fleets  # noqa: E402
from tools.soak import store as stores  # noqa: E402
from twisted.internet import defer  # noqa: E402
from twisted.internet import reactor  # noqa: E402

HOSTS = 3
# Runs with different seeds may go on side by side.
NETS = 200
RATE_S = 0.025
# Hosts are up in a second, on a busy machine in some more.
START_MOST_S = 30.0
DEADLINE_S = 4.0
FAULT_S = 1.0
KINDS = ("stream", "safe", "unsafe")
# A run that serves less than this share shows nothing.
SERVED_LEAST = 0.4


class Soak:
    """One run: its stand-ins, processes, and what it found."""

    def __init__(self, seed, folder):
        self.rng = random.Random(seed)
        self.store = stores.Store(reactor)
        self.runs = {}
        self.engines = {}
        self.version = 0
        self.numbered = 0
        self.waiting = 0
        self.answers = collections.Counter()
        self.violations = []
        # Addresses that callers were told, as they would keep them.
        self.told = []
        net = f"127.{10 + seed % NETS}"
        self.server_ip = f"{net}.2.1"
        port = reactor.listenTCP(0, self.store.listener, 50, "127.0.0.1")
        self.fleet = fleets.Fleet(
            folder, net, HOSTS, f"127.0.0.1:{port.getHost().port}")

    def begin(self):
        """Register servers, configure, start the hosts."""
        for service, count in (("engines", 4), ("plain", 3)):
            for _ in range(count):
                self.add_engine(service)
        self.configure()
        for number in range(HOSTS):
            self.fleet.start(number)

    def add_engine(self, service):
        """Start and register a server under a new id."""
        self.numbered += 1
        sid = f"s-{self.numbered}"
        engine = engines.Engine(reactor, self.rng, sid, service, self.runs)
        port = engine.listen(self.server_ip)
        self.engines[sid] = engine
        self.store.put("servers", sid, {
            "Service": service, "Addr": f"{self.server_ip}:{port}",
            "Zone": "zone-0", "Slots": 32, "State": "ready"})

    def configure(self):
        """Write the next version of the configuration."""
        self.version += 1
        routes = [{
            "Name": kind, "Host": "desk", "Prefix": f"/{kind}/",
            "Kind": kind, "TimeoutMs": 4000, "GoalMs": 500, "Attempts": 2,
            "Resumable": kind == "stream", "GapAimMs": 300,
            "Service": "engines" if kind == "stream" else "plain"}
            for kind in KINDS]
        services = [{"Name": "plain"}, {"Name": "engines", "Engine": {
            "Slots": 32, "KvTokens": 100_000}}]
        self.store.put("config", "main", {
            "Version": self.version, "Routes": routes,
            "Services": services, "Tenants": [
                {"Name": "hire", "ApiKeys": ["key"]}]})

    def send(self):
        """Send one request to a host that callers were told of."""
        self.numbered += 1
        kind = self.rng.choice(KINDS)
        rid = f"r{self.numbered}"
        ip = self.rng.choice(self.told or self.fleet.ips)
        self.waiting += 1
        defer.Deferred.fromCoroutine(self._request(ip, kind, rid))

    async def ask(self):
        """Ask hosts each second where to connect, as callers do."""
        while True:
            ip = self.rng.choice(self.fleet.ips)
            try:
                reply = await calls.call(
                    reactor, (ip, fleets.PORTS["Dir"]), b"GET",
                    b"/crocuskeel/resolve?Name=desk", 0.5)
                self.told = [address.partition(":")[0] for address
                             in json.loads(reply.body)["Addrs"]]
            except (exceptions.CallFailed, ValueError):
                await _pass(0.1)
                continue
            await _pass(0.5)

    async def _request(self, ip, kind, rid):
        headers = [(b"X-Crocuskeel-Request-Id", rid.encode()),
                   (b"X-Crocuskeel-Deadline-Ms", b"4000"),
                   (b"Authorization", b"Bearer key")]
        try:
            reply = await calls.call(
                reactor, (ip, fleets.PORTS["Front"]), b"POST",
                f"/{kind}/1".encode(), DEADLINE_S, b"body",
                [(b"Host", b"desk"), *headers])
            status, body = reply.status, reply.body
        except exceptions.CallFailed:
            status, body = 0, b""
        # What a server still works on may count as a run a moment later.
        reactor.callLater(1.0, self._judge, kind, rid, status, body)

    def _judge(self, kind, rid, status, body):
        self.waiting -= 1
        self.answers[status] += 1
        runs = self.runs.get(rid, [])
        for wrong in checks.judge(kind, rid, status, body, runs):
            self.violations.append(
                f"{rid} ({kind}, {status}): {wrong}; ran on {runs}")

    def fault(self):
        """Cause one fault drawn at random, which ends by itself."""
        self.rng.choice((self._kill, self._pause, self._stop, self._crash,
                         self._leave, self._outage, self._spoil,
                         self.configure))()

    def _kill(self):
        number = self.rng.randrange(HOSTS)
        self.fleet.signal(number, "SIGKILL")
        self.fleet.restart(number)

    def _pause(self):
        number = self.rng.randrange(HOSTS)
        self.fleet.signal(number, "SIGSTOP")
        reactor.callLater(0.8, self.fleet.signal, number, "SIGCONT")

    def _stop(self):
        number = self.rng.randrange(HOSTS)
        self.fleet.signal(number, "SIGTERM")
        # It goes on serving for some seconds; a kill comes after grace.
        reactor.callLater(8.0, self._restart_stopped, number)

    def _restart_stopped(self, number):
        self.fleet.signal(number, "SIGKILL")
        self.fleet.restart(number)

    def _crash(self):
        sid = self.rng.choice(list(self.engines))
        engine = self.engines.pop(sid)
        engine.crash()
        reactor.callLater(1.5, self.store.remove, "servers", sid)
        reactor.callLater(1.0, self.add_engine, engine.service)

    def _leave(self):
        sid = self.rng.choice(list(self.engines))
        engine = self.engines.pop(sid)
        self.add_engine(engine.service)
        self.store.remove("servers", sid)
        reactor.callLater(6.0, engine.crash)

    def _outage(self):
        self.store.set_down(True)
        reactor.callLater(2.5, self.store.set_down, False)

    def _spoil(self):
        name = self.rng.choice(("lost", "torn", "full", "error"))
        for engine in self.engines.values():
            engine.faults = {**engines.USUAL, name: 0.3}
        reactor.callLater(1.5, self._mend)

    def _mend(self):
        for engine in self.engines.values():
            engine.faults = dict(engines.USUAL)


def _pass(span):
    done = defer.Deferred()
    reactor.callLater(span, done.callback, None)
    return done


async def play(soak, seconds):
    """Play a run of so many seconds of load and faults."""
    soak.begin()
    defer.Deferred.fromCoroutine(soak.ask())
    latest = time.monotonic() + START_MOST_S
    while len(soak.told) < HOSTS and time.monotonic() < latest:
        await _pass(0.1)
    ends = time.monotonic() + seconds
    next_fault = time.monotonic() + FAULT_S
    while time.monotonic() < ends:
        soak.send()
        if time.monotonic() >= next_fault:
            next_fault += FAULT_S
            soak.fault()
        await _pass(RATE_S)
    while soak.waiting:
        await _pass(0.2)


def main(argv=None):
    """Run the soak; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args(argv)
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(args.seed, folder)
        run = defer.Deferred.fromCoroutine(play(soak, args.seconds))
        failed = []
        run.addErrback(lambda failure: failed.append(
            failure.getTraceback()))
        run.addBoth(lambda _: reactor.stop())
        reactor.run()
        soak.fleet.stop()
    return _report(soak, args.seed, failed)


def _report(soak, seed, failed):
    for line in soak.violations + failed:
        print(f"seed {seed}: {line}")
    total = sum(soak.answers.values())
    print(f"seed {seed}: answers by status {dict(soak.answers)}")
    print(f"{total} answers, {len(soak.violations)} violations")
    served = soak.answers[200] >= SERVED_LEAST * max(1, total)
    return 0 if served and not soak.violations and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
