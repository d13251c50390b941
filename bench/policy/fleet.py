"""Entry hosts that run the real reducer over a simulated network.

Effects become calls on the virtual clock, in place of the runtime's
sockets. Messages between two hosts arrive in order.
"""

import dataclasses
import typing

from bench.policy import clock as clocks
from bench.policy import engine as engines
from bench.policy import load
from bench.policy import tally
from crocuskeel.core.dispatch import engine_selection
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import factory
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import reducer
from crocuskeel.core import state as states

__all__ = ["Fleet", "Node", "arrive", "deliver", "execute", "kill_host",
           "new_fleet", "silence_connections"]

INTRA_DOMAIN_S = 0.0005
INTER_DOMAIN_S = 0.002
STORE_LATENCY_S = 0.004
IDLE_TIMEOUT_S = 2.0  # the entry daemon's, for a stream without traffic
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.5
WARMUP_S = 3.5
CACHE_REPORT_LOSS_SHARE = 0.2
RECONNECT_S = 0.3
PEER_DOWN_S = 3.0
LOCATE_LAG_S = 5.0
MAX_RESENDS = 6
_ATTEMPT_ENDS = {
    "done": events.AttemptEnd.DONE, "busy": events.AttemptEnd.BUSY,
    "refused": events.AttemptEnd.REFUSED,
    "broken": events.AttemptEnd.CONNECTION_LOST}


@dataclasses.dataclass(slots=True)
class Node:
    """One entry host; ``held_events`` queues events while it is paused."""

    name: str
    domain: str
    daemon: states.Daemon
    up: bool = True
    died_at: float = 0.0
    timers: dict = dataclasses.field(default_factory=dict)
    request_count: int = 0
    held_events: list | None = None


@dataclasses.dataclass(slots=True)
class Fleet:
    """All hosts, servers and the store.

    With ``tally`` None nothing is counted. ``intercept(node, effect)`` may
    execute an effect in place of this module; it returns whether it did.
    """

    clock: clocks.Clock
    rng: typing.Any
    nodes: dict[str, Node]
    servers: dict[str, engines.Engine]
    tally: tally.Tally | None
    calls_by_rid: dict[str, load.Call]
    objects: dict[str, tuple[int, bytes]]
    host_list_version: int = 1
    next_node: int = 0
    intercept: typing.Callable | None = None


def new_fleet(deployment, clock, rng, servers, counts, seed):
    """Start the hosts; they discover each other through their seeds."""
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
        clocks.call_later(clock, 0.0, deliver, fleet, node, events.Started())
    clocks.call_later(clock, REPORT_INTERVAL_S, _send_reports, fleet)
    return fleet


def deliver(fleet, node, event):
    """Reduce an event on a host and execute the resulting effects."""
    if not node.up:
        return
    if node.held_events is not None:
        node.held_events.append(event)
        return
    out = reducer.reduce(node.daemon, event, fleet.clock.now)
    if fleet.tally is not None:
        _record(fleet, out)
    for effect in out:
        execute(fleet, node, effect)


def _record(fleet, out):
    tally.record_effects(fleet.tally, out, fleet.clock.now)
    if fleet.tally.shed_calls:
        tally.count_inversions(fleet.tally, lambda name: _cells(fleet, name))


def _cells(fleet, name):
    for node in fleet.nodes.values():
        cell = node.daemon.dispatch.cells.get(name)
        if node.up and cell and cell.ownership_lost_at is None:
            yield cell, engine_selection.max_slots(node.daemon, cell)


def execute(fleet, node, effect):
    """Execute one effect of a host."""
    if fleet.intercept and fleet.intercept(node, effect):
        return
    match effect:
        case effects.SetTimer(key=key, after_s=after_s):
            token = node.timers[key] = object()
            clocks.call_later(
                fleet.clock, after_s, _fire_timer, fleet, node, key, token)
        case effects.CancelTimer(key=key):
            node.timers.pop(key, None)
        case effects.Send(host=host, message=message):
            _send(fleet, node, host, message)
        case effects.Broadcast(message=message):
            for host in membership.live(node.daemon):
                if host != node.name:
                    _send(fleet, node, host, message)
        case effects.OpenAttempt():
            _open_attempt(fleet, node, effect)
        case effects.ResumeAttempt():
            _resume_attempt(fleet, node, effect)
        case effects.CancelAttempt(rid=rid, attempt=attempt):
            for server in fleet.servers.values():
                clocks.call_later(fleet.clock, INTRA_DOMAIN_S, engines.cancel,
                                  server, rid, attempt)
        case effects.Answer(rid=rid, problem=problem):
            _handle_problem(fleet, rid, problem)
        case effects.ReplayFrom(rid=rid):
            gone = events.AttemptClosed(
                rid, 0, events.AttemptEnd.STREAM_UNKNOWN)
            clocks.call_later(fleet.clock, INTER_DOMAIN_S, deliver, fleet,
                              node, gone)
        case effects.Record(kind="answered", rid=rid, fields=fields):
            _handle_result(fleet, rid, dict(fields))
        case effects.WantHostList():
            clocks.call_later(
                fleet.clock, STORE_LATENCY_S, _read_host_list, fleet, node)
        case _:
            _call_store(fleet, node, effect)


