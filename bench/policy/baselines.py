"""Baseline policies: ``fifo``, ``priority`` and ``oracle``.

Each consists of an order of the waiting calls and a choice of server,
over the same fake servers. Calls are retried only where that is safe.
"""

import dataclasses
import typing

from bench.policy import clock as clocks
from bench.policy import engine as engines
from bench.policy import tally as tallies

__all__ = ["BaselineFleet", "arrive", "kill_host", "new_fleet",
           "silence_connections"]

HOP_LATENCY_S = 0.002
REPORT_INTERVAL_S = 0.5
MAX_ATTEMPTS = 4
BACKOFF_S = 1.0
RECONNECT_S = 0.3
IDLE_TIMEOUT_S = 2.0
LOCATE_LAG_S = 5.0


@dataclasses.dataclass(slots=True)
class BaselineFleet:
    """All hosts of a policy; ``queues`` maps a host to its waiting calls.

    ``order(call)`` is the sort key of waiting calls; ``pick(host, call)``
    returns a server or None. ``reports`` is the load that the hosts last
    learned; ``sent_since_report`` counts the calls sent after that.
    """

    policy: str
    clock: clocks.Clock
    rng: typing.Any
    hosts: list[str]
    servers: dict[str, engines.Engine]
    tally: tallies.Tally
    queues: dict[str, list]
    reports: dict[str, int]
    order: typing.Callable = None
    pick: typing.Callable = None
    sent_since_report: dict = dataclasses.field(default_factory=dict)
    backoff_until: dict = dataclasses.field(default_factory=dict)
    died_at: dict = dataclasses.field(default_factory=dict)
    next_host: int = 0


def new_fleet(policy, deployment, clock, rng, servers, tally):
    """Return the hosts of a policy, ready to accept calls."""
    hosts = [f"entry-{n}" for n in range(deployment.hosts)]
    fleet = BaselineFleet(policy, clock, rng, hosts, servers, tally,
                          {host: [] for host in hosts}, {})
    policies = {"fifo": _fifo, "priority": _priority, "oracle": _oracle}
    fleet.order, fleet.pick = policies[policy](fleet)
    if policy == "oracle":
        fleet.queues = dict.fromkeys(hosts, fleet.queues[hosts[0]])
    clocks.call_later(clock, 0.0, _collect_reports, fleet)
    return fleet


def _collect_reports(fleet):
    clocks.call_later(fleet.clock, REPORT_INTERVAL_S, _collect_reports, fleet)
    loads = {name: len(server.running) + len(server.waiting)
             for name, server in fleet.servers.items()}
    clocks.call_later(
        fleet.clock, REPORT_INTERVAL_S, _apply_reports, fleet, loads)


def _apply_reports(fleet, loads):
    fleet.reports.update(loads)
    fleet.sent_since_report.clear()
    for host in fleet.hosts:
        _dispatch(fleet, host)


# Policies.

def _available_servers(fleet, host, call):
    now = fleet.clock.now
    return [server for server in fleet.servers.values()
            if server.service == call.policy.service
            and not server.leaving
            and fleet.backoff_until.get((host, server.name), 0.0) <= now]


def _fifo(fleet):
    def pick(host, call):
        candidates = _available_servers(fleet, host, call)
        return fleet.rng.choice(candidates) if candidates else None

    return (lambda call: call.arrived_at), pick


def _priority(fleet):
    def load_of(host, server):
        return (fleet.reports.get(server.name, 0)
                + fleet.sent_since_report.get((host, server.name), 0))

    def pick(host, call):
        candidates = [server
                      for server in _available_servers(fleet, host, call)
                      if load_of(host, server) < server.slots]
        return min(
            candidates, key=lambda s: (load_of(host, s), fleet.rng.random()),
            default=None)

    return (lambda call: (call.policy.tier, call.arrived_at)), pick


def _oracle(fleet):
    """One queue and exact state: strict tiers, calls still on time first."""
    def order(call):
        late = fleet.clock.now > call.arrived_at + call.policy.target_ttft_s
        return (call.policy.tier, late, call.length)

    def pick(host, call):
        candidates = [server
                      for server in _available_servers(fleet, host, call)
                      if server.up and not server.waiting
                      and len(server.running) < _best_slots(server)]
        return min(candidates, key=lambda s: (
            s.time_factor * (1 + len(s.running) / s.slots), s.name),
            default=None)

    return order, pick


def _best_slots(server):
    # Above its knee a plain service gains no throughput.
    plain = server.kind == "plain"
    return engines.PLAIN_KNEE if plain else server.slots


# The life cycle of a call.

def arrive(fleet, call):
    """Send a call to the next host."""
    candidates = [host for host in fleet.hosts
                  if host not in fleet.died_at
                  or fleet.clock.now - fleet.died_at[host] < LOCATE_LAG_S]
    fleet.next_host += 1
    host = candidates[fleet.next_host % len(candidates)]
    if host in fleet.died_at:
        clocks.call_later(fleet.clock, RECONNECT_S, arrive, fleet, call)
        return
    call.tries += 1
    call.rid = f"{host}.{call.id}.{call.tries}"
    call.driver_data = host
    remaining_s = call.arrived_at + call.policy.deadline_s - fleet.clock.now
    clocks.call_later(fleet.clock, remaining_s, _expire, fleet, call, call.rid)
    _enqueue(fleet, host, call)
    _dispatch(fleet, host)


def _enqueue(fleet, host, call):
    fleet.queues[host].append(call)
    tallies.record_enqueue(
        fleet.tally, _cell(call), call.policy.name, call.rid, fleet.clock.now)


