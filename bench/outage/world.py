"""The simulated fleet, its platform clients and callers, and its faults.

Each host's calls go through the real platform client and the runtime's
handlers, which translate the results into events.
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
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import factory
from crocuskeel.core import follower
from crocuskeel.core.frontend import completion
from crocuskeel import objectapi
from crocuskeel.runtime import platform_calls

__all__ = ["World", "commit", "kill_host", "new_world", "restart_host",
           "sample_generations"]

SAMPLE_S = 0.25
LIST_EXPIRY_S = 6.0
PEER_UP_DELAY_S = 0.1
_PLATFORM_HANDLERS = platform_calls.handlers()
_BACKEND_ROLES = {"engine": "engine", "plain": "service"}


@dataclasses.dataclass(slots=True)
class World:
    """The state of a simulation.

    ``contexts`` holds by host what the runtime's platform calls need.
    ``max_generation`` is the greatest generation that a host had in
    force, across its restarts; ``generation_regressions`` counts samples
    below it. ``first_run_at`` maps a ledger slot to the time of its first
    run of a non-repeatable request from ``recovery_from`` on.
    ``disconnect_share`` is the share of sendings of non-repeatable
    requests that lose their connection. ``restart_ready_s`` lists how
    long restarted hosts took to be ready. The other fields belong to
    :mod:`bench.outage.pauses`.
    """

    fleet: fleets.Fleet
    store: stores.Store
    rng: random.Random
    seed: int
    tree: typing.Any = None
    head: typing.Any = None
    contexts: dict = dataclasses.field(default_factory=dict)
    max_generation: dict = dataclasses.field(default_factory=dict)
    generation_regressions: int = 0
    recovery_from: float = 0.0
    first_run_at: dict = dataclasses.field(default_factory=dict)
    disconnect_share: float = 0.0
    restart_ready_s: list = dataclasses.field(default_factory=list)
    pause_host: str = ""
    pause_s: float = 0.0
    pause_count: int = 0
    postponed_effects: dict = dataclasses.field(default_factory=dict)


def new_world(deployment, clock, servers, seed):
    """Return a fleet that starts at 0 and reads its state from the store."""
    rng = random.Random(f"outage/{deployment.name}/{seed}")
    fleet = fleets.new_fleet(
        deployment, clock, rng, servers, None, seed)
    store = stores.new_store(
        clock, random.Random(f"store/{seed}"), lambda: _host_list(fleet))
    world = World(fleet, store, rng, seed)
    world.tree = conf.empty_tree()
    commit(world, conf.document_edits(
        world.tree, conf.to_document(deployment.tree)))
    fleet.intercept = lambda node, effect: _intercept(world, node, effect)
    for node in fleet.nodes.values():
        _start_daemon(world, node, node.daemon.identity)
    return world


def _start_daemon(world, node, identity):
    clock = world.fleet.clock
    node.daemon = factory.new_daemon(
        identity, seed=world.seed,
        wall_clock=lambda now: callers.EPOCH_S + now)
    name = f"{identity.host}/{identity.incarnation}/{world.seed}"
    reactor = reactors.new_reactor(clock)
    client = objectapi.new_client(
        reactor, objectapi.ClientConfig("", "token"),
        stores.sender(world.store), random.Random(f"client/{name}"))
    world.contexts[node.name] = types.SimpleNamespace(
        daemon=node.daemon, platform=client, reactor=reactor,
        event_queue=collections.deque(), handling_event=False,
        reduce=lambda _daemon, event, _now: _deliver_later(world, node, event))


def _deliver_later(world, node, event):
    # An immediate answer is delivered after the effects of the current
    # event, as in the runtime.
    clocks.call_later(
        world.fleet.clock, 0.0, fleets.deliver, world.fleet, node, event)
    return ()


def _host_list(fleet):
    hosts = [_entry_record(node) for node in fleet.nodes.values()
             if node.up or fleet.clock.now - node.died_at < LIST_EXPIRY_S]
    for server in fleet.servers.values():
        hosts.append({
            "name": server.name, "address": server.name, "port": 80,
            "domain": server.domain, "region": "region",
            "role": _BACKEND_ROLES[server.kind], "service": server.service})
    return {"at": fleet.host_list_version, "hosts": hosts}


def _entry_record(node):
    identity = node.daemon.identity
    return {"name": identity.host, "address": identity.address,
            "port": identity.peer_port, "domain": identity.domain,
            "region": identity.region, "role": "entry"}


def _intercept(world, node, effect):
    if pauses.postpone(world, node, effect):
        return True
    match effect:
        case (effects.StoreGet() | effects.StorePut()
              | effects.StoreWatch() | effects.WantHostList()):
            _PLATFORM_HANDLERS[type(effect)](world.contexts[node.name], effect)
        case effects.Answer(rid=rid, problem=problem):
            callers.handle_error(world, rid, problem)
        case effects.Record(kind="answered", rid=rid, fields=fields):
            callers.handle_result(world, rid, dict(fields))
        case effects.Replay(rid=rid, original_rid=original_rid):
            replays.replay_local(world, node, rid, original_rid)
        case effects.ReplayFrom(rid=rid, host=host, original_rid=original_rid):
            replays.replay_from_peer(world, node, rid, host, original_rid)
        case effects.OpenAttempt(rid=rid):
            _record_first_run(world, node, rid)
            return False
        case _:
            return False
    return True


def _record_first_run(world, node, rid):
    req = node.daemon.frontend.requests.get(rid)
    now = world.fleet.clock.now
    if req is None or req.repeatable or now < world.recovery_from:
        return
    slot = completion.claim_slot(node.daemon, completion.claim_key(req))
    world.first_run_at.setdefault(slot, now)


# Settings.

def commit(world, edits):
    """Commit a batch, as an operator's command would."""
    batch = conf.new_batch(
        "op", 0.0, world.tree.generation, edits)
    change = storage.prepare(world.tree, world.head, batch).unwrap()
    for part in change.parts:
        stores.put(world.store, storage.part_key(part.digest), part.blob,
                   0)
    version = world.store.objects.get(storage.HEAD_KEY, (0, b""))[0]
    stores.put(world.store, storage.HEAD_KEY,
               storage.encode_head(change.head), version)
    world.tree, world.head = change.tree, change.head


