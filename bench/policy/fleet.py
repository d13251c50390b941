"""Entry hosts that run the real reducer, joined by a fake network.

Effects become calls on the virtual clock; this is what the runtime does
with sockets. Messages between two hosts stay in order.
"""

import dataclasses
import typing

from bench.policy import clock as clocks
from bench.policy import engine as engines
from bench.policy import load
from bench.policy import tally
from crocuskeel.core.dispatch import choice
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import factory
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import reducer
from crocuskeel.core import state as states

__all__ = ["Fleet", "Node", "arrive", "deliver", "execute", "kill",
           "new_fleet", "silence"]

NEAR_S = 0.0005
FAR_S = 0.002
STORE_S = 0.004
# The door's bound on a stream without traffic.
SILENCE_S = 2.0
REPORT_EVERY_S = 0.5
REPORT_LAG_S = 0.5
WARM_S = 3.5
CACHE_GAP = 0.2
RECONNECT_S = 0.3
PEER_DOWN_S = 3.0
LOCATE_S = 5.0
MAX_SENT_AGAIN = 6
_ENDS = {"done": events.AttemptEnd.DONE, "busy": events.AttemptEnd.BUSY,
         "refused": events.AttemptEnd.REFUSED,
         "broken": events.AttemptEnd.BROKEN}


@dataclasses.dataclass(slots=True)
class Node:
    """One entry host; ``held`` keeps the events of a paused one."""

    name: str
    domain: str
    daemon: states.Daemon
    up: bool = True
    died_at: float = 0.0
    timers: dict = dataclasses.field(default_factory=dict)
    count: int = 0
    held: list | None = None


@dataclasses.dataclass(slots=True)
class Fleet:
    """All hosts, servers and the store; ``rids`` maps to calls.

    ``tally`` may be None: then nothing is judged.
    ``intercept(node, effect)`` may carry out an effect in place of this
    module; it tells whether it did.
    """

    clock: clocks.Clock
    rng: typing.Any
    nodes: dict[str, Node]
    servers: dict[str, engines.Engine]
    tally: tally.Tally | None
    rids: dict[str, load.Call]
    objects: dict[str, tuple[int, bytes]]
    list_at: int = 1
    turn: int = 0
    intercept: typing.Callable | None = None


def new_fleet(deployment, clock, rng, servers, counts, seed):
    """Start the hosts; they find each other by their seeds."""
    seeds = tuple((f"entry-{number}", f"127.0.1.{number + 1}", 7000)
                  for number in range(deployment.hosts))
    nodes = {}
    for number, (name, address, port) in enumerate(seeds):
        domain = deployment.domains[number % len(deployment.domains)]
        me = states.Identity(deployment.name, name, domain, "region",
                             address, port, 8000, 1, seeds)
        daemon = factory.new_daemon(me, seed=seed, tree=deployment.tree)
        nodes[name] = Node(name, domain, daemon)
    fleet = Fleet(clock, rng, nodes, servers, counts, {}, {})
    for node in nodes.values():
        clocks.at(clock, 0.0, deliver, fleet, node, events.Started())
    clocks.at(clock, REPORT_EVERY_S, _reports, fleet)
    return fleet


def deliver(fleet, node, event):
    """Reduce an event on a host and carry out its effects."""
    if not node.up:
        return
    if node.held is not None:
        node.held.append(event)
        return
    out = reducer.reduce(node.daemon, event, fleet.clock.now)
    if fleet.tally is not None:
        _judge(fleet, out)
    for effect in out:
        execute(fleet, node, effect)


def _judge(fleet, out):
    tally.judge(fleet.tally, out, fleet.clock.now)
    if fleet.tally.judged:
        tally.inversions(fleet.tally, lambda name: _cells(fleet, name))


def _cells(fleet, name):
    for node in fleet.nodes.values():
        cell = node.daemon.dispatch.cells.get(name)
        if node.up and cell and cell.lost_at is None:
            yield cell, choice.most_slots(node.daemon, cell)


def execute(fleet, node, effect):
    """Carry out one effect of a host."""
    if fleet.intercept and fleet.intercept(node, effect):
        return
    match effect:
        case effects.SetTimer(key=key, after_s=after_s):
            token = node.timers[key] = object()
            clocks.at(fleet.clock, after_s, _fire, fleet, node, key, token)
        case effects.CancelTimer(key=key):
            node.timers.pop(key, None)
        case effects.Send(host=host, message=message):
            _send(fleet, node, host, message)
        case effects.Broadcast(message=message):
            for host in membership.live(node.daemon):
                if host != node.name:
                    _send(fleet, node, host, message)
        case effects.OpenAttempt():
            _open(fleet, node, effect)
        case effects.ResumeAttempt():
            _resume(fleet, node, effect)
        case effects.CancelAttempt(rid=rid, attempt=attempt):
            for server in fleet.servers.values():
                clocks.at(fleet.clock, NEAR_S, engines.cancel, server, rid,
                          attempt)
        case effects.Answer(rid=rid, problem=problem):
            _answered(fleet, rid, problem)
        case effects.ReplayFrom(rid=rid):
            gone = events.AttemptClosed(rid, 0, events.AttemptEnd.GONE)
            clocks.at(fleet.clock, FAR_S, deliver, fleet, node, gone)
        case effects.Record(kind="answered", rid=rid, fields=fields):
            _finished(fleet, rid, dict(fields))
        case effects.WantHostList():
            clocks.at(fleet.clock, STORE_S, _host_list, fleet, node)
        case _:
            _store(fleet, node, effect)