def _cell(call):
    return call.policy.service + "/0"


def _dispatch(fleet, host):
    queue = fleet.queues[host]
    blocked_services = set()
    for call in sorted(queue, key=fleet.order):
        # A call that no server can take blocks the later calls of its
        # service.
        if call.policy.service in blocked_services:
            continue
        if fleet.policy == "oracle" and _cannot_finish_in_time(fleet, call):
            queue.remove(call)
            _refuse(fleet, call, "hopeless")
            continue
        server = fleet.pick(host, call)
        if server is None:
            blocked_services.add(call.policy.service)
            continue
        queue.remove(call)
        _send(fleet, call, server)


def _cannot_finish_in_time(fleet, call):
    """Tell from the true length whether the answer would be too late."""
    policy = call.policy
    step_s = engines.TOKEN_STEP_S * 1.4 if policy.kind == "engine" else 1.0
    end = fleet.clock.now + call.length * step_s
    return policy.late == "drop" and end > call.arrived_at + policy.deadline_s


def _send(fleet, call, server):
    now = fleet.clock.now
    host = call.driver_data
    tallies.record_grant(fleet.tally, _cell(call), call.policy.name, call.rid,
                         now)
    call.waited_s = call.waited_s or now - call.arrived_at
    attempt = len(call.jobs) + 1
    key = (host, server.name)
    fleet.sent_since_report[key] = fleet.sent_since_report.get(key, 0) + 1

    def notify(kind, job):
        if not job.silent:
            clocks.call_later(
                fleet.clock, HOP_LATENCY_S, _handle_report, fleet, host, kind,
                job, job.tokens, server)

    tier = call.policy.tier if fleet.policy != "fifo" else 0
    job = engines.Job(call, call.rid, attempt, host, tier, notify, now)
    call.jobs[(call.rid, attempt)] = job
    engines.submit(server, job)


def _handle_report(fleet, host, kind, job, tokens, server):
    call = job.call
    job.forwarded = max(job.forwarded, tokens)
    if call.is_finished or call.rid != job.rid or host in fleet.died_at:
        return
    if kind == "first":
        call.first_at = call.first_at or fleet.clock.now
    elif kind == "done":
        call.done_at = fleet.clock.now
        call.tokens = tokens
        if tokens > 1:
            call.itl_s = (fleet.clock.now - job.first_at) / (tokens - 1)
    elif kind != "progress":
        _handle_failure(fleet, host, kind, job, server)
    if kind not in ("first", "progress"):
        for other in fleet.hosts:
            if fleet.queues[other]:
                _dispatch(fleet, other)
            if fleet.policy == "oracle":
                return


def _handle_failure(fleet, host, kind, job, server):
    call = job.call
    fleet.backoff_until[(host, server.name)] = fleet.clock.now + BACKOFF_S
    clocks.call_later(fleet.clock, BACKOFF_S, _dispatch, fleet, host)
    is_safe = kind in ("busy", "refused") or (
        call.policy.repeatable and not job.forwarded)
    if is_safe and len(call.jobs) < MAX_ATTEMPTS:
        _enqueue(fleet, host, call)
    elif call.poison and call.tries < 6:
        clocks.call_later(fleet.clock, RECONNECT_S, arrive, fleet, call)
    else:
        _refuse(fleet, call, "backend_lost")


def _refuse(fleet, call, reason):
    call.refused_at = fleet.clock.now
    call.waited_s = max(call.waited_s, call.refused_at - call.arrived_at)
    call.reason = reason
    tallies.record_leave(fleet.tally, _cell(call), call.policy.name, call.rid)
    if reason == "deadline":
        tallies.record_refusal(fleet.tally, _cell(call), call.policy.name)


def _expire(fleet, call, rid):
    if call.is_finished or call.rid != rid:
        return
    queue = fleet.queues[call.driver_data]
    if call in queue:
        queue.remove(call)
        _refuse(fleet, call, "deadline")
    elif call.policy.late == "drop" and not call.first_at:
        for job in call.jobs.values():
            for server in fleet.servers.values():
                engines.cancel(server, job.rid, job.attempt)
        _refuse(fleet, call, "deadline")


def kill_host(fleet, host, calls):
    """Kill a host; its callers reconnect to others."""
    fleet.died_at[host] = fleet.clock.now
    for server in fleet.servers.values():
        for job in [*server.running.values(), *server.waiting.values()]:
            if job.host == host and job.call.policy.repeatable:
                engines.cancel(server, job.rid, job.attempt)
    for call in calls:
        if call.driver_data == host and call.rid and not call.is_finished:
            _reconnect(fleet, host, call)


def _reconnect(fleet, host, call):
    queue = fleet.queues[host]
    if call in queue:
        queue.remove(call)
        tallies.record_leave(
            fleet.tally, _cell(call), call.policy.name, call.rid)
    call.rid = ""
    if call.policy.repeatable or not call.starts:
        clocks.call_later(fleet.clock, RECONNECT_S, arrive, fleet, call)
    else:
        # Without a ledger it is unknown whether the call ran.
        _refuse(fleet, call, "backend_lost")


def silence_connections(fleet, host, server):
    """Silence all open connections of a host to a server for good."""
    for job in [*server.running.values(), *server.waiting.values()]:
        if job.host == host:
            job.silent = True
            clocks.call_later(
                fleet.clock, IDLE_TIMEOUT_S, _handle_report, fleet, host,
                "silent", job, job.forwarded, server)
