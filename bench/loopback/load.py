"""Load process: streams of a fixed length at a steady rate.

Prints one JSON line: requests, tokens, failed.
"""

import argparse
import itertools
import json
import time

from twisted.internet import asyncioreactor

__all__ = ["main"]

CLASS = "trip-planning"
TOKEN = "south-coast-chain-token"
WAIT_S = 60.0


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--tokens", type=int, required=True)
    parser.add_argument("doors", nargs="+")
    return parser


def main():
    """Run the load of the command line."""
    args = new_parser().parse_args()
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    counts = {"requests": 0, "tokens": 0, "failed": 0}
    run = defer.Deferred.fromCoroutine(_run(reactor, args, counts))
    run.addErrback(lambda fail: fail.printTraceback())
    run.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    print(json.dumps(counts))


async def _run(reactor, args, counts):
    from bench.loopback import probe
    from twisted.internet import defer
    from twisted.internet import task
    http = probe.new_http(reactor)
    doors = itertools.cycle(args.doors)
    waiting = []
    total = int(args.rate * args.seconds)
    began = reactor.seconds()
    for number in range(total):
        due = began + number / args.rate - reactor.seconds()
        await task.deferLater(reactor, max(0.0, due))
        fut = defer.Deferred.fromCoroutine(probe.stream(
            reactor, http, next(doors), f"load {number}", args.tokens))
        fut.addTimeout(WAIT_S, reactor)
        fut.addCallbacks(lambda seen: _count(counts, seen),
                         lambda _: _failed(counts))
        waiting.append(fut)
    await defer.gatherResults(waiting)


def _count(counts, seen):
    counts["requests"] += 1
    counts["tokens"] += seen.events


def _failed(counts):
    counts["failed"] += 1


if __name__ == "__main__":
    main()
