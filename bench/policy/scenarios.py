"""Scenarios: load over time, injected faults, and the runner."""

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
WARMUP_S = 4.0
LOAD_S = 60.0
DRAIN_S = 320.0
FAULT_AT_S = 20.0
RESTART_S = 5.0
# A dead dispatcher is detected within 3 s; the rest is the time until
# its successor is in operation.
TAKEOVER_S = 4.0
STEADY_LOAD = 0.7
BURST_LOAD = 2.0
BURST_FROM_S = 15.0
BURST_TO_S = 35.0
NOISY_FACTOR = 6.0
SLOTS = {"engine": 8, "plain": 16}
NOISY_CLASS = {"paddlegum": "safety-question", "wellness": "day-package"}


def _in_burst(t):
    return BURST_FROM_S <= t < BURST_TO_S


def _load_profile(scenario, deployment):
    noisy_class = NOISY_CLASS[deployment.name]

    def load_share(t, class_name, workspace):
        if not _in_burst(t):
            return STEADY_LOAD
        if scenario == "burst":
            return BURST_LOAD
        if scenario == "bully-class" and class_name == noisy_class:
            return STEADY_LOAD * NOISY_FACTOR
        if (scenario == "bully-workspace"
                and workspace == _noisy_workspace(deployment)):
            return STEADY_LOAD * NOISY_FACTOR
        return STEADY_LOAD

    return load_share


def _noisy_workspace(deployment):
    """Return the large workspace that sends the burst."""
    return deployment.workspaces[-2]


def _noisy_filter(scenario, deployment):
    if scenario == "bully-workspace":
        return lambda call: call.workspace == _noisy_workspace(deployment)
    return lambda call: False


def _servers(deployment, clock):
    servers = {}
    for service, count in deployment.servers.items():
        kind = loads.conf.find_service(deployment.tree, service).kind
        for number in range(count):
            name = f"{service}-{number}"
            domain = deployment.domains[number % len(deployment.domains)]
            servers[name] = engines.new_engine(
                name, service, domain, kind, SLOTS[kind], clock)
    return servers


def _engines(servers):
    return [server for server in servers.values()
            if server.kind == "engine"]


# Faults.

def _stragglers(fleet, driver, servers, calls):
    first_engine, second_engine = _engines(servers)[:2]

    def slow_down(server, time_factor):
        server.time_factor = time_factor

    clocks.call_later(fleet.clock, FAULT_AT_S, slow_down, first_engine, 4.0)
    clocks.call_later(
        fleet.clock, FAULT_AT_S + 5.0, slow_down, second_engine, 2.5)
    clocks.call_later(
        fleet.clock, FAULT_AT_S + 25.0, slow_down, first_engine, 1.0)
    clocks.call_later(
        fleet.clock, FAULT_AT_S + 30.0, slow_down, second_engine, 1.0)


def _engine_crash(fleet, driver, servers, calls):
    engine_servers = _engines(servers)
    clocks.call_later(
        fleet.clock, FAULT_AT_S, engines.crash, engine_servers[1], RESTART_S)
    clocks.call_later(
        fleet.clock, FAULT_AT_S * 2, engines.crash, engine_servers[3],
        RESTART_S)


def _dispatcher_host(fleet, servers):
    service = _engines(servers)[0].service
    if not isinstance(fleet, fleets.Fleet):
        return fleet.hosts[0]
    live = membership.live(next(iter(fleet.nodes.values())).daemon)
    return placement.owner(f"{service}/0", live)


def _dispatcher_loss(fleet, driver, servers, calls):
    host = _dispatcher_host(fleet, servers)
    clocks.call_later(
        fleet.clock, FAULT_AT_S, driver.kill_host, fleet, host, calls)


def _host_loss(fleet, driver, servers, calls):
    names = getattr(fleet, "nodes", None) or fleet.hosts
    dispatcher = _dispatcher_host(fleet, servers)
    host = next(name for name in names if name != dispatcher)
    clocks.call_later(
        fleet.clock, FAULT_AT_S, driver.kill_host, fleet, host, calls)


def _silent_connections(fleet, driver, servers, calls):
    engine_servers = _engines(servers)
    for number, server in enumerate(engine_servers[:3]):
        clocks.call_later(
            fleet.clock, FAULT_AT_S, driver.silence_connections, fleet,
            f"entry-{number}", server)


def _poison(fleet, driver, servers, calls):
    for call in calls:
        if call.arrived_at >= FAULT_AT_S and call.policy.kind == "engine" and (
                call.policy.tier == 2 and call.length > 20):
            call.poison = True
            return


_FAULTS = {"stragglers": _stragglers, "engine-crash": _engine_crash,
           "dispatcher-loss": _dispatcher_loss, "host-loss": _host_loss,
           "silent-connection": _silent_connections, "poison": _poison}
SCENARIOS = ("steady", "burst", "bully-class", "bully-workspace",
             *_FAULTS)


def run(deployment_name, scenario, policy, seed):
    """Run one scenario; return its figures as a dict for JSON."""
    deployment = loads.load_deployment(deployment_name)
    clock = clocks.new_clock()
    rng = random.Random(f"{scenario}/{seed}")
    servers = _servers(deployment, clock)
    tally = tallies.new_tally(deployment)
    if policy == "ours":
        driver = fleets
        fleet = fleets.new_fleet(
            deployment, clock, rng, servers, tally, seed)
    else:
        driver = baselines
        fleet = baselines.new_fleet(
            policy, deployment, clock, rng, servers, tally)
    calls = loads.arrivals(
        deployment, _load_profile(scenario, deployment), seed, LOAD_S)
    for call in calls:
        call.arrived_at += WARMUP_S
        clocks.call_later(clock, call.arrived_at, driver.arrive, fleet, call)
    if scenario in _FAULTS:
        _FAULTS[scenario](fleet, driver, servers, calls)
    clocks.run(clock, WARMUP_S + LOAD_S, lambda: False)
    clocks.run(
        clock, WARMUP_S + LOAD_S + DRAIN_S, _completion_check(calls, clock))
    takeover_s = TAKEOVER_S if scenario == "dispatcher-loss" else 0.0
    figures = tallies.report(
        deployment, tally, calls, servers, LOAD_S,
        _noisy_filter(scenario, deployment), takeover_s)
    figures["crashes"] = sum(server.crashes for server in servers.values())
    figures["quarantined"] = len(tally.quarantined)
    figures["suspects"] = len(tally.suspects)
    return {"deployment": deployment_name, "scenario": scenario,
            "policy": policy, "seed": seed, **figures}


def _completion_check(calls, clock):
    unfinished = {
        "calls": [call for call in calls if not call.is_finished], "at": 0.0}

    def is_done():
        if clock.now - unfinished["at"] < 1.0:
            return False
        unfinished["at"] = clock.now
        unfinished["calls"] = [
            c for c in unfinished["calls"] if not c.is_finished]
        return not unfinished["calls"]

    return is_done
