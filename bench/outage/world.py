"""The fleet, its platform clients and callers, and what is done to them.

Each host's calls go through the real platform client and the runtime's
own translation of its results.
"""

import collections
import dataclasses
import random
import types
import typing

from bench.outage import callers
from bench.outage import pauses
from bench.outage import reactor as reactors
from bench.outage import replays
from bench.outage import store as stores
from bench.policy import clock as clocks
from bench.policy import fleet as fleets
from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core.door import ending
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import factory
from crocuskeel.core import follower
from crocuskeel import objectapi
from crocuskeel.runtime import platform_calls

__all__ = ["World", "commit", "kill", "new_world", "restart",
           "watch_hosts"]

SAMPLE_S = 0.25
LISTED_S = 6.0
PEER_UP_S = 0.1
_PLATFORM = platform_calls.handlers()
_NOT_ENTRY = {"engine": "engine", "plain": "service"}


@dataclasses.dataclass(slots=True)
class World:
    """``contexts`` are what the runtime's platform calls need, by host.

    ``shown`` is the greatest generation that a host had in force, over
    its restarts; ``backward`` counts samples below it. ``booked_at``
    holds the times of first runs of bookings by ledger slot, from
    ``since`` on. ``cut_share`` is the share of sendings of
    non-repeatable requests that lose their connection. ``ready_s``
    lists how long restarted hosts took to be ready. The others belong
    to :mod:`bench.outage.pauses`.
    """

    fleet: fleets.Fleet
    store: stores.Store
    rng: random.Random
    seed: int
    tree: typing.Any = None
    head: typing.Any = None
    contexts: dict = dataclasses.field(default_factory=dict)
    shown: dict = dataclasses.field(default_factory=dict)
    backward: int = 0
    since: float = 0.0
    booked_at: dict = dataclasses.field(default_factory=dict)
    cut_share: float = 0.0
    ready_s: list = dataclasses.field(default_factory=list)
    sleeper: str = ""
    sleep_s: float = 0.0
    slept: int = 0
    postponed: dict = dataclasses.field(default_factory=dict)


def new_world(deployment, clock, servers, seed):
    """Return a fleet that starts at 0 and reads all it has to know."""
    rng = random.Random(f"outage/{deployment.name}/{seed}")
    fleet = fleets.new_fleet(
        deployment, clock, rng, servers, None, seed)
    store = stores.new_store(
        clock, random.Random(f"store/{seed}"), lambda: _listed(fleet))
    world = World(fleet, store, rng, seed)
    world.tree = conf.empty_tree()
    commit(world, conf.document_edits(
        world.tree, conf.to_document(deployment.tree)))
    fleet.intercept = lambda node, effect: _intercept(world, node, effect)
    for node in fleet.nodes.values():
        _boot(world, node, node.daemon.me)
    return world


def _boot(world, node, identity):
    clock = world.fleet.clock
    node.daemon = factory.new_daemon(
        identity, seed=world.seed,
        wall=lambda now: callers.EPOCH_S + now)
    name = f"{identity.host}/{identity.incarnation}/{world.seed}"
    reactor = reactors.new_reactor(clock)
    client = objectapi.new_client(
        reactor, objectapi.ClientConfig("", "token"),
        stores.sender(world.store), random.Random(f"client/{name}"))
    world.contexts[node.name] = types.SimpleNamespace(
        daemon=node.daemon, platform=client, reactor=reactor,
        queue=collections.deque(), reducing=False,
        reduce=lambda _daemon, event, _now: _soon(world, node, event))


def _soon(world, node, event):
    # An answer that is there at once waits for the running event's
    # effects, as in the runtime.
    clocks.at(world.fleet.clock, 0.0, fleets.deliver, world.fleet, node,
              event)
    return ()


def _listed(fleet):
    hosts = [_entry(node) for node in fleet.nodes.values()
             if node.up or fleet.clock.now - node.died_at < LISTED_S]
    for server in fleet.servers.values():
        hosts.append({
            "name": server.name, "address": server.name, "port": 80,
            "domain": server.domain, "region": "region",
            "role": _NOT_ENTRY[server.kind], "service": server.service})
    return {"at": fleet.list_at, "hosts": hosts}


