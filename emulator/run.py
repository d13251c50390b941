"""One simulation run of a deployment with a seed."""

import collections
import dataclasses
import functools
import random

from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core import revisions
from emulator import callers
from emulator import catalogs
from emulator import clients
from emulator import clock as clocks
from emulator import engine as engines
from emulator import faults
from emulator import hosts
from emulator import noise
from emulator import record_store
from emulator import tally as tallies

__all__ = ["World", "play", "played"]

ENGINES = catalogs.ENGINES
PLAIN = catalogs.PLAIN
# Hosts have discovered each other after this, s.
WARM_UP_S = 2.0
# Delay until hosts learn of a change to the server list, s.
SERVER_LIST_DELAY_S = 0.02
# Interval at which servers write their entries, s.
HEARTBEAT_S = 1.2
# Share of the requests of a kind that go to the hot subject.
HOT_SUBJECT_SHARE = 0.6
# Subjects follow a Zipf distribution: weight 1 / rank ** exponent.
ZIPF_EXPONENT = 0.8


class World:
    """The simulated hosts, servers and callers of a run.

    ``load_factor`` multiplies the normal request rate; ``hot_subject``
    is the subject that most requests are for, or None. ``kind_factors``
    multiply the rates of single kinds. ``workspaces`` are the names of the
    callers' workspaces, empty if they are anonymous.
    """

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = clocks.Clock()
        self.network_delay_s = deployment.way_ms / 1e3
        self.tally = tallies.Tally(self.clock.now + WARM_UP_S)
        self.load_factor = 1.0
        self.kind_factors = {kind.name: 1.0 for kind in deployment.kinds}
        self.workspaces = catalogs.workspace_names(deployment)
        # With workspaces, callers and the extra load of a hot one are drawn
        # apart from all else: runs with and without it then differ in
        # nothing but that load. Without, all draws are of ``rng``, so that
        # the figures of deployments without workspaces stay comparable.
        self.load_rng = (random.Random(f"{seed}-load") if self.workspaces
                         else self.rng)
        self.extra_rng = random.Random(f"{seed}-extra")
        self.engines_started = 0
        self.hot_subject = None
        self.last_number = 0
        self.revision = 5
        # The store: its era, whether it is down, and (time, entries) after
        # each change.
        self.era = 0
        self.store_down = False
        self.former_entries = []
        self.records = record_store.RecordStore(self, f"{seed}-records")
        self.tally.store_calls = self.records.counts
        self.servers = {}
        # The services of all servers so far.
        self.services = {}
        self.entries = {}
        self.catalog = catalogs.new_catalog(deployment)
        self.names = [f"h{number}" for number in range(deployment.hosts)]
        self.hosts = {name: hosts.EntryHost(self, name, f"{seed}-{name}")
                      for name in self.names}
        # Cuts of hosts from servers: (since, until, names of the hosts), and
        # first attempts of callers: (sent at, name of the host, served).
        self.cuts = []
        self.first_attempts = []
        # Callers of streams, and the share of streams whose callers lose the
        # connection after a few events.
        self.streams = []
        self.break_share = 0.0
        # Falls of brittle servers: (time, id); and (refusals a second that
        # one bears, how many requests may wait there), or None.
        self.falls = []
        self.brittle = None
        # Whether servers end their streams with the connection.
        self.ends_connections = False
        # The software versions of engines so far.
        self.engine_versions = ["v1"]
        # Names of the hosts that are partitioned from the others, and of those
        # that are cut off from the store.
        self.partitioned = set()
        self.without_store = set()
        # Names of the hosts that get no datagrams, and that stand still.
        self.deaf = set()
        self.standing = set()
        # Names of the hosts that callers go to for now, if any.
        self.preferred = []
        # Whether callers use any host that runs.
        self.uses_any_host = False
        # Share of the datagrams between hosts that is lost.
        self.datagram_loss = 0.0
        # By digest: the ended callers of identical requests, and when such a
        # request crashed servers.
        self.identical = collections.defaultdict(list)
        self.crash_times = collections.defaultdict(list)
        # By digest: when such requests reached servers, each with how long
        # the host that sent it had run.
        self.crashing_arrivals = collections.defaultdict(list)
        # By part: when a prompt with it crashed a server, and when such
        # prompts reached servers, each with the name of the host that sent it.
        self.part_crashes = collections.defaultdict(list)
        self.part_arrivals = collections.defaultdict(list)
        self.subject_weights = {}
        self.clients = clients.new_clients(self)
        self.known_addresses = []
        self.addresses_expire_at = 0.0

    def engines(self):
        """Return the engines that accept requests."""
        return [self.servers[sid] for sid, entry in self.entries.items()
                if entry.service == ENGINES and not entry.draining]

    def server_list(self):
        """Return the entries of all servers."""
        return tuple(self.entries.values())

    def listing(self, host):
        """Return the events of what a host that starts reads.

        Without the store it gets that from other hosts, if any has it.
        """
        revision = revisions.combine(self.era, self.revision)
        if self.records.is_available(host):
            return (events.CatalogRead(self.catalog),
                    events.ServersListed(self.server_list(), revision))
        out = (events.StoreUnavailable("refused"), )
        for other in self.hosts.values():
            if (other is not host and other.core is not None
                    and other.core.servers_loaded
                    and self.are_connected(host, other)):
                return (*out, events.CatalogRead(self.catalog),
                        events.ServersListed(
                            tuple(state.server for state
                                  in other.core.servers.values()),
                            other.core.servers_revision, ()))
        return out

    def add_engine(self, version="", speed=None):
        """Start an engine, by default of the newest version; register it.

        Without a ``speed`` it has the next one of the deployment's.
        """
        cfg = self.deployment.engines
        if speed is None:
            speeds = cfg.speeds or (1.0,)
            speed = speeds[self.engines_started % len(speeds)]
            self.engines_started += 1
        server = self._add_server(
            ENGINES, version or self.engine_versions[-1], engines.Engine, cfg,
            self.tally)
        server.speed = speed
        noise.start(server, random.Random(f"{self.seed}-noise-{server.sid}"))

    def replace(self, server):
        """Start another server in place of one that crashed."""
        if isinstance(server, engines.Engine):
            self.add_engine(server.version, server.speed)
        else:
            self.add_plain()

    def add_plain(self):
        """Start and register a server of the plain service."""
        self._add_server(PLAIN, "v1", engines.PlainServer,
                         self.deployment.plain)

    def _add_server(self, service, version, server_class, cfg, *args):
        self.last_number += 1
        sid = f"s{self.last_number:04}"
        server = server_class(self.clock, sid, cfg, *args)
        server.rng = self.rng
        server.version = version
        server.on_crash = functools.partial(self._crashed, server)
        server.on_fall = functools.partial(self._fell, server)
        server.ends_connections = self.ends_connections
        if self.brittle is not None:
            server.brittle, server.max_waiting = self.brittle
        self.servers[sid] = server
        self.services[sid] = service
        self.entries[sid] = model.Server(
            sid, service, (sid, 80), "a", cfg.slots, False, version=version)
        self._send_server_change((self.entries[sid],), ())
        return server

    def note_arrival(self, run):
        """Record that a request reaches a server."""
        if run.crashes_server:
            host = run.listener.host
            self.crashing_arrivals[run.listener.digest].append(
                (self.clock.now - self.tally.began,
                 self.clock.now - host.started_at))
        if run.bad_part:
            self.part_arrivals[run.bad_part].append(
                (self.clock.now - self.tally.began, run.listener.host.name))

    def _crashed(self, server, run):
        at = self.clock.now - self.tally.began
        if run.bad_part:
            self.part_crashes[run.bad_part].append(
                (at, run.listener.host.name))
        else:
            self.crash_times[run.listener.digest].append(at)
        faults.crash_engine(self, server)

    def _fell(self, server):
        self.falls.append((self.clock.now, server.sid))
        faults.crash_engine(self, server)

    def loses_datagram(self):
        """Draw whether a datagram between hosts is lost."""
        return (self.datagram_loss > 0
                and self.rng.random() < self.datagram_loss)

    def drain(self, sid):
        """Mark a server as draining."""
        self.entries[sid] = dataclasses.replace(
            self.entries[sid], draining=True)
        self._send_server_change((self.entries[sid],), ())

    def end_server(self, sid):
        """Stop a drained server and remove its entry."""
        if not self.servers[sid].down:
            self.servers[sid].crash()
        self.remove_server(sid)

    def remove_server(self, sid):
        """Remove a server's entry from the list."""
        if self.entries.pop(sid, None) is not None:
            self._send_server_change((), (sid,))

    def _send_server_change(self, changed, removed):
        self.former_entries.append((self.clock.now, dict(self.entries)))
        if self.store_down:
            return
        self.revision += 1
        self._broadcast(events.ServersChanged(
            changed, removed, revisions.combine(self.era, self.revision)))

    def _broadcast(self, event):
        for host in self.hosts.values():
            if host.name not in self.without_store:
                self.clock.after(
                    SERVER_LIST_DELAY_S,
                    host.receive_broadcast,
                    event)

    def stop_store(self):
        """Stop the store: hosts learn of no change."""
        self.store_down = True
        self._broadcast(events.StoreUnavailable("reset"))

    def return_store(self):
        """Bring the store back as it was."""
        self.store_down = False
        self.revision += 1
        for event in (events.StoreAvailable(),
                      events.CatalogRead(self.catalog),
                      events.ServersListed(
                          self.server_list(), revisions.combine(
                              self.era, self.revision))):
            self._broadcast(event)

    def restore_store(self, taken_at):
        """Bring the store back from a copy of an earlier time.

        Servers whose entries it lacks write them again. Entries of those
        that have ended expire.
        """
        self.store_down = False
        self.era += 1
        kept = [row for row in self.former_entries if row[0] <= taken_at]
        self.revision = 5 + len(kept)
        listed = kept[-1][1] if kept else {}
        self.records.restore(taken_at)
        self._broadcast(events.StoreAvailable())
        self._broadcast(events.StoreEraSeen(self.era))
        self._broadcast(events.CatalogRead(self.catalog))
        self._broadcast(events.ServersListed(
            tuple(listed.values()),
            revisions.combine(self.era, self.revision)))
        for sid, entry in self.entries.items():
            if listed.get(sid) != entry:
                self.clock.after(self.rng.uniform(0.0, HEARTBEAT_S),
                                 self._write_again, sid)
        self.clock.after(3 * HEARTBEAT_S, self._expire, set(listed))

    def _write_again(self, sid):
        if sid in self.entries:
            self._send_server_change((self.entries[sid],), ())

    def _expire(self, sids):
        ended = tuple(sid for sid in sids if sid not in self.entries)
        if ended:
            self._send_server_change((), ended)

    def are_connected(self, host, other):
        """Return whether a host's datagrams reach another one."""
        sides = {each.name in self.partitioned for each in (host, other)}
        return other.name not in self.deaf and len(sides) == 1

    def host_for_caller(self):
        """Return a host for a caller to use, or None if none is known."""
        if self.uses_any_host:
            running = [name for name in self.names if self.hosts[name].core
                       and name not in self.standing]
            return self.hosts[self.rng.choice(
                self.preferred or running or self.names)]
        if (self.clock.now >= self.addresses_expire_at
                or not self.known_addresses):
            asked_host = self.hosts[self.rng.choice(self.names)]
            self.known_addresses = (
                asked_host.addresses() or self.known_addresses)
            self.addresses_expire_at = self.clock.now + callers.ADDRESS_TTL_S
        if not self.known_addresses:
            return None
        return self.hosts[self.rng.choice(self.known_addresses)]

    def start(self):
        """Start servers and hosts, and run until hosts know each other."""
        for _ in range(self.deployment.engines.count):
            self.add_engine()
        for _ in range(self.deployment.plain.count):
            self.add_plain()
        for host in self.hosts.values():
            host.start()
        self.clock.run(self.clock.now + WARM_UP_S)

    def start_load(self):
        """Schedule the callers and the faults."""
        for kind in self.deployment.kinds:
            self.subject_weights[kind.name] = [
                (rank + 1) ** -ZIPF_EXPONENT for rank in range(kind.subjects)]
            self._schedule_caller(kind)
        for fault in self.deployment.faults:
            self.clock.after(fault.at, faults.FAULTS[fault.kind], self,
                             fault)

    def _schedule_caller(self, kind):
        span = self.load_rng.expovariate(self.arrival_rate(kind))
        self.clock.after(span, self._start_caller, kind)

    def _start_caller(self, kind):
        if self.clock.now >= self.tally.began + self.deployment.seconds:
            return
        self._schedule_caller(kind)
        callers.start(self, kind, self.draw_subject(kind))

    def arrival_rate(self, kind):
        """Return the present rate of new requests of a kind, a second."""
        return (kind.a_second * self.load_factor
                * self.kind_factors[kind.name])

    def draw_workspace(self):
        """Draw the workspace of a caller; empty if there are none."""
        if not self.workspaces:
            return ""
        return self.load_rng.choice(self.workspaces)

    def draw_subject(self, kind, rng=None):
        """Draw the subject of a request of a kind."""
        rng = rng or self.load_rng
        if (self.hot_subject is not None
                and rng.random() < HOT_SUBJECT_SHARE):
            return self.hot_subject
        return rng.choices(
            range(kind.subjects), self.subject_weights[kind.name])[0]


def played(deployment, seed):
    """Simulate a deployment; return its World after the end."""
    world = World(deployment, seed)
    world.start()
    world.start_load()
    longest = max(kind.limit_ms for kind in deployment.kinds) / 1e3
    world.clock.run(world.tally.began + deployment.seconds + longest)
    return world


def play(deployment, seed):
    """Simulate a deployment; return the tally's Result."""
    return played(deployment, seed).tally.result()
