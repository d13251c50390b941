"""Measures the latency and CPU time that the entry daemon adds.

Real processes are used. Prints one JSON line per figure: name, value,
unit, n. Each run compares requests sent directly to the engine stand-in
with requests routed through 1, 3 and 9 entry hosts.
"""

import argparse
import json
import os
import sys
import time

from twisted.internet import asyncioreactor

__all__ = ["main"]

HOSTS = (1, 3, 9)
LONG_TOKENS = 100
SHORT_TOKENS = 2
RUN_TIMEOUT_S = 580.0


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="bench.loopback", description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=HOSTS)
    parser.add_argument("--seconds", type=float, default=20.0,
                        help="duration of each load")
    parser.add_argument("--probes", type=int, default=300)
    return parser


def main(argv=None):
    """Run the benchmark; return the exit code."""
    args = new_parser().parse_args(argv)
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    exit_codes = [0]
    run = defer.Deferred.fromCoroutine(_run_all(reactor, args))
    run.addTimeout(RUN_TIMEOUT_S, reactor)
    run.addErrback(_report_failure, exit_codes)
    run.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    return exit_codes[0]


def _report_failure(failure, exit_codes):
    failure.printTraceback(sys.stderr)
    exit_codes[0] = 1


async def _run_all(reactor, args):
    from bench.loopback import processes
    for entry_count in args.hosts:
        processes.emit(f"hosts_{entry_count}.machine_load", os.getloadavg()[0],
                       f"of {os.cpu_count()} cores", 1)
        async with processes.running_fleet(reactor, entry_count) as fleet:
            await _measure_fleet(reactor, args, fleet, f"hosts_{entry_count}")


async def _measure_fleet(reactor, args, fleet, name):
    from bench.loopback import processes
    idle = await _run_phase(reactor, fleet, 0.0, args.seconds, 0)
    # Both loads have the same request rate and differ only in the number
    # of tokens per answer.
    slots = processes.ENGINES * processes.SLOTS
    rate = slots / 2 / (LONG_TOKENS * processes.TPOT_S)
    short = await _run_phase(
        reactor, fleet, rate, args.seconds, SHORT_TOKENS)
    probe_coro = _probe_ttft(reactor, args, fleet, name)
    long = await _run_phase(
        reactor, fleet, rate, args.seconds, LONG_TOKENS, probe_coro)
    _emit_cpu_costs(processes.emit, name, idle, short, long)


async def _run_phase(
        reactor, fleet, rate, duration_s, tokens, probe_coro=None):
    """Run one load.

    Returns the CPU seconds of all entry daemons, the elapsed seconds and
    the counts.
    """
    from bench.loopback import processes
    from tools import demo_ready
    from twisted.internet import defer
    from twisted.internet import task
    daemons = [fleet.processes[entry.name]
               for entry in fleet.plan.entries]
    before = sum(map(processes.cpu_s, daemons))
    started_at = reactor.seconds()
    counts = {"requests": 0, "tokens": 0, "failed": 0}
    probe_task = defer.Deferred.fromCoroutine(
        probe_coro) if probe_coro else None
    if rate:
        load = processes.run_load(
            demo_ready.doors(fleet), rate, duration_s, tokens)
        while load.poll() is None:
            await task.deferLater(reactor, 0.1)
        counts = json.loads(load.stdout.read())
    else:
        await task.deferLater(reactor, duration_s)
    if probe_task is not None:
        probed = await probe_task
        counts = {key: counts[key] + probed[key] for key in counts}
    cpu_used_s = sum(map(processes.cpu_s, daemons)) - before
    return cpu_used_s, reactor.seconds() - started_at, counts


async def _probe_ttft(reactor, args, fleet, name):
    from bench.loopback import probe
    from bench.loopback import processes
    from tools import demo_fleet
    from tools import demo_ready
    from twisted.internet import task
    await task.deferLater(reactor, args.seconds / 10)
    pool = fleet.plan.pools[0]
    engine_urls = [f"http://{demo_fleet.ADDRESS}:{pool.first_port + i}"
                   for i in range(pool.count)]
    routed, direct = await probe.compare(
        reactor, demo_ready.doors(fleet), engine_urls, args.probes)
    for quantile, label in ((0.5, "p50"), (0.95, "p95")):
        routed_ttft = probe.percentile(routed, quantile)
        direct_ttft = probe.percentile(direct, quantile)
        processes.emit(f"{name}.ttft_direct_{label}", direct_ttft * 1000,
                       "ms", len(direct))
        processes.emit(f"{name}.ttft_added_{label}",
                       (routed_ttft - direct_ttft) * 1000, "ms", len(routed))
        processes.emit(f"{name}.ttft_ratio_{label}", routed_ttft / direct_ttft,
                       "ratio", len(routed))
    events = probe.PROBE_TOKENS + 2
    return {"requests": len(routed), "failed": 0,
            "tokens": len(routed) * events}


def _emit_cpu_costs(emit, name, idle, short, long):
    """Attribute CPU time to idling, requests and tokens.

    The costs per request and per token solve two linear equations, one
    for each load.
    """
    idle_share = idle[0] / idle[1]
    emit(f"{name}.idle_cpu", 100 * idle_share, "% of a core", 1)
    equations = []
    for cpu_used_s, elapsed_s, counts in (short, long):
        equations.append((counts["requests"], counts["tokens"],
                          cpu_used_s - idle_share * elapsed_s))
        emit(f"{name}.failed", counts["failed"], "requests",
             counts["requests"])
    (requests1, tokens1, cpu1), (requests2, tokens2, cpu2) = equations
    determinant = requests1 * tokens2 - requests2 * tokens1
    cpu_per_request = (cpu1 * tokens2 - cpu2 * tokens1) / determinant
    cpu_per_token = (requests1 * cpu2 - requests2 * cpu1) / determinant
    emit(f"{name}.cpu_per_request", cpu_per_request * 1e6, "us", requests1)
    emit(f"{name}.cpu_per_token", cpu_per_token * 1e6, "us", tokens2)
    emit(f"{name}.cpu_per_token_all_in", cpu2 / tokens2 * 1e6, "us", tokens2)


if __name__ == "__main__":
    sys.exit(main())
