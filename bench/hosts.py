"""Entry hosts on a virtual clock, their datagrams and a store.

Only who tells whom and who reads the store is played: no callers, no
backend servers. A datagram arrives with the next step, unless one of its
ends is down or cut off.
"""

import random

from crocuskeel.core import entry
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model

__all__ = ["LIMITS", "World", "new_peer", "new_world"]

STEP_S = 0.05
TICK_STEPS = 6
# How often a host looks whether it should read the store, and how long
# one call to watch waits, steps.
ROLE_STEPS = 6
WATCH_STEPS = 35
LIMITS = model.Limits(16384, 1 << 20, 3.0, 15.0)


class World:
    """Hosts by name, with what each has open at the store.

    ``calls`` counts calls to the store, ``revision`` is that of the
    newest configuration, ``down`` and ``cut`` name hosts.
    """

    def __init__(self, rng):
        self.rng = rng
        self.now = 100.0
        self.step = 0
        self.hosts = {}
        self.phase = {}
        # Step in which a host's watch ends.
        self.watches = {}
        self.flying = []
        self.calls = 0
        self.revision = 10
        self.down = set()
        self.cut = set()

    def run(self, seconds):
        """Play some seconds."""
        for _ in range(round(seconds / STEP_S)):
            self._advance()

    def readers(self):
        """Return the names of the hosts that read the store."""
        return [name for name in self._up() if self._reads(name)]

    def behind(self):
        """Return the names of hosts without the newest configuration."""
        return [name for name in self._up()
                if self.hosts[name].catalog is None
                or self.hosts[name].catalog.revision < self.revision]

    def configure(self):
        """Write a newer configuration."""
        self.revision += 1
        for name in self._up():
            if name in self.watches:
                self._take_news(name)

    def stop(self, names):
        """Have hosts lose power."""
        self.down |= set(names)
        for name in names:
            self.watches.pop(name, None)

    def _up(self):
        return [name for name in self.hosts if name not in self.down]

    def _reads(self, name):
        return fleet.reads_store(self.hosts[name], self.now)

    def _advance(self):
        self.now += STEP_S
        self.step += 1
        arriving, self.flying = self.flying, []
        for sender, receiver, event in arriving:
            if self._passes(sender, receiver):
                self._feed(receiver, event)
        for name in self._up():
            if (self.step + self.phase[name]) % TICK_STEPS == 0:
                self._feed(name, events.Ticked())
                self._follow(name)

    def _passes(self, sender, receiver):
        if self.down & {sender, receiver}:
            return False
        return (sender in self.cut) == (receiver in self.cut)

    def _follow(self, name):
        """Have a host read the store, if it should."""
        if not self._reads(name):
            self.watches.pop(name, None)
            return
        if name not in self.watches:
            # It lists the configuration and the servers.
            self.calls += 2
            self._take(name, self.revision)
            self._feed(name, events.ServersListed((), 1))
        elif self.step < self.watches[name]:
            return
        self._watch(name)

    def _watch(self, name):
        self.calls += 2
        self.watches[name] = self.step + WATCH_STEPS

    def _take_news(self, name):
        self._take(name, self.revision)
        self._watch(name)

    def _take(self, name, revision):
        self._feed(name, events.CatalogRead(model.Catalog(
            revision, revision, {}, {}, None, LIMITS)))

    def _feed(self, name, event):
        for effect in entry.reduce(self.hosts[name], event, self.now):
            if type(effect) is effects.SendToPeer:
                self.flying.append((name, effect.peer.name, effect.event))
            elif type(effect) is effects.FetchCatalog:
                self._fetch(name, effect.peer.name)

    def _fetch(self, name, other):
        if not self._passes(name, other):
            return
        held = self.hosts[other]
        if held.catalog is not None:
            self._take(name, held.catalog.revision)
            self._feed(name, events.ServersListed((), 1, ()))


def new_world(large, small, seed=1):
    """Return a world of so many large and small hosts, just started."""
    world = World(random.Random(seed))
    peers = [new_peer(f"large-{n}", 2.0) for n in range(large)]
    peers += [new_peer(f"small-{n}", 0.5) for n in range(small)]
    for peer in peers:
        host = entry.new_host(entry.Settings(),
                              random.Random(f"{seed}:{peer.name}"))
        world.hosts[peer.name] = host
        world.phase[peer.name] = world.rng.randrange(TICK_STEPS)
        world._feed(peer.name, events.Started(peer))
        world._feed(peer.name, events.PeersListed(tuple(peers)))
    return world


def new_peer(name, capacity):
    """Return a host with so many cores."""
    return model.Peer(name, 1, "perth-a", f"{name}:80", (name, 81),
                      (name, 82), capacity)
