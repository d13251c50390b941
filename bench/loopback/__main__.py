"""Time and CPU that the entry daemon adds, on real processes.

One JSON line a figure: name, value, unit, n. Each run compares asking
the engine stand-in directly with asking through 1, 3 and 9 entry hosts.
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
MOST_S = 580.0


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="bench.loopback", description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=HOSTS)
    parser.add_argument("--seconds", type=float, default=20.0,
                        help="span of each load")
    parser.add_argument("--probes", type=int, default=300)
    return parser


def main(argv=None):
    """Run the benchmark; return the exit code."""
    args = new_parser().parse_args(argv)
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    codes = [0]
    run = defer.Deferred.fromCoroutine(_all(reactor, args))
    run.addTimeout(MOST_S, reactor)
    run.addErrback(_failed, codes)
    run.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    return codes[0]


def _failed(fail, codes):
    fail.printTraceback(sys.stderr)
    codes[0] = 1


async def _all(reactor, args):
    from bench.loopback import processes
    for entries in args.hosts:
        processes.emit(f"hosts_{entries}.machine_load", os.getloadavg()[0],
                       f"of {os.cpu_count()} cores", 1)
        async with processes.fleet_of(reactor, entries) as fleet:
            await _one(reactor, args, fleet, f"hosts_{entries}")


async def _one(reactor, args, fleet, name):
    from bench.loopback import processes
    idle = await _phase(reactor, fleet, 0.0, args.seconds, 0)
    # The same requests a second with short and with long answers: what
    # differs is the tokens alone.
    slots = processes.ENGINES * processes.SLOTS
    rate = slots / 2 / (LONG_TOKENS * processes.TPOT_S)
    short = await _phase(
        reactor, fleet, rate, args.seconds, SHORT_TOKENS)
    probing = _probe(reactor, args, fleet, name)
    long = await _phase(
        reactor, fleet, rate, args.seconds, LONG_TOKENS, probing)
    _costs(processes.emit, name, idle, short, long)


async def _phase(reactor, fleet, rate, seconds, tokens, probing=None):
    """Run one load; return CPU seconds of all doors and the counts."""
    from bench.loopback import processes
    from tools import demo_ready
    from twisted.internet import defer
    from twisted.internet import task
    daemons = [fleet.processes[entry.name]
               for entry in fleet.plan.entries]
    before = sum(map(processes.cpu_s, daemons))
    began = reactor.seconds()
    counts = {"requests": 0, "tokens": 0, "failed": 0}
    side = defer.Deferred.fromCoroutine(probing) if probing else None
    if rate:
        load = processes.run_load(
            demo_ready.doors(fleet), rate, seconds, tokens)
        while load.poll() is None:
            await task.deferLater(reactor, 0.1)
        counts = json.loads(load.stdout.read())
    else:
        await task.deferLater(reactor, seconds)
    if side is not None:
        probed = await side
        counts = {key: counts[key] + probed[key] for key in counts}
    used = sum(map(processes.cpu_s, daemons)) - before
    return used, reactor.seconds() - began, counts


async def _probe(reactor, args, fleet, name):
    from bench.loopback import probe
    from bench.loopback import processes
    from tools import demo_fleet
    from tools import demo_ready
    from twisted.internet import task
    await task.deferLater(reactor, args.seconds / 10)
    pool = fleet.plan.pools[0]
    engines = [f"http://{demo_fleet.ADDRESS}:{pool.first_port + i}"
               for i in range(pool.count)]
    routed, direct = await probe.compare(
        reactor, demo_ready.doors(fleet), engines, args.probes)
    for share, label in ((0.5, "p50"), (0.95, "p95")):
        through = probe.percentile(routed, share)
        without = probe.percentile(direct, share)
        processes.emit(f"{name}.ttft_direct_{label}", without * 1000,
                       "ms", len(direct))
        processes.emit(f"{name}.ttft_added_{label}",
                       (through - without) * 1000, "ms", len(routed))
        processes.emit(f"{name}.ttft_ratio_{label}", through / without,
                       "ratio", len(routed))
    events = probe.PROBE_TOKENS + 2
    return {"requests": len(routed), "failed": 0,
            "tokens": len(routed) * events}


def _costs(emit, name, idle, short, long):
    """Split CPU into idle time, requests and tokens (two equations)."""
    idle_share = idle[0] / idle[1]
    emit(f"{name}.idle_cpu", 100 * idle_share, "% of a core", 1)
    rows = []
    for used, span, counts in (short, long):
        rows.append((counts["requests"], counts["tokens"],
                     used - idle_share * span))
        emit(f"{name}.failed", counts["failed"], "requests",
             counts["requests"])
    (r1, t1, c1), (r2, t2, c2) = rows
    det = r1 * t2 - r2 * t1
    a_request = (c1 * t2 - c2 * t1) / det
    a_token = (r1 * c2 - r2 * c1) / det
    emit(f"{name}.cpu_per_request", a_request * 1e6, "us", r1)
    emit(f"{name}.cpu_per_token", a_token * 1e6, "us", t2)
    emit(f"{name}.cpu_per_token_all_in", c2 / t2 * 1e6, "us", t2)


if __name__ == "__main__":
    sys.exit(main())
