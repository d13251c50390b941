"""Puts an entry host together on the platform."""

import json
import random
import zlib

from crocuskeel.core import entry
from crocuskeel.core.entry import model
from crocuskeel.gateway import callers
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from crocuskeel.gateway import gossip
from crocuskeel.gateway import loop
from crocuskeel.gateway import metrics
from crocuskeel.platform import duties
from crocuskeel.platform import faces
from crocuskeel.platform import following
from crocuskeel.platform import headers
from crocuskeel.platform import reloading
from crocuskeel.platform import store as stores
from twisted.internet import defer

__all__ = ["start"]

# Reading a peer's snapshot: a configuration of some hundred kilobytes, s.
SNAPSHOT_S = 1.0
BACKLOG = 512
# Where metrics are served, as the deploy file names it; below the ports
# that the platform gives out.
METRICS_PORT = 9464


def start(reactor, boot, path, log, on_exit, policy,
          statsd_address=None):
    """Listen and follow the store; return (gateway, reloader).

    ``path`` is that of the settings file, which may change; ``policy``
    says how engines are ordered; ``statsd_address`` is an (ip, port) that
    metrics go to as well.
    """
    # The generator only breaks ties and spreads retries; hosts must not
    # do so alike.
    seed = f"{boot.host}:{random.SystemRandom().getrandbits(32)}"
    rng = random.Random(seed)
    host = entry.new_host(boot.settings, rng, policy)
    counts = metrics.new_metrics(host, statsd_address)

    def note(event, fields):
        counts.note(event, fields)
        log(event, fields)

    gateway = loop.new_gateway(reactor, host, headers.new_dialect(), note)
    store = stores.new_store(reactor, boot.store)
    gateway.duties = duties.new_duties(reactor, gateway, store, boot)
    follower = following.new_follower(reactor, gateway, store)
    counts.show_unheard(follower.unheard_s)
    _listen(reactor, boot, gateway, follower, counts)
    gateway.fetch = _fetcher(reactor, gateway, follower)
    gateway.on_exit = on_exit
    gateway.start(_me(boot, rng))
    follower.start()
    _ask_seeds(boot, gateway)
    reloader = reloading.new_reloader(reactor, path, boot, gateway, store)
    reloader.start()
    return gateway, reloader


def _me(boot, rng):
    return model.Peer(
        boot.host, rng.getrandbits(32), boot.domain,
        f"{boot.front[0]}:{boot.front[1]}", boot.control, boot.gossip,
        boot.cores)


def _listen(reactor, boot, gateway, follower, counts):
    front = callers.new_listener(reactor, gateway)
    port = reactor.listenTCP(boot.front[1], front, BACKLOG, boot.front[0])
    face = faces.new_face(reactor, gateway, follower, counts)
    for ip, number in {boot.ready, boot.directory, boot.control,
                       (boot.ip, METRICS_PORT)}:
        reactor.listenTCP(number, face, BACKLOG, ip)
    gateway.gossip = gossip.Gossip(gateway)
    reactor.listenUDP(boot.gossip[1], gateway.gossip, boot.gossip[0])

    def retire():
        port.stopListening()
        front.close_idle()

    gateway.on_retire = retire


def _fetcher(reactor, gateway, follower):
    async def fetch(address, name):
        try:
            catalog = gateway.host.catalog
            known = catalog.revision if catalog else 0
            reply = await calls.call(
                reactor, address, b"GET",
                f"{faces.SNAPSHOT}?known={known}"
                f"&servers={follower.revision}".encode(), SNAPSHOT_S)
            if reply.status != 200:
                return
            follower.take_snapshot(json.loads(zlib.decompress(reply.body)))
        except (gateway_exceptions.CallFailed, ValueError, KeyError,
                zlib.error) as exc:
            gateway.log("no_snapshot", {"peer": name, "why": str(exc)})

    def begin(peer):
        defer.Deferred.fromCoroutine(fetch(peer.control, peer.name))

    begin.address = fetch
    return begin


def _ask_seeds(boot, gateway):
    """Ask other hosts at once: the store may be away at a start."""
    for seed in boot.seeds:
        if seed != boot.control:
            defer.Deferred.fromCoroutine(
                gateway.fetch.address(seed, f"{seed[0]}:{seed[1]}"))
