"""Where work queues: what relaying costs against granting.

``python -m bench.loopback.ways`` prints JSON lines: CPU a token with
one and two relay hops, the time to first token of each, and the CPU of
a grant over a link and as a unary call.
"""

import asyncio
import contextlib
import json
import subprocess
import sys
import time

from twisted.internet import asyncioreactor

__all__ = ["main"]

SECONDS = 15.0
RATE = 15.0
TOKENS = 100
SLOTS = 64
START_S = 2.0
MOST_S = 300.0


def main():
    """Run the comparison; return the exit code."""
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    codes = [1]
    run = defer.Deferred.fromCoroutine(_all(reactor))
    run.addTimeout(MOST_S, reactor)
    run.addCallbacks(lambda _: codes.__setitem__(0, 0),
                     lambda fail: fail.printTraceback(sys.stderr))
    run.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    return codes[0]


async def _all(reactor):
    from bench.loopback import grants
    from tools import demo_fleet
    from twisted.internet import defer
    taken = set()
    ports = [demo_fleet.free_ports(1, taken) for _ in range(6)]
    with contextlib.ExitStack() as stack:
        await _hops(reactor, ports, stack)
    await defer.Deferred.fromFuture(asyncio.ensure_future(
        grants.measure(reactor, ports[3:])))


def _start(stack, module, *args):
    process = subprocess.Popen(
        [sys.executable, "-m", module, *args], stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    stack.callback(process.wait)
    stack.callback(process.terminate)
    return process


async def _hops(reactor, ports, stack):
    from twisted.internet import task
    urls = [f"http://127.0.0.1:{port}" for port in ports]
    _start(stack, "standins.engine", "--name", "llm", "--port",
           str(ports[0]), "--slots", str(SLOTS), "--models", "guide-7b:1")
    one = _start(stack, "bench.loopback.hop", "--port", str(ports[1]),
                 "--target", urls[0])
    two = _start(stack, "bench.loopback.hop", "--port", str(ports[2]),
                 "--target", urls[1])
    await task.deferLater(reactor, START_S)
    await _load(reactor, "relay.one_hop", urls[1], urls[0], [one])
    await _load(reactor, "relay.two_hops", urls[2], urls[0], [one, two])


async def _load(reactor, name, url, engine, hops):
    from bench.loopback import probe
    from bench.loopback import processes
    from twisted.internet import task
    before = sum(map(processes.cpu_s, hops))
    load = processes.run_load([url], RATE, SECONDS, TOKENS)
    routed, direct = await probe.compare(reactor, [url], [engine], 100)
    while load.poll() is None:
        await task.deferLater(reactor, 0.1)
    counts = json.loads(load.stdout.read())
    used = sum(map(processes.cpu_s, hops)) - before
    processes.emit(f"{name}.failed", counts["failed"], "requests",
                   counts["requests"])
    processes.emit(f"{name}.cpu_per_token_all_in",
                   used / counts["tokens"] * 1e6, "us", counts["tokens"])
    for share, label in ((0.5, "p50"), (0.95, "p95")):
        added = (probe.percentile(routed, share)
                 - probe.percentile(direct, share))
        processes.emit(f"{name}.ttft_added_{label}", added * 1000, "ms",
                       len(routed))


if __name__ == "__main__":
    sys.exit(main())
