"""Load generator: streams of a fixed length at a constant rate.

Prints one JSON line with the counts of requests, tokens and failures.
"""

import argparse
import itertools
import json
import time

from twisted.internet import asyncioreactor

__all__ = ["main"]

CLASS = "trip-planning"
TOKEN = "south-coast-chain-token"
STREAM_TIMEOUT_S = 60.0


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--tokens", type=int, required=True)
    parser.add_argument("doors", nargs="+")
    return parser


def main():
    """Run the load that the command line describes."""
    args = new_parser().parse_args()
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    counts = {"requests": 0, "tokens": 0, "failed": 0}
    run = defer.Deferred.fromCoroutine(_run(reactor, args, counts))
    run.addErrback(lambda failure: failure.printTraceback())
    run.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    print(json.dumps(counts))


async def _run(reactor, args, counts):
    from bench.loopback import probe
    from twisted.internet import defer
    from twisted.internet import task
    http = probe.new_http(reactor)
    entry_urls = itertools.cycle(args.doors)
    pending_streams = []
    total = int(args.rate * args.seconds)
    started_at = reactor.seconds()
    for number in range(total):
        delay_s = started_at + number / args.rate - reactor.seconds()
        await task.deferLater(reactor, max(0.0, delay_s))
        deferred = defer.Deferred.fromCoroutine(probe.stream(
            reactor, http, next(entry_urls), f"load {number}", args.tokens))
        deferred.addTimeout(STREAM_TIMEOUT_S, reactor)
        deferred.addCallbacks(lambda result: _record_success(counts, result),
                              lambda _: _record_failure(counts))
        pending_streams.append(deferred)
    await defer.gatherResults(pending_streams)


def _record_success(counts, result):
    counts["requests"] += 1
    counts["tokens"] += result.events


def _record_failure(counts):
    counts["failed"] += 1


if __name__ == "__main__":
    main()