def _fire(fleet, node, key, token):
    if node.timers.get(key) is token:
        del node.timers[key]
        deliver(fleet, node, events.TimerFired(key))


def _send(fleet, node, host, message):
    target = fleet.nodes.get(host)
    if target is None:
        return
    delay = NEAR_S if target.domain == node.domain else FAR_S
    event = events.Received(
        node.name, node.daemon.me.incarnation, message,
        follower.generation(node.daemon), node.daemon.me.address)
    clocks.at(fleet.clock, delay, deliver, fleet, target, event)


# The platform.

def _store(fleet, node, effect):
    status, version, body = events.StoreStatus.NOT_FOUND, 0, b""
    match effect:
        case effects.StoreGet(path=path):
            if path in fleet.objects:
                status = events.StoreStatus.FOUND
                version, body = fleet.objects[path]
        case effects.StorePut(path=path):
            known = fleet.objects.get(path, (0, b""))[0]
            status, version = events.StoreStatus.CONFLICT, known
            if known == effect.version:
                status, version = events.StoreStatus.WRITTEN, known + 1
                fleet.objects[path] = (version, effect.body)
        case effects.StoreWatch():
            status = events.StoreStatus.UNCHANGED
        case _:
            return
    answer = events.StoreAnswered(effect.op, status, version, body)
    delay = getattr(effect, "timeout_s", STORE_S)
    clocks.at(fleet.clock, delay, deliver, fleet, node, answer)


def _host_list(fleet, node):
    hosts = tuple(membership.info(other.daemon, other.name)
                  for other in fleet.nodes.values() if other.up)
    backends = tuple(
        messages.Backend(server.name, server.service,
                         f"http://{server.name}", server.domain, "region",
                         server.kind, server.leaving)
        for server in fleet.servers.values())
    deliver(fleet, node,
            events.HostListSeen(fleet.list_at, hosts, backends))


def _reports(fleet):
    """Load and cache reports of all servers to their dispatchers."""
    clocks.at(fleet.clock, REPORT_EVERY_S, _reports, fleet)
    if fleet.tally is not None:
        _note_slots(fleet)
    for server in fleet.servers.values():
        load_seen = events.EngineLoadSeen(
            server.name, server.up, f"boot-{server.boot}",
            len(server.running), len(server.waiting), server.slots)
        cache = events.EngineCacheSeen(
            server.name, tuple(server.stored), tuple(server.removed))
        server.stored.clear()
        server.removed.clear()
        if fleet.rng.random() < CACHE_GAP:
            cache = None
        for node in fleet.nodes.values():
            cells = node.daemon.dispatch.cells.values()
            if any(cell.service == server.service for cell in cells):
                for seen in filter(None, (load_seen, cache)):
                    clocks.at(fleet.clock, REPORT_LAG_S, deliver, fleet,
                              node, seen)


def _note_slots(fleet):
    now = fleet.clock.now
    for node in fleet.nodes.values():
        for cell in node.daemon.dispatch.cells.values() if node.up else ():
            if cell.lost_at is None and now > WARM_S:
                slots = choice.slots(node.daemon, cell, now)
                least = fleet.tally.slots.get(cell.name, slots)
                fleet.tally.slots[cell.name] = min(slots, least)


# Callers.

def arrive(fleet, call):
    """Let a call come to the next entry host; dead ones are skipped."""
    # ``locate`` stops naming a dead host after a while.
    nodes = [node for node in fleet.nodes.values()
             if node.up or fleet.clock.now - node.died_at < LOCATE_S]
    fleet.turn += 1
    node = nodes[fleet.turn % len(nodes)]
    call.tries += 1
    if not node.up:
        clocks.at(fleet.clock, RECONNECT_S, arrive, fleet, call)
        return
    node.count += 1
    call.rid = f"{node.name}.1.{node.count}"
    fleet.rids[call.rid] = call
    policy = call.policy
    deliver(fleet, node, events.RequestArrived(
        call.rid, load.token_of(call.workspace), "POST", "/v1", policy.name,
        "", policy.kind == "engine", call.prompt,
        policy.max_tokens if policy.kind == "engine" else 0, call.prefix,
        call.key, call.fingerprint,
        "" if policy.repeatable else call.key, not policy.repeatable))


