"""Entry hosts on a virtual clock, their datagrams and a store.

Only gossip between hosts and reads of the store are simulated, without
callers or backend servers. A datagram arrives in the next step, unless one
of its ends is down or cut off.
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
# How often a host checks whether it should read the store, and the wait
# time of one watch call, steps.
ROLE_STEPS = 6
WATCH_STEPS = 35
LIMITS = model.Limits(16384, 1 << 20, 3.0, 15.0)


class World:
    """Hosts by name, with the watch that each has open at the store.

    ``calls`` counts calls to the store, ``revision`` is that of the
    newest configuration, ``down`` and ``cut`` name hosts.
    """

    def __init__(self, rng):
        self.rng = rng
        self.now = 100.0
        self.step = 0
        self.hosts = {}
        self.tick_offsets = {}
        # Step in which the watch of a host ends.
        self.watches = {}
        self.in_transit = []
        self.calls = 0
        self.revision = 10
        self.down = set()
        self.cut = set()

    def run(self, seconds):
        """Simulate some seconds."""
        for _ in range(round(seconds / STEP_S)):
            self._advance()

    def readers(self):
        """Return the names of the hosts that read the store."""
        return [name for name in self._running_names() if self._reads(name)]

    def behind(self):
        """Return the names of hosts without the newest configuration."""
        return [name for name in self._running_names()
                if self.hosts[name].catalog is None
                or self.hosts[name].catalog.revision < self.revision]

    def configure(self):
        """Write a newer configuration."""
        self.revision += 1
        for name in self._running_names():
            if name in self.watches:
                self._receive_change(name)

    def stop(self, names):
        """Stop hosts without notice, as by a power loss."""
        self.down |= set(names)
        for name in names:
            self.watches.pop(name, None)

    def _running_names(self):
        return [name for name in self.hosts if name not in self.down]

    def _reads(self, name):
        return fleet.reads_store(self.hosts[name], self.now)

    def _advance(self):
        self.now += STEP_S
        self.step += 1
        due, self.in_transit = self.in_transit, []
        for sender, receiver, event in due:
            if self._is_delivered(sender, receiver):
                self._feed(receiver, event)
        for name in self._running_names():
            if (self.step + self.tick_offsets[name]) % TICK_STEPS == 0:
                self._feed(name, events.Ticked())
                self._read_store(name)

    def _is_delivered(self, sender, receiver):
        if self.down & {sender, receiver}:
            return False
        return (sender in self.cut) == (receiver in self.cut)

    def _read_store(self, name):
        """Read the store for a host that should read it."""
        if not self._reads(name):
            self.watches.pop(name, None)
            return
        if name not in self.watches:
            # Two calls: list the configuration and the servers.
            self.calls += 2
            self._apply_catalog(name, self.revision)
            self._feed(name, events.ServersListed((), 1))
        elif self.step < self.watches[name]:
            return
        self._watch(name)

    def _watch(self, name):
        self.calls += 2
        self.watches[name] = self.step + WATCH_STEPS

    def _receive_change(self, name):
        self._apply_catalog(name, self.revision)
        self._watch(name)

    def _apply_catalog(self, name, revision):
        self._feed(name, events.CatalogRead(model.Catalog(
            revision, revision, {}, {}, None, LIMITS)))

    def _feed(self, name, event):
        for effect in entry.reduce(self.hosts[name], event, self.now):
            if type(effect) is effects.SendToPeer:
                self.in_transit.append((name, effect.peer.name, effect.event))
            elif type(effect) is effects.FetchCatalog:
                self._fetch(name, effect.peer.name)

    def _fetch(self, name, other):
        if not self._is_delivered(name, other):
            return
        source = self.hosts[other]
        if source.catalog is not None:
            self._apply_catalog(name, source.catalog.revision)
            self._feed(name, events.ServersListed((), 1, ()))


def new_world(large, small, seed=1):
    """Return a World of large and small hosts that have just started."""
    world = World(random.Random(seed))
    peers = [new_peer(f"large-{n}", 2.0) for n in range(large)]
    peers += [new_peer(f"small-{n}", 0.5) for n in range(small)]
    for peer in peers:
        host = entry.new_host(entry.Settings(),
                              random.Random(f"{seed}:{peer.name}"))
        world.hosts[peer.name] = host
        world.tick_offsets[peer.name] = world.rng.randrange(TICK_STEPS)
        world._feed(peer.name, events.Started(peer))
        world._feed(peer.name, events.PeersListed(tuple(peers)))
    return world


def new_peer(name, capacity):
    """Return the Peer record of a host with so many cores."""
    return model.Peer(name, 1, "perth-a", f"{name}:80", (name, 81),
                      (name, 82), capacity)