def sample_generations(world):
    """Sample each host's settings generation from now on."""
    clocks.call_later(world.fleet.clock, SAMPLE_S, sample_generations, world)
    for node in world.fleet.nodes.values():
        number = follower.generation(node.daemon)
        if node.up and number:
            max_generation = world.max_generation.get(node.name, 0)
            world.generation_regressions += number < max_generation
            world.max_generation[node.name] = max(number, max_generation)


# Crashes and restarts.

def kill_host(world, host):
    """Kill a host; all its state is lost."""
    fleet = world.fleet
    node = fleet.nodes[host]
    node.up = False
    node.died_at = fleet.clock.now
    _cancel_streams(fleet, host)
    callers.reconnect_callers(world, host)
    for other in fleet.nodes.values():
        clocks.call_later(
            fleet.clock, fleets.PEER_DOWN_S, fleets.deliver, fleet, other,
            events.PeerDown(host))


def _cancel_streams(fleet, host):
    for server in fleet.servers.values():
        for job in [*server.running.values(), *server.waiting.values()]:
            if job.host == host and job.call.policy.repeatable:
                fleets.engines.cancel(server, job.rid, job.attempt)


def restart_host(world, host):
    """Restart a host without any state but its seeds."""
    fleet = world.fleet
    old = fleet.nodes[host].daemon.identity
    identity = dataclasses.replace(old, incarnation=old.incarnation + 1)
    node = fleets.Node(host, old.domain, None)
    _start_daemon(world, node, identity)
    fleet.nodes[host] = node
    fleets.deliver(fleet, node, events.Started())
    for other in fleet.nodes.values():
        if other is not node:
            clocks.call_later(
                fleet.clock, PEER_UP_DELAY_S, pauses.connect, fleet, node,
                other)
    _poll_ready(world, node, fleet.clock.now)


def _poll_ready(world, node, started_at):
    now = world.fleet.clock.now
    if follower.ready(node.daemon, now) and node.daemon.backends.by_name:
        world.restart_ready_s.append(now - started_at)
    else:
        clocks.call_later(
            world.fleet.clock, PEER_UP_DELAY_S, _poll_ready, world, node,
            started_at)
