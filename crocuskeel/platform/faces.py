"""The platform's small interfaces of a host: ready, where to connect, and
what this host knows, for other hosts."""

import json
import urllib.parse
import zlib

from crocuskeel.gateway import callers
from crocuskeel.gateway import loop

__all__ = ["new_face"]

READY = "/crocuskeel/ready"
RESOLVE = "/crocuskeel/resolve"
SNAPSHOT = "/snapshot"
METRICS = "/metrics"
JSON = [(b"Content-Type", b"application/json")]
# Different answers that are kept until something changes; most hosts ask
# for the same.
KEPT_MOST = 16


class _Face:
    """Answers whole requests at once, from a table of paths."""

    def __init__(self, gateway, table):
        self.gateway = gateway
        self.table = table

    def limits(self):
        """Return the limits on what callers send."""
        return loop.DEFAULT_LIMITS

    def arrived(self, exchange):
        """Answer a request."""
        path = exchange.head.target.decode("latin-1").partition("?")[0]
        answer = self.table.get(path)
        if answer is None:
            exchange.answer(404, [], b"")
            return
        status, body = answer(exchange)
        headers = JSON if body.startswith(b"{") else []
        exchange.answer(status, headers, body)

    def left(self, exchange):
        """The caller is gone; nothing is held for it."""

    def refused(self, status, why):
        """A request could not be read."""
        self.gateway.log("unreadable", {"status": status, "why": why})


class _Snapshots:
    """Answers with what a host lacks, written once for all that ask alike.

    When a fleet starts, each host asks one of the few that have the list
    at once: 3,000 servers take 25 ms to write, and 90 hosts that ask the
    same one would wait 2 s, run into their time limit of 1 s, and ask again.
    """

    def __init__(self, follower):
        self.follower = follower
        self.state = None
        self.bodies = {}

    def answer(self, config_revision, servers_revision):
        """Return (status, body) for a host with these revisions."""
        state = self.follower.state()
        if state != self.state or len(self.bodies) >= KEPT_MOST:
            self.state = state
            self.bodies = {}
        asked = config_revision, servers_revision
        if asked not in self.bodies:
            found = self.follower.snapshot(*asked)
            if found is None:
                return 503, b""
            # Hosts with narrow links fetch this: configurations shrink to
            # a tenth.
            body = zlib.compress(json.dumps(found).encode(), 1)
            if found["lapsing"]:
                # For how long these are kept differs at each moment.
                return 200, body
            self.bodies[asked] = body
        return 200, self.bodies[asked]


def _revision(text):
    """Return the revision that a host says it has; 0 if it says none."""
    return int(text) if text and text.isdigit() else 0


def new_face(reactor, gateway, follower, metrics):
    """Return a factory for all ports but the callers'."""
    kept = _Snapshots(follower)

    def ready(exchange):
        return (200 if gateway.is_ready() else 503), b""

    def resolve(exchange):
        addresses = gateway.addresses()
        if not addresses:
            return 503, b""
        ttl = max(1, int(gateway.host.cfg.address_ttl_s))
        return 200, json.dumps(
            {"Addrs": addresses, "TtlS": ttl}).encode()

    def snapshot(exchange):
        query = exchange.head.target.decode("latin-1").partition("?")[2]
        known = dict(urllib.parse.parse_qsl(query))
        return kept.answer(_revision(known.get("known")),
                           _revision(known.get("servers")))

    return callers.new_listener(reactor, _Face(gateway, {
        READY: ready, RESOLVE: resolve, SNAPSHOT: snapshot,
        METRICS: lambda exchange: (200, metrics.text())}))
