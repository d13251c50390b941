"""Policies to compare with: ``fifo``, ``priority`` and ``oracle``.

Each is an order of the waiting calls and a choice of a server, over the
same fake servers. Retries are made where they are safe.
"""

import dataclasses
import typing

from bench.policy import clock as clocks
from bench.policy import engine as engines
from bench.policy import tally as tallies

__all__ = ["Front", "arrive", "kill", "new_front", "silence"]

HOP_S = 0.002
REPORT_S = 0.5
MAX_TRIES = 4
PAUSE_S = 1.0
RECONNECT_S = 0.3
SILENCE_S = 2.0
LOCATE_S = 5.0


@dataclasses.dataclass(slots=True)
class Front:
    """All hosts of a policy; ``queues`` maps a host to waiting calls.

    ``order(call)`` sorts what waits; ``pick(host, call)`` names a
    server or None. ``reports`` is the load as the hosts know it.
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
    sent: dict = dataclasses.field(default_factory=dict)
    off: dict = dataclasses.field(default_factory=dict)
    dead: dict = dataclasses.field(default_factory=dict)
    turn: int = 0


def new_front(policy, deployment, clock, rng, servers, tally):
    """Return the hosts of a policy, ready for calls."""
    hosts = [f"entry-{n}" for n in range(deployment.hosts)]
    front = Front(policy, clock, rng, hosts, servers, tally,
                  {host: [] for host in hosts}, {})
    makers = {"fifo": _fifo, "priority": _priority, "oracle": _oracle}
    front.order, front.pick = makers[policy](front)
    if policy == "oracle":
        front.queues = dict.fromkeys(hosts, front.queues[hosts[0]])
    clocks.at(clock, 0.0, _reports, front)
    return front


def _reports(front):
    clocks.at(front.clock, REPORT_S, _reports, front)
    seen = {name: len(server.running) + len(server.waiting)
            for name, server in front.servers.items()}
    clocks.at(front.clock, REPORT_S, _reported, front, seen)


def _reported(front, seen):
    front.reports.update(seen)
    front.sent.clear()
    for host in front.hosts:
        _pump(front, host)


# Policies.

def _open_servers(front, host, call):
    now = front.clock.now
    return [server for server in front.servers.values()
            if server.service == call.policy.service
            and not server.leaving
            and front.off.get((host, server.name), 0.0) <= now]


def _fifo(front):
    def pick(host, call):
        names = _open_servers(front, host, call)
        return front.rng.choice(names) if names else None

    return (lambda call: call.at), pick


def _priority(front):
    def load_of(host, server):
        return (front.reports.get(server.name, 0)
                + front.sent.get((host, server.name), 0))

    def pick(host, call):
        names = [server for server in _open_servers(front, host, call)
                 if load_of(host, server) < server.slots]
        return min(names, key=lambda s: (load_of(host, s),
                                         front.rng.random()), default=None)

    return (lambda call: (call.policy.tier, call.at)), pick


def _oracle(front):
    """One queue, true state: strict tiers, who can be in time first."""
    def order(call):
        late = front.clock.now > call.at + call.policy.target_ttft_s
        return (call.policy.tier, late, call.length)

    def pick(host, call):
        names = [server for server in _open_servers(front, host, call)
                 if server.up and not server.waiting
                 and len(server.running) < _best_slots(server)]
        return min(names, key=lambda s: (
            s.slow * (1 + len(s.running) / s.slots), s.name), default=None)

    return order, pick


def _best_slots(server):
    # More calls than that only share what a plain service can do.
    plain = server.kind == "plain"
    return engines.PLAIN_KNEE if plain else server.slots


# The path of a call.

def arrive(front, call):
    """Let a call come to the next host."""
    names = [host for host in front.hosts
             if host not in front.dead
             or front.clock.now - front.dead[host] < LOCATE_S]
    front.turn += 1
    host = names[front.turn % len(names)]
    if host in front.dead:
        clocks.at(front.clock, RECONNECT_S, arrive, front, call)
        return
    call.tries += 1
    call.rid = f"{host}.{call.id}.{call.tries}"
    call.extra = host
    left = call.at + call.policy.deadline_s - front.clock.now
    clocks.at(front.clock, left, _deadline, front, call, call.rid)
    _wait(front, host, call)
    _pump(front, host)


def _wait(front, host, call):
    front.queues[host].append(call)
    tallies.enqueued(front.tally, _cell(call), call.policy.name, call.rid,
                     front.clock.now)


def _cell(call):
    return call.policy.service + "/0"


def _pump(front, host):
    queue = front.queues[host]
    stuck = set()
    for call in sorted(queue, key=front.order):
        # What fits no server holds up the calls behind it.
        if call.policy.service in stuck:
            continue
        if front.policy == "oracle" and _is_useless(front, call):
            queue.remove(call)
            _refuse(front, call, "hopeless")
            continue
        server = front.pick(host, call)
        if server is None:
            stuck.add(call.policy.service)
            continue
        queue.remove(call)
        _send(front, call, server)


def _is_useless(front, call):
    """Tell from the true length whether the answer comes too late."""
    policy = call.policy
    step = engines.TOKEN_S * 1.4 if policy.kind == "engine" else 1.0
    end = front.clock.now + call.length * step
    return policy.late == "drop" and end > call.at + policy.deadline_s


def _send(front, call, server):
    now = front.clock.now
    host = call.extra
    tallies.granted(front.tally, _cell(call), call.policy.name, call.rid,
                    now)
    call.waited_s = call.waited_s or now - call.at
    attempt = len(call.sources) + 1
    key = (host, server.name)
    front.sent[key] = front.sent.get(key, 0) + 1

    def tell(kind, job):
        if not job.silent:
            clocks.at(front.clock, HOP_S, _heard, front, host, kind, job,
                      job.tokens, server)

    tier = call.policy.tier if front.policy != "fifo" else 0
    job = engines.Job(call, call.rid, attempt, host, tier, tell, now)
    call.sources[(call.rid, attempt)] = job
    engines.submit(server, job)


def _heard(front, host, kind, job, tokens, server):
    call = job.call
    job.forwarded = max(job.forwarded, tokens)
    if call.over or call.rid != job.rid or host in front.dead:
        return
    if kind == "first":
        call.first_at = call.first_at or front.clock.now
    elif kind == "done":
        call.done_at = front.clock.now
        call.tokens = tokens
        if tokens > 1:
            call.itl_s = (front.clock.now - job.first_at) / (tokens - 1)
    elif kind != "progress":
        _failed(front, host, kind, job, server)
    if kind not in ("first", "progress"):
        for other in front.hosts:
            if front.queues[other]:
                _pump(front, other)
            if front.policy == "oracle":
                return


def _failed(front, host, kind, job, server):
    call = job.call
    front.off[(host, server.name)] = front.clock.now + PAUSE_S
    clocks.at(front.clock, PAUSE_S, _pump, front, host)
    safe = kind in ("busy", "refused") or (
        call.policy.repeatable and not job.forwarded)
    if safe and len(call.sources) < MAX_TRIES:
        _wait(front, host, call)
    elif call.poison and call.tries < 6:
        clocks.at(front.clock, RECONNECT_S, arrive, front, call)
    else:
        _refuse(front, call, "backend_lost")


def _refuse(front, call, reason):
    call.refused_at = front.clock.now
    call.waited_s = max(call.waited_s, call.refused_at - call.at)
    call.reason = reason
    tallies.left(front.tally, _cell(call), call.policy.name, call.rid)
    if reason == "deadline":
        tallies.refused(front.tally, _cell(call), call.policy.name)


def _deadline(front, call, rid):
    if call.over or call.rid != rid:
        return
    queue = front.queues[call.extra]
    if call in queue:
        queue.remove(call)
        _refuse(front, call, "deadline")
    elif call.policy.late == "drop" and not call.first_at:
        for job in call.sources.values():
            for server in front.servers.values():
                engines.cancel(server, job.rid, job.attempt)
        _refuse(front, call, "deadline")


def kill(front, host, calls):
    """A host dies; its callers go to others."""
    front.dead[host] = front.clock.now
    for server in front.servers.values():
        for job in [*server.running.values(), *server.waiting.values()]:
            if job.host == host and job.call.policy.repeatable:
                engines.cancel(server, job.rid, job.attempt)
    for call in calls:
        if call.extra == host and call.rid and not call.over:
            _lose(front, host, call)


def _lose(front, host, call):
    queue = front.queues[host]
    if call in queue:
        queue.remove(call)
        tallies.left(front.tally, _cell(call), call.policy.name, call.rid)
    call.rid = ""
    if call.policy.repeatable or not call.starts:
        clocks.at(front.clock, RECONNECT_S, arrive, front, call)
    else:
        # Without a ledger nobody can tell whether it ran.
        _refuse(front, call, "backend_lost")


def silence(front, host, server):
    """All open connections of a host to a server go silent for good."""
    for job in [*server.running.values(), *server.waiting.values()]:
        if job.host == host:
            job.silent = True
            clocks.at(front.clock, SILENCE_S, _heard, front, host,
                      "silent", job, job.forwarded, server)
