"""Compares the costs of two request paths: relaying and granting.

``python -m bench.loopback.ways`` prints JSON lines: the CPU time per
token with one and two relay hops, the time to first token of each, and
the CPU time of a grant over a link and as a unary call.
"""

import asyncio
import contextlib
import json
import subprocess
import sys
import time

from twisted.internet import asyncioreactor

__all__ = ["main"]

LOAD_S = 15.0
RATE = 15.0
TOKENS = 100
SLOTS = 64
STARTUP_S = 2.0
RUN_TIMEOUT_S = 300.0


def main():
    """Run the comparison; return the exit code."""
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    exit_codes = [1]
    run = defer.Deferred.fromCoroutine(_run_all(reactor))
    run.addTimeout(RUN_TIMEOUT_S, reactor)
    run.addCallbacks(lambda _: exit_codes.__setitem__(0, 0),
                     lambda failure: failure.printTraceback(sys.stderr))
    run.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    return exit_codes[0]


async def _run_all(reactor):
    from bench.loopback import grants
    from tools import demo_fleet
    from twisted.internet import defer
    used_ports = set()
    ports = [demo_fleet.free_ports(1, used_ports) for _ in range(6)]
    with contextlib.ExitStack() as stack:
        await _measure_hops(reactor, ports, stack)
    await defer.Deferred.fromFuture(asyncio.ensure_future(
        grants.measure(reactor, ports[3:])))


def _start_process(stack, module, *args):
    process = subprocess.Popen(
        [sys.executable, "-m", module, *args], stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    stack.callback(process.wait)
    stack.callback(process.terminate)
    return process


async def _measure_hops(reactor, ports, stack):
    from twisted.internet import task
    urls = [f"http://127.0.0.1:{port}" for port in ports]
    _start_process(
        stack, "standins.engine", "--name", "llm", "--port", str(ports[0]),
        "--slots", str(SLOTS), "--models", "guide-7b:1")
    first_hop = _start_process(
        stack, "bench.loopback.hop", "--port", str(ports[1]), "--target",
        urls[0])
    second_hop = _start_process(
        stack, "bench.loopback.hop", "--port", str(ports[2]), "--target",
        urls[1])
    await task.deferLater(reactor, STARTUP_S)
    await _measure_load(
        reactor, "relay.one_hop", urls[1], urls[0], [first_hop])
    await _measure_load(
        reactor, "relay.two_hops", urls[2], urls[0], [first_hop, second_hop])


async def _measure_load(reactor, name, url, engine, hops):
    from bench.loopback import probe
    from bench.loopback import processes
    from twisted.internet import task
    before = sum(map(processes.cpu_s, hops))
    load = processes.run_load([url], RATE, LOAD_S, TOKENS)
    routed, direct = await probe.compare(reactor, [url], [engine], 100)
    while load.poll() is None:
        await task.deferLater(reactor, 0.1)
    counts = json.loads(load.stdout.read())
    cpu_used_s = sum(map(processes.cpu_s, hops)) - before
    processes.emit(f"{name}.failed", counts["failed"], "requests",
                   counts["requests"])
    processes.emit(f"{name}.cpu_per_token_all_in",
                   cpu_used_s / counts["tokens"] * 1e6, "us", counts["tokens"])
    for quantile, label in ((0.5, "p50"), (0.95, "p95")):
        added_s = (probe.percentile(routed, quantile)
                   - probe.percentile(direct, quantile))
        processes.emit(f"{name}.ttft_added_{label}", added_s * 1000, "ms",
                       len(routed))


if __name__ == "__main__":
    sys.exit(main())