def _entry(node):
    me = node.daemon.me
    return {"name": me.host, "address": me.address, "port": me.peer_port,
            "domain": me.domain, "region": me.region, "role": "entry"}


def _intercept(world, node, effect):
    if pauses.holds(world, node, effect):
        return True
    match effect:
        case (effects.StoreGet() | effects.StorePut()
              | effects.StoreWatch() | effects.WantHostList()):
            _PLATFORM[type(effect)](world.contexts[node.name], effect)
        case effects.Answer(rid=rid, problem=problem):
            callers.answered(world, rid, problem)
        case effects.Record(kind="answered", rid=rid, fields=fields):
            callers.finished(world, rid, dict(fields))
        case effects.Replay(rid=rid, held=held):
            replays.here(world, node, rid, held)
        case effects.ReplayFrom(rid=rid, host=host, held=held):
            replays.from_peer(world, node, rid, host, held)
        case effects.OpenAttempt(rid=rid):
            _note_booking(world, node, rid)
            return False
        case _:
            return False
    return True


def _note_booking(world, node, rid):
    req = node.daemon.door.requests.get(rid)
    now = world.fleet.clock.now
    if req is None or req.repeatable or now < world.since:
        return
    slot = ending.claim_slot(node.daemon, ending.claim_key(req))
    world.booked_at.setdefault(slot, now)


# Settings.

def commit(world, edits):
    """Accept a batch, as an operator's command would."""
    batch = conf.new_batch(
        "op", 0.0, world.tree.generation, edits)
    made = storage.prepare(world.tree, world.head, batch).unwrap()
    for part in made.parts:
        stores.put(world.store, storage.part_key(part.digest), part.blob,
                   0)
    version = world.store.objects.get(storage.HEAD_KEY, (0, b""))[0]
    stores.put(world.store, storage.HEAD_KEY,
               storage.encode_head(made.head), version)
    world.tree, world.head = made.tree, made.head


def watch_hosts(world):
    """Sample each host's generation from now on."""
    clocks.at(world.fleet.clock, SAMPLE_S, watch_hosts, world)
    for node in world.fleet.nodes.values():
        number = follower.generation(node.daemon)
        if node.up and number:
            shown = world.shown.get(node.name, 0)
            world.backward += number < shown
            world.shown[node.name] = max(number, shown)


# Deaths.

def kill(world, host):
    """A host dies with all it holds."""
    fleet = world.fleet
    node = fleet.nodes[host]
    node.up = False
    node.died_at = fleet.clock.now
    _cut_streams(fleet, host)
    callers.lost_host(world, host)
    for other in fleet.nodes.values():
        clocks.at(fleet.clock, fleets.PEER_DOWN_S, fleets.deliver, fleet,
                  other, events.PeerDown(host))


def _cut_streams(fleet, host):
    for server in fleet.servers.values():
        for job in [*server.running.values(), *server.waiting.values()]:
            if job.host == host and job.call.policy.repeatable:
                fleets.engines.cancel(server, job.rid, job.attempt)


def restart(world, host):
    """The host comes back knowing nothing but its seeds."""
    fleet = world.fleet
    old = fleet.nodes[host].daemon.me
    me = dataclasses.replace(old, incarnation=old.incarnation + 1)
    node = fleets.Node(host, old.domain, None)
    _boot(world, node, me)
    fleet.nodes[host] = node
    fleets.deliver(fleet, node, events.Started())
    for other in fleet.nodes.values():
        if other is not node:
            clocks.at(fleet.clock, PEER_UP_S, pauses.connect, fleet, node,
                      other)
    _until_ready(world, node, fleet.clock.now)


def _until_ready(world, node, since):
    now = world.fleet.clock.now
    if follower.ready(node.daemon, now) and node.daemon.backends.known:
        world.ready_s.append(now - since)
    else:
        clocks.at(world.fleet.clock, PEER_UP_S, _until_ready, world, node,
                  since)
