"""One caller that times its streams, through a door or directly."""

import dataclasses
import itertools
import json
import random
import uuid

import treq.client
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import task
from twisted.web import client as web_client

__all__ = ["Seen", "compare", "new_http", "percentile", "stream"]

CLASS = "trip-planning"
TOKEN = "south-coast-chain-token"
MOST_PAUSE_S = 0.04
SEED = 1
MOST_S = 10.0
PROBE_TOKENS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What a caller saw of a stream; spans in seconds."""

    ttft_s: float
    events: int


class _Reader(protocol.Protocol):
    """Counts events and notes the time of the first."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.first_at = 0.0
        self.events = 0
        self.done = defer.Deferred()

    def dataReceived(self, data):
        self.first_at = self.first_at or self.reactor.seconds()
        self.events += data.count(b"\n\n")

    def connectionLost(self, reason=protocol.connectionDone):
        if reason.check(web_client.ResponseDone):
            self.done.callback(None)
        else:
            self.done.errback(reason)


def new_http(reactor):
    """Return a client that keeps its connections."""
    pool = web_client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 200
    return treq.client.HTTPClient(web_client.Agent(reactor, pool=pool))


async def stream(reactor, http, base, text, tokens):
    """Ask for a stream of ``tokens``; returns what was :class:`Seen`."""
    body = json.dumps({
        "model": "guide-7b", "stream": True, "stop_after": tokens,
        "messages": [{"role": "user", "content": text}]}).encode()
    began = reactor.seconds()
    rsp = await http.post(
        f"{base}/v1/chat/completions", data=body, unbuffered=True,
        reactor=reactor, headers={
            "Authorization": f"Bearer {TOKEN}",
            "X-Crocuskeel-Class": CLASS,
            "X-Request-Id": uuid.uuid4().hex,
            "Content-Type": "application/json"})
    if rsp.code != 200:
        raise RuntimeError(f"{rsp.code} {await treq.content(rsp)}")
    reader = _Reader(reactor)
    rsp.deliverBody(reader)
    await reader.done
    return Seen(reader.first_at - began, reader.events)


async def compare(reactor, doors, engines, count):
    """Time ``count`` pairs of streams: routed and direct, in turn.

    Returns two lists of seconds to the first token.
    """
    # Engines work in steps: at a fixed pace each probe would meet the
    # same part of a step, and a small delay could cost a whole one.
    rng = random.Random(SEED)
    http = new_http(reactor)
    routed = []
    direct = []
    places = zip(itertools.cycle(doors), itertools.cycle(engines))
    for number, (door, engine) in zip(range(count), places):
        for base, out in ((door, routed), (engine, direct)):
            fut = defer.Deferred.fromCoroutine(stream(
                reactor, http, base, f"probe {number}", PROBE_TOKENS))
            fut.addTimeout(MOST_S, reactor)
            out.append((await fut).ttft_s)
            pause_s = rng.uniform(0.0, MOST_PAUSE_S)
            await task.deferLater(reactor, pause_s)
    return routed, direct


def percentile(values, share):
    """Return the value below which ``share`` of the values are."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