def _fire_timer(fleet, node, key, token):
    if node.timers.get(key) is token:
        del node.timers[key]
        deliver(fleet, node, events.TimerFired(key))


def _send(fleet, node, host, message):
    target = fleet.nodes.get(host)
    if target is None:
        return
    delay = INTRA_DOMAIN_S if target.domain == node.domain else INTER_DOMAIN_S
    event = events.Received(
        node.name, node.daemon.identity.incarnation, message,
        follower.generation(node.daemon), node.daemon.identity.address)
    clocks.call_later(fleet.clock, delay, deliver, fleet, target, event)


# The platform.

def _call_store(fleet, node, effect):
    status, version, body = events.StoreStatus.NOT_FOUND, 0, b""
    match effect:
        case effects.StoreGet(path=path):
            if path in fleet.objects:
                status = events.StoreStatus.FOUND
                version, body = fleet.objects[path]
        case effects.StorePut(path=path):
            current = fleet.objects.get(path, (0, b""))[0]
            status, version = events.StoreStatus.CONFLICT, current
            if current == effect.version:
                status, version = events.StoreStatus.WRITTEN, current + 1
                fleet.objects[path] = (version, effect.body)
        case effects.StoreWatch():
            status = events.StoreStatus.UNCHANGED
        case _:
            return
    answer = events.StoreAnswered(effect.op, status, version, body)
    delay = getattr(effect, "timeout_s", STORE_LATENCY_S)
    clocks.call_later(fleet.clock, delay, deliver, fleet, node, answer)


def _read_host_list(fleet, node):
    hosts = tuple(membership.member_info(other.daemon, other.name)
                  for other in fleet.nodes.values() if other.up)
    backends = tuple(
        messages.Backend(server.name, server.service,
                         f"http://{server.name}", server.domain, "region",
                         server.kind, server.leaving)
        for server in fleet.servers.values())
    deliver(fleet, node,
            events.HostListSeen(fleet.host_list_version, hosts, backends))


def _send_reports(fleet):
    """Send load and cache reports of all servers to their dispatchers."""
    clocks.call_later(fleet.clock, REPORT_INTERVAL_S, _send_reports, fleet)
    if fleet.tally is not None:
        _record_slots(fleet)
    for server in fleet.servers.values():
        load_report = events.EngineLoadSeen(
            server.name, server.up, f"boot-{server.boot}",
            len(server.running), len(server.waiting), server.slots)
        cache_report = events.EngineCacheSeen(
            server.name, tuple(server.new_prefixes),
            tuple(server.evicted_prefixes))
        server.new_prefixes.clear()
        server.evicted_prefixes.clear()
        if fleet.rng.random() < CACHE_REPORT_LOSS_SHARE:
            cache_report = None
        for node in fleet.nodes.values():
            cells = node.daemon.dispatch.cells.values()
            if any(cell.service == server.service for cell in cells):
                for report in filter(None, (load_report, cache_report)):
                    clocks.call_later(fleet.clock, REPORT_LAG_S, deliver,
                                      fleet, node, report)


def _record_slots(fleet):
    now = fleet.clock.now
    for node in fleet.nodes.values():
        for cell in node.daemon.dispatch.cells.values() if node.up else ():
            if cell.ownership_lost_at is None and now > WARMUP_S:
                slots = engine_selection.usable_slots(node.daemon, cell, now)
                fewest = fleet.tally.slots.get(cell.name, slots)
                fleet.tally.slots[cell.name] = min(slots, fewest)


# Callers.

def arrive(fleet, call):
    """Send a call to the next entry host; hosts dead for long are skipped."""
    # ``locate`` stops naming a dead host after a while.
    nodes = [node for node in fleet.nodes.values()
             if node.up or fleet.clock.now - node.died_at < LOCATE_LAG_S]
    fleet.next_node += 1
    node = nodes[fleet.next_node % len(nodes)]
    call.tries += 1
    if not node.up:
        clocks.call_later(fleet.clock, RECONNECT_S, arrive, fleet, call)
        return
    node.request_count += 1
    call.rid = f"{node.name}.1.{node.request_count}"
    fleet.calls_by_rid[call.rid] = call
    policy = call.policy
    deliver(fleet, node, events.RequestArrived(
        call.rid, load.token_of(call.workspace), "POST", "/v1", policy.name,
        "", policy.kind == "engine", call.prompt,
        policy.max_tokens if policy.kind == "engine" else 0, call.prefix,
        call.key, call.fingerprint,
        "" if policy.repeatable else call.key, not policy.repeatable))


