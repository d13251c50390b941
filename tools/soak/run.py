"""One run of the soak test: stubs, processes, callers and the record."""

import dataclasses
import json
import random

from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions
from tools.soak import callers
from tools.soak import checks
from tools.soak import cloud as clouds
from tools.soak import configs
from tools.soak import cuts
from tools.soak import engine as engines
from tools.soak import faults
from tools.soak import fleet as fleets
from tools.soak import proxy
from tools.soak import record as records
from tools.soak import rejoin_faults
from tools.soak import stop_faults
from tools.soak import store as stores
from tools.soak import take_ups
from twisted.internet import defer

__all__ = ["Soak"]

# Number of /16 networks, so that runs of different seeds can be parallel.
NETWORK_COUNT = 200
KEEP_ALIVE_SHARE = 0.6
ABANDON_SHARE = 0.05
# Share of the streams whose callers lose the connection and take them up.
BREAK_SHARE = 0.3
# Delay from the end of a request to its check, for its servers to stop, s.
CHECK_DELAY_S = 1.1
# Connections of a server that is gone and did not reset them last this long.
DARK_S = 3.0
KEY = b"key"
# Time limit of callers, and of those with streams in runs that rejoin, s.
LIMIT_S = 4.0
STREAM_LIMIT_S = 10.0
# Interval at which servers write their entries, s.
HEARTBEAT_S = 1.2


