"""Clients: what keeps addresses of hosts and connections for its callers."""

import dataclasses
import random

from emulator import stops

__all__ = ["Client", "Connection", "new_clients"]

TTL_S = 1.0
# Some keep an address for so many times to live.
LONG_TTLS = 3.0
LONG_SHARE = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """A connection to a host, which ``is_closing`` after this answer."""

    host: object
    boot: int
    is_closing: bool = False

    def is_open(self):
        """Return whether the host still holds this connection open."""
        return (self.host.boot == self.boot and not self.is_closing
                and stops.accepts(self.host))

    def head_arrived(self):
        """Note the head of an answer, which says if it is the last one."""
        self.is_closing = (
            self.is_closing or stops.ends_keep_alive(self.host))


@dataclasses.dataclass(slots=True)
class Client:
    """Keeps addresses for ``ttl_s``, None for good, and connections.

    ``keeps_connections`` tells whether a connection that is idle is used for
    the next caller.
    """

    world: object
    rng: random.Random
    ttl_s: float | None
    keeps_connections: bool
    addresses: list = dataclasses.field(default_factory=list)
    asked_at: float = 0.0
    idle: list = dataclasses.field(default_factory=list)

    def connect(self):
        """Return a Connection to use, or None if no host accepts one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open():
                return connection
        self._resolve()
        if not self.addresses:
            return None
        host = self.world.hosts[self.rng.choice(self.addresses)]
        return Connection(host, host.boot) if stops.accepts(host) else None

    def release(self, connection):
        """Keep a connection whose answer has ended, if it stays open."""
        if self.keeps_connections and connection.is_open():
            self.idle.append(connection)

    def _resolve(self):
        now = self.world.clock.now
        if self.addresses and (
                self.ttl_s is None or now < self.asked_at + self.ttl_s):
            return
        asked_host = self.world.hosts[self.rng.choice(self.world.names)]
        self.addresses = asked_host.addresses() or self.addresses
        self.asked_at = now


def new_clients(world):
    """Return the clients of a deployment; none if callers share addresses."""
    rng = random.Random(f"{world.seed}-clients")
    deployment = world.deployment
    found = []
    for _ in range(deployment.clients):
        ttl_s = TTL_S
        if rng.random() < deployment.keeps_addresses:
            ttl_s = None
        elif rng.random() < LONG_SHARE:
            ttl_s = LONG_TTLS * TTL_S
        found.append(Client(
            world, rng, ttl_s, rng.random() < deployment.keeps_connections))
    return found
