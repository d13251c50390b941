"""Scenarios: the load over time and the faults, and how one is run."""

import random

from bench.policy import baselines
from bench.policy import clock as clocks
from bench.policy import engine as engines
from bench.policy import fleet as fleets
from bench.policy import load as loads
from bench.policy import tally as tallies
from crocuskeel.core import membership
from crocuskeel.core import placement

__all__ = ["POLICIES", "SCENARIOS", "run"]

POLICIES = ("ours", "fifo", "priority", "oracle")
START_S = 4.0
SECONDS = 60.0
DRAIN_S = 320.0
FAULT_S = 20.0
BACK_S = 5.0
# A dead dispatcher is noticed within 3 s; its successor settles.
TAKEOVER_S = 4.0
STEADY = 0.7
BURST = 2.0
BURST_FROM_S = 15.0
BURST_TO_S = 35.0
BULLY = 6.0
SLOTS = {"engine": 8, "plain": 16}
BULLY_CLASS = {"paddlegum": "safety-question", "wellness": "day-package"}


def _in_burst(t):
    return BURST_FROM_S <= t < BURST_TO_S


def _factor(scenario, deployment):
    bully_class = BULLY_CLASS[deployment.name]

    def factor(t, class_name, workspace):
        if not _in_burst(t):
            return STEADY
        if scenario == "burst":
            return BURST
        if scenario == "bully-class" and class_name == bully_class:
            return STEADY * BULLY
        if scenario == "bully-workspace" and workspace == _bully(deployment):
            return STEADY * BULLY
        return STEADY

    return factor


def _bully(deployment):
    """Return the large workspace that bursts."""
    return deployment.workspaces[-2]


def _is_bully(scenario, deployment):
    if scenario == "bully-workspace":
        return lambda call: call.workspace == _bully(deployment)
    return lambda call: False


def _servers(deployment, clock):
    out = {}
    for service, count in deployment.servers.items():
        kind = loads.conf.service(deployment.tree, service).kind
        for number in range(count):
            name = f"{service}-{number}"
            domain = deployment.domains[number % len(deployment.domains)]
            out[name] = engines.new_engine(
                name, service, domain, kind, SLOTS[kind], clock)
    return out


def _engines(servers):
    return [server for server in servers.values()
            if server.kind == "engine"]


# Faults.

def _stragglers(front, side, servers, calls):
    first, second = _engines(servers)[:2]

    def slow(server, factor):
        server.slow = factor

    clocks.at(front.clock, FAULT_S, slow, first, 4.0)
    clocks.at(front.clock, FAULT_S + 5.0, slow, second, 2.5)
    clocks.at(front.clock, FAULT_S + 25.0, slow, first, 1.0)
    clocks.at(front.clock, FAULT_S + 30.0, slow, second, 1.0)


def _engine_crash(front, side, servers, calls):
    group = _engines(servers)
    clocks.at(front.clock, FAULT_S, engines.crash, group[1], BACK_S)
    clocks.at(front.clock, FAULT_S * 2, engines.crash, group[3], BACK_S)


def _dispatcher(front, servers):
    service = _engines(servers)[0].service
    if not isinstance(front, fleets.Fleet):
        return front.hosts[0]
    live = membership.live(next(iter(front.nodes.values())).daemon)
    return placement.owner(f"{service}/0", live)


def _dispatcher_loss(front, side, servers, calls):
    host = _dispatcher(front, servers)
    clocks.at(front.clock, FAULT_S, side.kill, front, host, calls)


def _host_loss(front, side, servers, calls):
    names = getattr(front, "nodes", None) or front.hosts
    spared = _dispatcher(front, servers)
    host = next(name for name in names if name != spared)
    clocks.at(front.clock, FAULT_S, side.kill, front, host, calls)


def _silent(front, side, servers, calls):
    group = _engines(servers)
    for number, server in enumerate(group[:3]):
        clocks.at(front.clock, FAULT_S, side.silence, front,
                  f"entry-{number}", server)


def _poison(front, side, servers, calls):
    for call in calls:
        if call.at >= FAULT_S and call.policy.kind == "engine" and (
                call.policy.tier == 2 and call.length > 20):
            call.poison = True
            return


_FAULTS = {"stragglers": _stragglers, "engine-crash": _engine_crash,
           "dispatcher-loss": _dispatcher_loss, "host-loss": _host_loss,
           "silent-connection": _silent, "poison": _poison}
SCENARIOS = ("steady", "burst", "bully-class", "bully-workspace",
             *_FAULTS)


def run(deployment_name, scenario, policy, seed):
    """Run one scenario; return its figures as a dict for JSON."""
    deployment = loads.load(deployment_name)
    clock = clocks.new_clock()
    rng = random.Random(f"{scenario}/{seed}")
    servers = _servers(deployment, clock)
    counts = tallies.new_tally(deployment)
    if policy == "ours":
        side = fleets
        front = fleets.new_fleet(
            deployment, clock, rng, servers, counts, seed)
    else:
        side = baselines
        front = baselines.new_front(
            policy, deployment, clock, rng, servers, counts)
    calls = loads.arrivals(
        deployment, _factor(scenario, deployment), seed, SECONDS)
    for call in calls:
        call.at += START_S
        clocks.at(clock, call.at, side.arrive, front, call)
    if scenario in _FAULTS:
        _FAULTS[scenario](front, side, servers, calls)
    clocks.run(clock, START_S + SECONDS, lambda: False)
    clocks.run(clock, START_S + SECONDS + DRAIN_S, _all_over(calls, clock))
    extra_s = TAKEOVER_S if scenario == "dispatcher-loss" else 0.0
    out = tallies.report(
        deployment, counts, calls, servers, SECONDS,
        _is_bully(scenario, deployment), extra_s)
    out["crashes"] = sum(server.crashes for server in servers.values())
    out["quarantined"] = len(counts.quarantined)
    out["suspects"] = len(counts.suspects)
    return {"deployment": deployment_name, "scenario": scenario,
            "policy": policy, "seed": seed, **out}


def _all_over(calls, clock):
    left = {"calls": [call for call in calls if not call.over], "at": 0.0}

    def is_over():
        if clock.now - left["at"] < 1.0:
            return False
        left["at"] = clock.now
        left["calls"] = [c for c in left["calls"] if not c.over]
        return not left["calls"]

    return is_over
