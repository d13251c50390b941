"""One run: a deployment, a seed, and what came of it."""

import dataclasses
import random

from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from emulator import callers
from emulator import clock as clocks
from emulator import engine as engines
from emulator import faults
from emulator import hosts
from emulator import tally as tallies

__all__ = ["World", "play", "played"]

ENGINES = "engines"
PLAIN = "plain"
# Hosts know each other after this, s.
SETTLES_S = 2.0
# A change of the list of servers is known to hosts after this, s.
LISTED_S = 0.02
# Of requests of a kind this share goes to a hot subject.
HOT_SHARE = 0.6
# Subjects are drawn by 1 / place to this power.
SKEW = 0.8


class World:
    """All that takes part in a run.

    ``pace`` is how many times the usual load callers bring, ``hot`` the
    subject that most of them ask for, or None.
    """

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.clock = clocks.Clock()
        self.way_s = deployment.way_ms / 1e3
        self.tally = tallies.Tally(self.clock.now + SETTLES_S)
        self.pace = 1.0
        self.hot = None
        self.numbered = 0
        self.revision = 5
        self.servers = {}
        self.entries = {}
        self.catalog = _catalog(deployment)
        self.names = [f"h{number}" for number in range(deployment.hosts)]
        self.hosts = {name: hosts.EntryHost(self, name, f"{seed}-{name}")
                      for name in self.names}
        # Hosts that are cut off from the others.
        self.parted = set()
        self.weights = {}
        self.told = []
        self.told_until = 0.0

    def engines(self):
        """Return the engines that callers' requests may go to."""
        return [self.servers[sid] for sid, entry in self.entries.items()
                if entry.service == ENGINES and not entry.draining]

    def listed(self):
        """Return the entries of all servers."""
        return tuple(self.entries.values())

    def add_engine(self):
        """Start an engine, and have hosts know of it."""
        self._add(ENGINES, engines.Engine, self.deployment.engines,
                  self.tally)

    def add_plain(self):
        """Start a server of the plain service."""
        self._add(PLAIN, engines.PlainServer, self.deployment.plain)

    def _add(self, service, make, cfg, *args):
        self.numbered += 1
        sid = f"s{self.numbered:04}"
        self.servers[sid] = make(self.clock, sid, cfg, *args)
        self.entries[sid] = model.Server(
            sid, service, (sid, 80), "a", cfg.slots, False)
        self._change((self.entries[sid],), ())

    def drain(self, sid):
        """Have a server say that it leaves."""
        self.entries[sid] = dataclasses.replace(
            self.entries[sid], draining=True)
        self._change((self.entries[sid],), ())

    def end(self, sid):
        """End a server that left."""
        if not self.servers[sid].down:
            self.servers[sid].crash()
        self.remove(sid)

    def remove(self, sid):
        """Take a server off the list."""
        if self.entries.pop(sid, None) is not None:
            self._change((), (sid,))

    def _change(self, changed, removed):
        self.revision += 1
        event = events.ServersChanged(changed, removed, self.revision)
        for host in self.hosts.values():
            self.clock.after(LISTED_S, host.hear_host, event)

    def hear_each_other(self, host, other):
        """Say whether what one of two hosts tells reaches the other."""
        return (host.name in self.parted) == (other.name in self.parted)

    def host_for_caller(self):
        """Return the host that a caller asks, None if it knows none."""
        if self.clock.now >= self.told_until or not self.told:
            asked = self.hosts[self.rng.choice(self.names)]
            self.told = asked.addresses() or self.told
            self.told_until = self.clock.now + callers.TOLD_S
        if not self.told:
            return None
        return self.hosts[self.rng.choice(self.told)]

    def begin(self):
        """Start servers and hosts, and let hosts hear each other."""
        for _ in range(self.deployment.engines.count):
            self.add_engine()
        for _ in range(self.deployment.plain.count):
            self.add_plain()
        for host in self.hosts.values():
            host.start()
        self.clock.run(self.clock.now + SETTLES_S)

    def load(self):
        """Have callers come, and troubles."""
        for kind in self.deployment.kinds:
            self.weights[kind.name] = [
                (place + 1) ** -SKEW for place in range(kind.subjects)]
            self._next(kind)
        for fault in self.deployment.faults:
            self.clock.after(fault.at, faults.FAULTS[fault.kind], self,
                             fault)

    def _next(self, kind):
        span = self.rng.expovariate(kind.a_second * self.pace)
        self.clock.after(span, self._come, kind)

    def _come(self, kind):
        if self.clock.now >= self.tally.began + self.deployment.seconds:
            return
        self._next(kind)
        self.numbered += 1
        caller = callers.Caller(
            self, f"r{self.numbered}", kind, self._subject(kind),
            self.clock.now)
        self.clock.after(kind.limit_ms / 1e3, caller.give_up)
        caller.ask()

    def _subject(self, kind):
        if self.hot is not None and self.rng.random() < HOT_SHARE:
            return self.hot
        return self.rng.choices(
            range(kind.subjects), self.weights[kind.name])[0]


def _catalog(deployment):
    routes = [_route(kind) for kind in deployment.kinds]
    cfg = deployment.engines
    services = {
        ENGINES: model.Service(ENGINES, 0, model.EngineSpec(
            cfg.slots, cfg.memory, cfg.fetch_token_us / 1e6)),
        PLAIN: model.Service(PLAIN, 0, None)}
    return model.Catalog(1, 1, {callers.HOST: routes}, services, None,
                         model.Limits(16384, 1 << 20, 3.0, 15.0))


def _route(kind):
    stream = kind.kind == "stream"
    return model.Route(
        kind.name, callers.HOST, f"/{kind.name}/", model.Kind(kind.kind),
        ((ENGINES if stream else PLAIN, 1),), kind.limit_ms / 1e3,
        kind.goal_ms / 1e3, 2, kind.priority, True, stream,
        kind.gap_ms / 1e3)


def played(deployment, seed):
    """Play a deployment; return its World after the end."""
    world = World(deployment, seed)
    world.begin()
    world.load()
    longest = max(kind.limit_ms for kind in deployment.kinds) / 1e3
    world.clock.run(world.tally.began + deployment.seconds + longest)
    return world


def play(deployment, seed):
    """Play a deployment; return the tally's Result."""
    return played(deployment, seed).tally.result()
