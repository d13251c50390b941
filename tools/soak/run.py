"""One run: stand-ins, processes, callers and the record of all of it."""

import json
import random

from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions
from tools.soak import asking
from tools.soak import checks
from tools.soak import cloud as clouds
from tools.soak import engine as engines
from tools.soak import faults
from tools.soak import fleet as fleets
from tools.soak import proxy
from tools.soak import record as records
from tools.soak import store as stores
from twisted.internet import defer

__all__ = ["Soak", "play"]

# Runs with different seeds may go on side by side.
NETS = 200
RATE_S = 0.025
# Hosts are up in a second, on a busy machine in some more.
START_MOST_S = 30.0
FAULT_S = 1.0
PLAN_S = 1.5
# All faults are over this long after the last began, s.
MENDED_S = 13.0
LAST_REQUESTS = 40
KEPT_SHARE = 0.6
LEAVING_SHARE = 0.05
# What a server still does for a request is known after this, s.
JUDGED_S = 1.1
KEY = b"key"
# Engines are asked for and never come: the holder asks again and again.
SCALING = {"Min": 1, "Max": 20, "BootTimeoutS": 0.5, "SpotPrice": 0.2,
           "ZonePrices": {"zone-0": 1.0, "zone-1": 1.0}}


class Soak:
    """Holds a run together."""

    def __init__(self, reactor, seed, folder, hosts):
        self.reactor = reactor
        self.rng = random.Random(seed)
        self.kinds = faults.choose_kinds(self.rng, seed)
        self.record = records.new_record()
        self.store = stores.Store(reactor)
        self.engines = {}
        self.links = {}
        self.store_links = {}
        self.fronts = {}
        self.callers = {}
        self.stopping = set()
        self.version = 0
        # (version, when the store took it)
        self.versions = []
        self.numbered = 0
        self.waiting = 0
        self.pace = 1.0
        self.violations = []
        self.last_replies = []
        self.began_at = reactor.seconds()
        # Addresses that callers were told, as they would keep them.
        self.told = []
        self.net = f"127.{10 + seed % NETS}"
        self.server_ip = f"{self.net}.2.1"
        port = reactor.listenTCP(0, self.store.listener, 50, "127.0.0.1")
        self.store_address = ("127.0.0.1", port.getHost().port)
        self.cloud = clouds.Cloud(reactor)
        cloud = reactor.listenTCP(0, self.cloud.listener, 50, "127.0.0.1")
        self.fleet = fleets.Fleet(
            folder, self.net, hosts,
            f"127.0.0.1:{cloud.getHost().port}")

    def begin(self):
        """Register servers, configure, start the hosts."""
        for service, count in (("engines", 4), ("plain", 3)):
            for _ in range(count):
                self.add_engine(service)
        self.configure()
        for number, ip in enumerate(self.fleet.ips):
            self.store_links[ip] = self._link(self.store_address)
            self.fronts[ip] = self._link((ip, fleets.PORTS["Front"]))
            self.fleet.start(number, self._address(self.store_links[ip]))

    def _link(self, target):
        link = proxy.Link(self.reactor, target)
        link.listen(self.server_ip)
        return link

    def _address(self, link):
        return f"{self.server_ip}:{link.port.getHost().port}"

    def later(self, span, function, *args):
        """Call a function after ``span`` seconds."""
        self.reactor.callLater(span, function, *args)

    def note_fault(self, where, name, span_s=0.0):
        """Note a fault that begins now."""
        self.record.fault(where, name, self.reactor.seconds(), span_s)

    def add_engine(self, service):
        """Start and register a server under a new id."""
        self.numbered += 1
        sid = f"s-{self.numbered}"
        engine = engines.Engine(
            self.reactor, self.rng, sid, service, self.record,
            lambda: self.crash(sid))
        port = engine.listen(self.server_ip)
        self.engines[sid] = engine
        self.links[sid] = self._link((self.server_ip, port))
        self._register(sid)

    def _register(self, sid):
        self.store.put("servers", sid, self.entry(sid))

    def entry(self, sid):
        """Return what a server writes of itself."""
        return {
            "Service": self.engines[sid].service,
            "Addr": self._address(self.links[sid]),
            "Zone": "zone-0", "Version": "v1", "Slots": 32,
            "State": "ready", "ColdLeftMs": 0, "Seq": 1,
            "born": self.engines[sid].born}

    def register_again(self, sids):
        """Have servers that lapsed and live register once more."""
        for sid in sids:
            if sid in self.engines and sid not in self.record.left:
                self._register(sid)

    def any_engine(self):
        """Return the id of a server that is not leaving."""
        return self.rng.choice([sid for sid in self.engines
                                if sid not in self.record.left])

    def leave(self, sid):
        """Take a server off the list; it serves on for a while."""
        self.engines[sid].leaving = True
        self.store.remove("servers", sid)
        self.record.left[sid] = self.reactor.seconds()

    def end_engine(self, sid):
        """End a server; return its service."""
        engine = self.engines.pop(sid)
        self.record.ended[sid] = self.reactor.seconds()
        engine.crash()
        self.links[sid].close()
        return engine.service

    def end_left(self, sid):
        """End a server that left, unless a fault ended it before."""
        if sid in self.engines:
            self.end_engine(sid)

    def leave_ended(self, sid):
        """End a server that left without the store's word."""
        if sid in self.engines and self.engines[sid].leaving:
            self.leave(sid)
            self.end_engine(sid)

    def crash(self, sid):
        """Have a server go without notice; another comes a bit later."""
        if sid not in self.engines:
            return
        self.note_fault(sid, "server crash", 2.5)
        service = self.end_engine(sid)
        self.later(1.5, self.store.remove, "servers", sid)
        self.later(1.0, self.add_engine, service)

    def restart_engine(self, sid):
        """Have a server crash and start again under its id."""
        engine = self.engines[sid]
        if engine.is_down:
            return
        self.note_fault(sid, "server restart", 2.5)
        engine.crash()
        self.later(1.0, self._reborn, engine)

    def _reborn(self, engine):
        if engine.sid in self.engines:
            engine.start_again()
            self._register(engine.sid)

    def configure(self):
        """Write the next version of the configuration."""
        self.version += 1
        routes = [_route(kind) for kind in checks.KINDS]
        routes += [_route(f"v{number}") for number
                   in (self.version, self.version - 1) if number > 0]
        services = [{"Name": "plain", "MaxConns": 300},
                    {"Name": "engines", "MaxConns": 300, "Engine": {
                        "Slots": 32, "KvTokens": 400_000},
                     "Autoscale": SCALING}]
        self.store.put("config", "main", {
            "Version": self.version, "Routes": routes,
            "Services": services, "Tenants": [
                {"Name": "hire", "ApiKeys": [KEY.decode()]}]})
        self.versions.append((self.version, self.reactor.seconds()))

    def _settled(self):
        """Return the last version that must be in force by now."""
        since = self.reactor.seconds() - checks.APPLY_S
        return max((version for version, at in self.versions
                    if at <= since), default=0)

    def burst(self, pace):
        """Have callers send this many times as much."""
        self.pace = pace

    def send(self):
        """Send one request to a host that callers were told of."""
        ip = self.rng.choice(self.told or self.fleet.ips)
        self.waiting += 1
        defer.Deferred.fromCoroutine(self.ask(ip, self.draw())).addErrback(
            self._broke)

    def _broke(self, failure):
        self.waiting -= 1
        self.violations.append(failure.getTraceback())

    def draw(self):
        """Return a request drawn at random."""
        kind = self.rng.choice((*checks.KINDS, "version"))
        if kind == "version":
            number = max(1, self.version - self.rng.randrange(4))
            kind = f"v{number}"
        leaves_s = None
        if self.rng.random() < LEAVING_SHARE:
            leaves_s = self.rng.uniform(0.02, 0.3)
        return self._asked(kind, None, leaves_s)

    def poison(self, kind, body):
        """Send a request that crashes the servers that run it."""
        self.waiting += 1
        ip = self.rng.choice(self.told or self.fleet.ips)
        defer.Deferred.fromCoroutine(self.ask(
            ip, self._asked(kind, body, None))).addErrback(self._broke)

    def _asked(self, kind, body, leaves_s):
        self.numbered += 1
        rid = f"r{self.numbered}"
        headers = [(b"Host", b"desk"), (b"X-Crocuskeel-Request-Id",
                                        rid.encode()),
                   (b"X-Crocuskeel-Deadline-Ms", b"4000"),
                   (b"Authorization", b"Bearer " + KEY)]
        if kind in checks.STREAMS:
            part = self.rng.randrange(6)
            headers += [(b"X-Crocuskeel-Token-Count", b"5000,80"),
                        (b"X-Crocuskeel-Prefix-Hash",
                         b"p%d:4000,%s:1000" % (part, rid.encode()))]
        return asking.Asked(rid, kind, f"/{kind}/1", tuple(headers),
                            body or rid.encode(), leaves_s=leaves_s)

    async def ask(self, ip, asked):
        """Ask a host; have the request judged; return its reply."""
        number = self.fleet.ips.index(ip)
        now = self.reactor.seconds()
        seen = records.Seen(asked, ip, self.fleet.boots[number], now,
                            self.version, self._settled())
        self.record.seen[asked.rid] = seen
        seen.reply = asking.Reply(left=True)
        caller = self._caller(ip)
        seen.reply = await caller.ask(asked)
        seen.ended_at = self.reactor.seconds()
        seen.ended_version = self.version
        self._keep(ip, caller)
        self.later(JUDGED_S, self._judge, seen)
        return seen.reply

    def _caller(self, ip):
        """Return a caller of a host, one that rests if there is any."""
        resting = self.callers.setdefault(ip, [])
        if resting:
            return resting.pop()
        link = self.fronts[ip]
        return asking.Caller(
            self.reactor, (self.server_ip, link.port.getHost().port))

    def _keep(self, ip, caller):
        if self.rng.random() < KEPT_SHARE:
            self.callers[ip].append(caller)
        else:
            caller.close()

    def _judge(self, seen):
        self.waiting -= 1
        for wrong in checks.judge(seen, self.record):
            runs = self.record.runs.get(seen.asked.rid, [])
            self.violations.append(
                f"{seen.asked.rid} ({seen.asked.kind}, {seen.ip}, "
                f"{seen.at - self.began_at:.2f} s, "
                f"{seen.reply.status}): {wrong}; ran on {runs}; version "
                f"{seen.version} as it was sent, {self.version} now")

    async def resolve(self):
        """Ask hosts where to connect, as callers do; never ends."""
        while True:
            ip = self.rng.choice(self.fleet.ips)
            try:
                reply = await calls.call(
                    self.reactor, (ip, fleets.PORTS["Dir"]), b"GET",
                    b"/crocuskeel/resolve?Name=desk", 0.5)
                self.told = [address.partition(":")[0] for address
                             in json.loads(reply.body)["Addrs"]]
            except (exceptions.CallFailed, ValueError):
                await self.rest(0.1)
                continue
            await self.rest(0.5)

    def rest(self, span):
        """Return a Deferred that fires after ``span`` seconds."""
        done = defer.Deferred()
        self.reactor.callLater(span, done.callback, None)
        return done