def _handle_problem(fleet, rid, problem):
    call = fleet.calls_by_rid.get(rid)
    if call is None or call.rid != rid or call.is_finished:
        return
    if call.poison and call.tries < MAX_RESENDS and (
            problem.reason != "quarantined"):
        # The caller of a lost request sends it again.
        clocks.call_later(fleet.clock, RECONNECT_S, arrive, fleet, call)
        return
    call.refused_at = fleet.clock.now
    call.waited_s = max(call.waited_s, call.refused_at - call.arrived_at) if (
        not call.jobs) else call.waited_s
    call.reason = str(problem.reason)
    call.outcome = str(problem.outcome)


def _handle_result(fleet, rid, fields):
    call = fleet.calls_by_rid.get(rid)
    if call is None or call.rid != rid or call.is_finished or fields["reason"]:
        return
    call.done_at = fleet.clock.now
    call.tokens = fields.get("tokens", 0)
    call.itl_s = fields.get("itl_s", 0.0)


# Attempts.

def _open_attempt(fleet, node, effect):
    call = fleet.calls_by_rid[effect.rid]
    server = fleet.servers[effect.backend]

    def notify(kind, job):
        if not job.silent:
            clocks.call_later(fleet.clock, INTRA_DOMAIN_S, _handle_report,
                              fleet, node, kind, job, job.tokens)

    job = engines.Job(call, effect.rid, effect.attempt, node.name,
                      effect.tier, notify, fleet.clock.now)
    call.jobs[(effect.rid, effect.attempt)] = job
    call.waited_s = call.waited_s or fleet.clock.now - call.arrived_at
    clocks.call_later(fleet.clock, INTRA_DOMAIN_S, engines.submit, server, job)
    clocks.call_later(
        fleet.clock, effect.first_byte_s, _check_first_byte, fleet, node, job)


def _check_first_byte(fleet, node, job):
    if not job.forwarded and not job.ended:
        _handle_report(fleet, node, "silent", job, 0)


def _handle_report(fleet, node, kind, job, tokens):
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
        end = _ATTEMPT_ENDS.get(kind, events.AttemptEnd.TIMED_OUT)
        event = events.AttemptClosed(
            job.rid, job.attempt, end, job.forwarded, tokens, ttft, itl)
    deliver(fleet, node, event)


def _resume_attempt(fleet, node, effect):
    server = fleet.servers[effect.backend]
    job = engines.find_job(server, effect.rid, effect.attempt)
    if not server.up or job is None:
        kind = (events.AttemptEnd.STREAM_UNKNOWN if server.up
                else events.AttemptEnd.REFUSED)
        event = events.AttemptClosed(effect.rid, effect.attempt, kind)
        clocks.call_later(fleet.clock, INTRA_DOMAIN_S, deliver, fleet, node,
                          event)
        return
    was_done = (effect.rid, effect.attempt) in server.finished
    job.silent = False
    job.ended = ""
    if was_done:
        job.ended = "done"
        clocks.call_later(fleet.clock, INTRA_DOMAIN_S, _handle_report, fleet,
                          node, "done", job, job.tokens)
    elif job.tokens:
        clocks.call_later(fleet.clock, INTRA_DOMAIN_S, _handle_report, fleet,
                          node, "first", job, job.tokens)


# Faults.

def silence_connections(fleet, host, server):
    """Silence all open connections of a host to a server for good."""
    jobs = [*server.running.values(), *server.waiting.values()]
    for job in jobs:
        if job.host == host:
            job.silent = True
            clocks.call_later(
                fleet.clock, IDLE_TIMEOUT_S, _handle_report, fleet,
                fleet.nodes[host], "silent", job, job.forwarded)


def kill_host(fleet, host, _calls):
    """Kill a host: callers reconnect, servers cancel repeatable calls."""
    node = fleet.nodes[host]
    node.up = False
    node.died_at = fleet.clock.now
    for server in fleet.servers.values():
        for job in [*server.running.values(), *server.waiting.values()]:
            if job.host == host and job.call.policy.repeatable:
                engines.cancel(server, job.rid, job.attempt)
    for rid, call in list(fleet.calls_by_rid.items()):
        if rid == call.rid and not call.is_finished and (
                rid.startswith(f"{host}.")):
            clocks.call_later(fleet.clock, RECONNECT_S, arrive, fleet, call)
    for other in fleet.nodes.values():
        clocks.call_later(fleet.clock, PEER_DOWN_S, deliver, fleet, other,
                          events.PeerDown(host))
