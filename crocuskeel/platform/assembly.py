"""Builds and starts an entry host on the platform."""

import functools
import random

from crocuskeel.core import entry
from crocuskeel.core.entry import model
from crocuskeel.core.scheduling import settings as scheduling_settings
from crocuskeel import decoding
from crocuskeel.gateway import callers
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from crocuskeel.gateway import gossip
from crocuskeel.gateway import loop
from crocuskeel.gateway import metrics
from crocuskeel.gateway import sockets
from crocuskeel.platform import duties
from crocuskeel.platform import endpoints
from crocuskeel.platform import headers
from crocuskeel.platform import reloading
from crocuskeel.platform import snapshots
from crocuskeel.platform import store as stores
from crocuskeel.platform import store_watcher
from crocuskeel.platform import stream_records
from twisted.internet import defer

__all__ = ["start"]

# Time limit for fetching a peer's snapshot, s: it holds a configuration of
# some hundred kilobytes.
SNAPSHOT_TIMEOUT_S = 1.0
LISTEN_BACKLOG = 512
# Port on which metrics are served; the deploy file names it too. It lies below
# the port range that the platform assigns.
METRICS_PORT = 9464


def start(reactor, boot, path, log, on_exit, policy,
          statsd_address=None, scheduling=scheduling_settings.Settings()):
    """Listen and watch the store; return (gateway, reloader).

    ``path`` is the path of the settings file, which may change; ``policy``
    is the capacity policy; ``statsd_address`` is an (ip, port) that also
    receives metrics; ``scheduling`` are the operator's settings of
    scheduling.
    """
    # Random numbers only break ties and spread retries, so each host needs
    # a different seed.
    seed = f"{boot.host}:{random.SystemRandom().getrandbits(32)}"
    rng = random.Random(seed)
    host = entry.new_host(boot.settings, rng, policy, scheduling)
    host_metrics = metrics.new_metrics(host, statsd_address)

    def log_and_count(event, fields):
        host_metrics.count(event, fields)
        log(event, fields)

    gateway = loop.new_gateway(
        reactor, host, headers.new_header_codec(), log_and_count)
    gateway.memory.limit = boot.memory_mb << 20
    host_metrics.register_memory(gateway.memory)
    store = stores.new_store(reactor, boot.store)
    gateway.duty_executor = duties.new_duty_executor(
        reactor, gateway, store, boot)
    gateway.record_executor = stream_records.new_record_executor(
        reactor, gateway, store)
    watcher = store_watcher.new_watcher(reactor, gateway, store)
    host_metrics.register_last_answer_age(watcher.last_answer_age_s)
    _listen(reactor, boot, gateway, watcher, host_metrics)
    gateway.fetch_snapshot = _new_snapshot_fetcher(reactor, gateway, watcher)
    gateway.on_exit = on_exit
    gateway.start(_own_peer(boot, rng))
    watcher.start()
    _ask_seeds(boot, gateway)
    reloader = reloading.new_reloader(reactor, path, boot, gateway, store)
    reloader.start()
    return gateway, reloader


def _own_peer(boot, rng):
    return model.Peer(
        boot.host, rng.getrandbits(32), boot.domain,
        f"{boot.front[0]}:{boot.front[1]}", boot.control, boot.gossip,
        boot.cores)


def _listen(reactor, boot, gateway, watcher, host_metrics):
    caller_listener = callers.new_listener(
        reactor, gateway, gateway.memory)
    port = reactor.listenTCP(boot.front[1], caller_listener, LISTEN_BACKLOG,
                             boot.front[0])
    endpoint_listener = endpoints.new_endpoints(
        reactor, gateway, watcher, host_metrics)
    for ip, number in {boot.ready, boot.directory, boot.control,
                       (boot.ip, METRICS_PORT)}:
        reactor.listenTCP(number, endpoint_listener, LISTEN_BACKLOG, ip)
    _listen_to_hosts(reactor, boot.gossip, gateway)

    gateway.listener = caller_listener
    gateway.on_stop_accepting = functools.partial(_stop_accepting, port)
    gateway.accept_waiting = functools.partial(_accept_waiting, port)


def _listen_to_hosts(reactor, address, gateway):
    """Receive datagrams of other hosts, up to the largest that they send."""
    ip, number = address
    gateway.gossip = gossip.Gossip(gateway)
    reactor.listenUDP(number, gateway.gossip, ip, gossip.MAX_DATAGRAM_BYTES)


def _stop_accepting(port):
    """Accept what has connected so far, and stop listening."""
    sockets.drop_new(port.socket)
    _accept_waiting(port)
    port.stopListening()


def _accept_waiting(port):
    """Accept the connections of callers that wait for it."""
    if port.connected:
        port.numberAccepts = LISTEN_BACKLOG + 1
        port.doRead()


def _new_snapshot_fetcher(reactor, gateway, watcher):
    async def fetch(address, name):
        try:
            reply = await calls.call(
                reactor, address, b"GET", endpoints.snapshot_target(
                    gateway.host.catalog, watcher.revision),
                SNAPSHOT_TIMEOUT_S, max_bytes=snapshots.MAX_BYTES)
            if reply.status != 200:
                return
            watcher.apply_snapshot(snapshots.decode(reply.body))
        except (gateway_exceptions.CallFailed,
                *decoding.DECODING_ERRORS) as exc:
            gateway.log("no_snapshot", {"peer": name, "why": str(exc)})

    def begin(peer):
        defer.Deferred.fromCoroutine(fetch(peer.control, peer.name))

    begin.address = fetch
    return begin


def _ask_seeds(boot, gateway):
    """Fetch snapshots from the seeds, as the store may be unreachable."""
    if boot.unusable_seeds:
        gateway.log("bad_seeds", {"seeds": boot.unusable_seeds})
    for seed in boot.seeds:
        if seed != boot.control:
            defer.Deferred.fromCoroutine(
                gateway.fetch_snapshot.address(seed, f"{seed[0]}:{seed[1]}"))