def _answered(fleet, rid, problem):
    call = fleet.rids.get(rid)
    if call is None or call.rid != rid or call.over:
        return
    if call.poison and call.tries < MAX_SENT_AGAIN and (
            problem.reason != "quarantined"):
        # The caller of a request that was lost sends it again.
        clocks.at(fleet.clock, RECONNECT_S, arrive, fleet, call)
        return
    call.refused_at = fleet.clock.now
    call.waited_s = max(call.waited_s, call.refused_at - call.at) if (
        not call.sources) else call.waited_s
    call.reason = str(problem.reason)
    call.outcome = str(problem.outcome)


def _finished(fleet, rid, fields):
    call = fleet.rids.get(rid)
    if call is None or call.rid != rid or call.over or fields["reason"]:
        return
    call.done_at = fleet.clock.now
    call.tokens = fields.get("tokens", 0)
    call.itl_s = fields.get("itl_s", 0.0)


# Attempts.

def _open(fleet, node, effect):
    call = fleet.rids[effect.rid]
    server = fleet.servers[effect.backend]

    def tell(kind, job):
        if not job.silent:
            clocks.at(fleet.clock, NEAR_S, _heard, fleet, node, kind, job,
                      job.tokens)

    job = engines.Job(call, effect.rid, effect.attempt, node.name,
                      effect.tier, tell, fleet.clock.now)
    call.sources[(effect.rid, effect.attempt)] = job
    call.waited_s = call.waited_s or fleet.clock.now - call.at
    clocks.at(fleet.clock, NEAR_S, engines.submit, server, job)
    clocks.at(fleet.clock, effect.first_byte_s, _no_first_byte, fleet,
              node, job)


def _no_first_byte(fleet, node, job):
    if not job.forwarded and not job.ended:
        _heard(fleet, node, "silent", job, 0)


def _heard(fleet, node, kind, job, tokens):
    if not node.up or (job.ended and job.ended != "done"):
        return
    now = fleet.clock.now
    job.forwarded = max(job.forwarded, tokens)
    ttft = max(0.0, job.first_at - job.sent_at)
    if kind == "first":
        job.forwarded = max(job.forwarded, 1)
        job.call.first_at = job.call.first_at or now
        event = events.AttemptOpened(job.rid, job.attempt, ttft)
    elif kind == "progress":
        event = events.AttemptProgress(job.rid, job.attempt, tokens)
    else:
        job.ended = kind
        itl = 0.0
        if tokens > 1:
            itl = (now - job.first_at) / (tokens - 1)
        end = _ENDS.get(kind, events.AttemptEnd.SILENT)
        event = events.AttemptClosed(
            job.rid, job.attempt, end, job.forwarded, tokens, ttft, itl)
    deliver(fleet, node, event)


def _resume(fleet, node, effect):
    server = fleet.servers[effect.backend]
    job = engines.find(server, effect.rid, effect.attempt)
    if not server.up or job is None:
        kind = (events.AttemptEnd.GONE if server.up
                else events.AttemptEnd.REFUSED)
        event = events.AttemptClosed(effect.rid, effect.attempt, kind)
        clocks.at(fleet.clock, NEAR_S, deliver, fleet, node, event)
        return
    was_done = (effect.rid, effect.attempt) in server.kept
    job.silent = False
    job.ended = ""
    if was_done:
        job.ended = "done"
        clocks.at(fleet.clock, NEAR_S, _heard, fleet, node, "done", job,
                  job.tokens)
    elif job.tokens:
        clocks.at(fleet.clock, NEAR_S, _heard, fleet, node, "first", job,
                  job.tokens)


# Faults.

def silence(fleet, host, server):
    """All open connections of a host to a server go silent for good."""
    jobs = [*server.running.values(), *server.waiting.values()]
    for job in jobs:
        if job.host == host:
            job.silent = True
            clocks.at(fleet.clock, SILENCE_S, _heard, fleet,
                      fleet.nodes[host], "silent", job, job.forwarded)


def kill(fleet, host, _calls):
    """A host dies: its callers go elsewhere, servers see it gone."""
    node = fleet.nodes[host]
    node.up = False
    node.died_at = fleet.clock.now
    for server in fleet.servers.values():
        for job in [*server.running.values(), *server.waiting.values()]:
            if job.host == host and job.call.policy.repeatable:
                engines.cancel(server, job.rid, job.attempt)
    for rid, call in list(fleet.rids.items()):
        if rid == call.rid and not call.over and (
                rid.startswith(f"{host}.")):
            clocks.at(fleet.clock, RECONNECT_S, arrive, fleet, call)
    for other in fleet.nodes.values():
        clocks.at(fleet.clock, PEER_DOWN_S, deliver, fleet, other,
                  events.PeerDown(host))