class Soak:
    """The state of a run, and the operations on its components."""

    def __init__(self, reactor, seed, folder, hosts):
        self.reactor = reactor
        self.rng = random.Random(seed)
        self.fault_kinds = faults.choose_kinds(self.rng, seed)
        self.record = records.new_record()
        self.store = stores.Store(reactor)
        self.engines = {}
        self.links = {}
        self.store_links = {}
        self.front_links = {}
        self.idle_callers = {}
        self.stopping = set()
        self.version = 0
        self.versions = []  # (version, when the store accepted it)
        self.last_number = 0
        self.unfinished = 0
        self.load_factor = 1.0
        self.class_burst_until = 0.0
        self.unframed = False
        # The software versions of the engines so far, and whether callers
        # take up streams: until their limit in runs that rejoin.
        self.engine_versions = ["v1"]
        self.rejoins = seed in rejoin_faults.REJOIN_SEEDS
        self.takes_up = self.rejoins or seed in faults.VERSION_SEEDS
        # What runs with planned stops in series need, else None.
        self.stops = stop_faults.new_stops(seed)
        self.limit_s = (STREAM_LIMIT_S if self.rejoins or self.stops
                        else LIMIT_S)
        # The faults of runs that rejoin don't depend on the requests' draws.
        self.fault_rng = random.Random(seed)
        self.schedule = rejoin_faults.new_schedule(
            random.Random(seed), seed) if self.rejoins else None
        # Numbers of hosts that were killed and not yet started again: when
        # that is due, and when they were killed.
        self.killed = {}
        self.killed_at = {}
        self.violations = []
        self.recovery_replies = []
        self.began_at = reactor.seconds()
        self.known_ips = []  # as callers have resolved them
        self.net = f"127.{10 + seed % NETWORK_COUNT}"
        self.server_ip = f"{self.net}.2.1"
        port = reactor.listenTCP(0, self.store.listener, 50, "127.0.0.1")
        self.store_address = ("127.0.0.1", port.getHost().port)
        self.cloud = clouds.Cloud(reactor)
        cloud = reactor.listenTCP(0, self.cloud.listener, 50, "127.0.0.1")
        self.fleet = fleets.Fleet(
            folder, self.net, hosts,
            f"127.0.0.1:{cloud.getHost().port}")
        self.cuts = cuts.Cuts()

    def begin(self):
        """Register the servers, write a configuration and start the hosts."""
        for service, count in (("engines", 4), ("plain", 3)):
            for _ in range(count):
                self.add_engine(service)
        self.configure()
        for number, ip in enumerate(self.fleet.ips):
            self.store_links[ip] = self._link(self.store_address)
            self.front_links[ip] = self._link((ip, fleets.PORTS["Front"]))
            self.fleet.start(number, self._address(self.store_links[ip]))

    def _link(self, target, *args):
        link = proxy.Link(self.reactor, target, *args)
        link.listen(self.server_ip)
        return link

    def _address(self, link):
        return f"{self.server_ip}:{link.port.getHost().port}"

    def call_later(self, span, function, *args):
        """Call a function after ``span`` seconds."""
        self.reactor.callLater(span, function, *args)

    def note_fault(self, where, name, span_s=0.0):
        """Record a fault that begins now."""
        self.record.add_fault(where, name, self.reactor.seconds(), span_s)

    def add_engine(self, service, version="v1"):
        """Start and register a server under a new id."""
        self.last_number += 1
        sid = f"s-{self.last_number}"
        engine = engines.Engine(
            self.reactor, self.rng, sid, service, self.record,
            lambda form: self.crash(sid, form), version)
        if self.rejoins:
            engine.event_s = rejoin_faults.EVENT_S
        if self.stops:
            engine.event_spans = self.stops.event_spans
        engine.ends_connections = self.unframed
        port = engine.listen(self.server_ip)
        self.engines[sid] = engine
        self.links[sid] = self._link(
            (self.server_ip, port), self.cuts.form_of)
        self._register(sid)

    def _register(self, sid):
        self.store.put("servers", sid, self.entry(sid))

    def entry(self, sid):
        """Return the entry that a server registers."""
        return {
            "Service": self.engines[sid].service,
            "Addr": self._address(self.links[sid]),
            "Zone": "zone-0", "Version": self.engines[sid].version,
            "Slots": 32, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
            "born": self.engines[sid].born}

    def reregister(self, sids):
        """Register expired servers again if they still run."""
        for sid in sids:
            if sid in self.engines and sid not in self.record.departed:
                self._register(sid)

    def restore_store(self, age_s):
        """End an outage with a copy of ``age_s`` ago; what lacks is rewritten.

        Entries of servers that have ended expire.
        """
        self.store.return_from_copy(age_s)
        self.store.set_down(False)
        self.call_later(self.rng.uniform(0.0, 1.0), self._write_config)
        for sid in self.engines:
            self.call_later(self.rng.uniform(0.0, HEARTBEAT_S),
                            self.reregister, (sid,))
        self.call_later(3 * HEARTBEAT_S, self._expire_ended)

    def _expire_ended(self):
        for sid in (*self.record.departed, *self.record.ended):
            self.store.remove("servers", sid)

    def set_unframed(self, unframed):
        """Have engines end their streams with the connection, or not."""
        self.unframed = unframed
        for engine in self.engines.values():
            engine.ends_connections = unframed

    def any_engine(self):
        """Return the id of a random server that has not left."""
        return self.rng.choice([sid for sid in self.engines
                                if sid not in self.record.departed])

    def leave(self, sid):
        """Remove a server from the list; it keeps running for a while.

        One that has ended since this was planned has left already.
        """
        if sid not in self.engines:
            return
        self.engines[sid].leaving = True
        self.store.remove("servers", sid)
        self.record.departed[sid] = self.reactor.seconds()

    def end_engine(self, sid, form=engines.RESET):
        """Stop a server; return it."""
        engine = self.engines.pop(sid)
        self.record.ended[sid] = self.reactor.seconds()
        engine.crash(form)
        self.links[sid].close(0.0 if form.resets else DARK_S)
        return engine

    def end_departed(self, sid):
        """Stop a server that left, unless a fault stopped it before."""
        if sid in self.engines:
            self.end_engine(sid)

    def end_unlisted(self, sid):
        """Stop a server that left while the store still listed it."""
        if sid in self.engines and self.engines[sid].leaving:
            self.leave(sid)
            self.end_engine(sid)

    def crash(self, sid, form=engines.RESET):
        """Crash a server; a replacement starts a second later."""
        if sid not in self.engines:
            return
        self.note_fault(sid, "server crash", 2.5)
        engine = self.end_engine(sid, form)
        self.call_later(1.5, self.store.remove, "servers", sid)
        self.call_later(1.0, self.add_engine, engine.service, engine.version)

    def serving(self, version):
        """Return the ids of the engines of a version that have not left."""
        return [sid for sid, engine in self.engines.items()
                if engine.service == "engines" and engine.version == version
                and not engine.leaving and not engine.is_down]

    def restart_engine(self, sid):
        """Crash a server and restart it under its id."""
        engine = self.engines[sid]
        if engine.is_down:
            return
        self.note_fault(sid, "server restart", 2.5)
        engine.crash()
        self.call_later(1.0, self._start_again, engine)

    def _start_again(self, engine):
        if engine.sid in self.engines:
            engine.restart()
            self._register(engine.sid)

    def configure(self):
        """Write the next version of the configuration."""
        self.version += 1
        self._write_config()
        self.versions.append((self.version, self.reactor.seconds()))

    def _write_config(self):
        self.store.put("config", "main", configs.new_config(
            self.version, KEY.decode(), round(self.limit_s * 1000),
            stop_faults.GAP_MS if self.stops else 300))

    def _settled(self):
        """Return the last version that must be in force by now."""
        since = self.reactor.seconds() - checks.APPLY_S
        return max((version for version, at in self.versions
                    if at <= since), default=0)

    def burst(self, load_factor):
        """Set the factor on the request rate."""
        self.load_factor = load_factor

    def send(self):
        """Send one random request to a resolved host."""
        ip = self.rng.choice(stop_faults.known_to_a_caller(self)
                             or self.fleet.ips)
        self.unfinished += 1
        defer.Deferred.fromCoroutine(self.send_to(
            ip, self.draw_request())).addErrback(self.record_failure)

    def record_failure(self, failure):
        """Record that a request ended with an exception."""
        self.unfinished -= 1
        self.violations.append(failure.getTraceback())

    def draw_request(self):
        """Return a random request."""
        kind = self.rng.choice((*checks.KINDS, "version"))
        if kind == "version":
            number = max(1, self.version - self.rng.randrange(4))
            kind = f"v{number}"
        abandon_after_s = None
        if self.rng.random() < ABANDON_SHARE:
            abandon_after_s = self.rng.uniform(0.02, 0.3)
        elif (self.takes_up and kind in checks.STREAMS
                and self.rng.random() < BREAK_SHARE):
            abandon_after_s = self.rng.uniform(0.2, 1.5)
        limit_s = self.limit_s if kind in checks.STREAMS else LIMIT_S
        return self.new_request(kind, None, abandon_after_s, limit_s=limit_s)

    def send_body(self, kind, body, bad_part=b""):
        """Send a request with a body that others may have, too.

        ``bad_part`` is put into its prompt.
        """
        self.unfinished += 1
        ip = self.rng.choice(self.known_ips or self.fleet.ips)
        defer.Deferred.fromCoroutine(self.send_to(
            ip, self.new_request(kind, body, None, bad_part))).addErrback(
                self.record_failure)

    def new_request(self, kind, body, abandon_after_s, bad_part=b"",
                    limit_s=LIMIT_S):
        """Return a request with a new id."""
        self.last_number += 1
        rid = f"r{self.last_number}"
        headers = [(b"Host", b"desk"), (b"X-Crocuskeel-Request-Id",
                                        rid.encode()),
                   (b"X-Crocuskeel-Deadline-Ms",
                    b"%d" % (limit_s * 1000)),
                   (b"Authorization", b"Bearer " + KEY)]
        if kind in checks.STREAMS:
            part = self.rng.randrange(6)
            headers += [(b"X-Crocuskeel-Token-Count", b"5000,80"),
                        (b"X-Crocuskeel-Prefix-Hash",
                         b"p%d:4000,%s%s:1000" % (
                             part, bad_part and bad_part + b":200,",
                             rid.encode()))]
        return callers.Request(rid, kind, f"/{kind}/1", tuple(headers),
                               body or rid.encode(), limit_s,
                               abandon_after_s=abandon_after_s)

    async def send_to(self, ip, request, servers_of_version=0):
        """Send a request to a host and check it; return the reply."""
        number = self.fleet.ips.index(ip)
        now = self.reactor.seconds()
        sent = records.SentRequest(
            request, ip, self.fleet.start_counts[number], now,
            self.version, self._settled(),
            servers_of_version=servers_of_version)
        self.record.sent[request.rid] = sent
        sent.reply = callers.Reply(abandoned=True)
        caller = self._caller(ip)
        sent.reply = await caller.send(request)
        if (self.rejoins or self.stops) and (
                caller.port in self.front_links[ip].refused):
            sent.reply = dataclasses.replace(sent.reply, connected=False)
        sent.ended_at = self.reactor.seconds()
        sent.ended_version = self.version
        self._release_caller(ip, caller)
        take_ups.take_up(self, sent)
        stop_faults.come_again(self, sent)
        self.call_later(CHECK_DELAY_S, self._check_request, sent)
        return sent.reply

    def _caller(self, ip):
        """Return a caller for a host, an idle one if there is any."""
        idle = self.idle_callers.setdefault(ip, [])
        if idle:
            return idle.pop()
        link = self.front_links[ip]
        return callers.Caller(
            self.reactor, (self.server_ip, link.port.getHost().port))

    def _release_caller(self, ip, caller):
        if self.rng.random() < KEEP_ALIVE_SHARE:
            self.idle_callers[ip].append(caller)
        else:
            caller.close()

    def _check_request(self, sent):
        self.unfinished -= 1
        for error in checks.check_request(sent, self.record):
            runs = self.record.runs.get(sent.request.rid, [])
            self.violations.append(
                f"{sent.request.rid} ({sent.request.kind}, {sent.ip}, "
                f"{sent.at - self.began_at:.2f} s, "
                f"{sent.reply.status}): {error}; ran on {runs}; version "
                f"{sent.version} when sent, {self.version} now; faults at "
                f"these: {self.record.faults_at(sent, runs)}")

    async def resolve(self):
        """Resolve the host addresses repeatedly, as callers do, forever."""
        while True:
            ip = self.rng.choice(self.fleet.ips)
            try:
                reply = await calls.call(
                    self.reactor, (ip, fleets.PORTS["Dir"]), b"GET",
                    b"/crocuskeel/resolve?Name=desk", 0.5)
                self.known_ips = [address.partition(":")[0] for address
                                  in json.loads(reply.body)["Addrs"]]
            except (exceptions.CallFailed, ValueError):
                await self.sleep(0.1)
                continue
            await self.sleep(0.5)

    def sleep(self, span):
        """Return a Deferred that fires after ``span`` seconds."""
        done = defer.Deferred()
        self.reactor.callLater(span, done.callback, None)
        return done