def _route(kind):
    stream = kind in checks.STREAMS
    return {"Name": kind, "Host": "desk", "Prefix": f"/{kind}/",
            "Kind": ("stream" if stream else
                     "unsafe" if kind == "unsafe" else "safe"),
            "TimeoutMs": 4000, "GoalMs": 500, "Attempts": 2,
            "Resumable": stream, "GapAimMs": 300,
            "Priority": 2 if kind == "low" else 0,
            "Service": "engines" if stream else "plain"}


async def play(soak, seconds):
    """Play so many seconds of load and faults, then see to recovery."""
    clock = soak.reactor.seconds
    soak.begin()
    defer.Deferred.fromCoroutine(soak.resolve())
    latest = clock() + START_MOST_S
    wanted = min(5, len(soak.fleet.ips))
    while len(soak.told) < wanted and clock() < latest:
        await soak.rest(0.1)
    soak.began_at = clock()
    ends = clock() + seconds
    next_fault = clock() + FAULT_S
    next_plan = clock() + PLAN_S
    while clock() < ends:
        soak.send()
        if clock() >= next_fault:
            next_fault += FAULT_S
            faults.cause(soak)
        if clock() >= next_plan:
            next_plan += PLAN_S
            faults.plan(soak)
        await soak.rest(RATE_S / soak.pace)
    await _settle(soak, ends + MENDED_S)
    soak.violations += checks.judge_run(soak.record)
    soak.violations += clouds.faults_of_one(
        soak.cloud.arrivals, checks.LEASE_S)
    if not any(each.at >= ends for each in soak.cloud.arrivals):
        soak.violations.append("nobody does the duties at the end")


async def _settle(soak, mended_at):
    """Wait until all faults are over, then ask once more."""
    while soak.reactor.seconds() < mended_at or soak.waiting:
        await soak.rest(0.2)
    for _ in range(LAST_REQUESTS):
        soak.waiting += 1
        asked = soak.draw()
        soak.last_replies.append(await soak.ask(
            soak.rng.choice(soak.told or soak.fleet.ips), asked))
    while soak.waiting:
        await soak.rest(0.2)
    counted = [reply for reply in soak.last_replies
               if not reply.left and reply.status != checks.NOT_FOUND]
    soak.violations += checks.judge_end(counted)
