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


def _revision(text):
    """Return the revision that a host says it has; 0 if it says none."""
    return int(text) if text and text.isdigit() else 0


def new_face(reactor, gateway, follower, metrics):
    """Return a factory for all ports but the callers'."""
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
        found = follower.snapshot(_revision(known.get("known")),
                                  _revision(known.get("servers")))
        if found is None:
            return 503, b""
        # Hosts with narrow links fetch this: configurations shrink to a
        # tenth.
        return 200, zlib.compress(json.dumps(found).encode(), 1)

    return callers.new_listener(reactor, _Face(gateway, {
        READY: ready, RESOLVE: resolve, SNAPSHOT: snapshot,
        METRICS: lambda exchange: (200, metrics.text())}))
