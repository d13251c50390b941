"""HTTP endpoints for the platform and other hosts: readiness, the addresses
for callers, snapshots of a host's state, and metrics."""

import dataclasses
import json
import urllib.parse
import zlib

from crocuskeel.core import revisions
from crocuskeel.gateway import callers
from crocuskeel.gateway import loop

__all__ = ["new_endpoints", "snapshot_target"]

READY_PATH = "/crocuskeel/ready"
RESOLVE_PATH = "/crocuskeel/resolve"
SNAPSHOT_PATH = "/snapshot"
METRICS_PATH = "/metrics"
JSON_HEADERS = [(b"Content-Type", b"application/json")]
# Requests to these endpoints have no bodies.
LIMITS = dataclasses.replace(loop.DEFAULT_LIMITS, body_bytes=1 << 10)
# Revisions fit 64 bits.
MAX_REVISION_DIGITS = 19
# Snapshots that are cached until the state changes; most hosts request the
# same one.
MAX_CACHED_SNAPSHOTS = 16


class _EndpointHandler:
    """Answers requests by path."""

    def __init__(self, gateway, handlers):
        self.gateway = gateway
        self.handlers = handlers

    def limits(self):
        """Return the limits on requests."""
        return LIMITS

    def request_received(self, exchange):
        """Answer a request."""
        path = exchange.head.target.decode("latin-1").partition("?")[0]
        answer = self.handlers.get(path)
        if answer is None:
            exchange.answer(404, [], b"")
            return
        status, body = answer(exchange)
        headers = JSON_HEADERS if body.startswith(b"{") else []
        exchange.answer(status, headers, body)

    def caller_disconnected(self, exchange):
        """The client disconnected; no state is kept for it."""

    def request_rejected(self, status, why):
        """Log a request that could not be parsed."""
        self.gateway.log("unreadable", {"status": status, "why": why})


class _SnapshotCache:
    """Serializes snapshots once for all hosts that request the same one.

    When a fleet starts, all hosts request a snapshot from the few hosts that
    have one. Serializing 3,000 servers takes 25 ms: without the cache, 90
    hosts would wait 2 s, exceed their timeout of 1 s, and ask again.
    """

    def __init__(self, watcher):
        self.watcher = watcher
        self.state = None
        self.bodies = {}

    def answer(self, *known):
        """Return (status, body) for a host that has these versions.

        ``known`` are the arguments of the watcher's ``snapshot``.
        """
        state = self.watcher.state()
        if state != self.state or len(self.bodies) >= MAX_CACHED_SNAPSHOTS:
            self.state = state
            self.bodies = {}
        if known not in self.bodies:
            snapshot_data = self.watcher.snapshot(*known)
            if snapshot_data is None:
                return 503, b""
            # Some hosts have narrow links; compression reduces configurations
            # to a tenth.
            body = zlib.compress(json.dumps(snapshot_data).encode(), 1)
            if snapshot_data["lapsing"]:
                # Their remaining time differs for each request.
                return 200, body
            self.bodies[known] = body
        return 200, self.bodies[known]


def snapshot_target(catalog, servers_revision):
    """Return the target of a request for what is newer at another host.

    Hosts of the former version ignore the last two parameters.
    """
    known = catalog.revision if catalog else 0
    version = catalog.version if catalog else 0
    return (f"{SNAPSHOT_PATH}?known={known}"
            f"&servers={revisions.number(servers_revision)}"
            f"&version={version}&at={servers_revision}").encode()


def _parse_revision(text):
    """Return the revision that a host sent; 0 if it sent none."""
    is_number = (text and text.isascii() and text.isdigit()
                 and len(text) <= MAX_REVISION_DIGITS)
    return int(text) if is_number else 0


def new_endpoints(reactor, gateway, watcher, metrics):
    """Return the listener of all ports but the one for callers."""
    cache = _SnapshotCache(watcher)

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
        parameters = dict(urllib.parse.parse_qsl(query))
        if "version" in parameters:
            return cache.answer(_parse_revision(parameters["version"]),
                                _parse_revision(parameters.get("at")))
        return cache.answer(_parse_revision(parameters.get("known")),
                            _parse_revision(parameters.get("servers")), True)

    return callers.new_listener(reactor, _EndpointHandler(gateway, {
        READY_PATH: ready, RESOLVE_PATH: resolve, SNAPSHOT_PATH: snapshot,
        METRICS_PATH: lambda exchange: (200, metrics.text())}),
        gateway.memory)
