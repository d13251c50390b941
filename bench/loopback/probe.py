"""A caller that times its streams, through an entry host or directly."""

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

__all__ = ["StreamTiming", "compare", "new_http", "percentile", "stream"]

CLASS = "trip-planning"
TOKEN = "south-coast-chain-token"
MAX_PAUSE_S = 0.04
SEED = 1
STREAM_TIMEOUT_S = 10.0
PROBE_TOKENS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class StreamTiming:
    """A caller's measurements of a stream; times in seconds."""

    ttft_s: float
    events: int


class _EventCounter(protocol.Protocol):
    """Counts events and records the time of the first one."""

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
    """Return a client with persistent connections."""
    pool = web_client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 200
    return treq.client.HTTPClient(web_client.Agent(reactor, pool=pool))


async def stream(reactor, http, base_url, text, tokens):
    """Request a stream of ``tokens``; return its :class:`StreamTiming`."""
    body = json.dumps({
        "model": "guide-7b", "stream": True, "stop_after": tokens,
        "messages": [{"role": "user", "content": text}]}).encode()
    started_at = reactor.seconds()
    response = await http.post(
        f"{base_url}/v1/chat/completions", data=body, unbuffered=True,
        reactor=reactor, headers={
            "Authorization": f"Bearer {TOKEN}",
            "X-Crocuskeel-Class": CLASS,
            "X-Request-Id": uuid.uuid4().hex,
            "Content-Type": "application/json"})
    if response.code != 200:
        raise RuntimeError(f"{response.code} {await treq.content(response)}")
    counter = _EventCounter(reactor)
    response.deliverBody(counter)
    await counter.done
    return StreamTiming(counter.first_at - started_at, counter.events)


async def compare(reactor, entry_urls, engine_urls, count):
    """Time ``count`` pairs of streams, alternating routed and direct.

    Returns two lists of times to first token, in seconds.
    """
    # Engines work in steps: probes at a fixed interval would all arrive in
    # the same phase of a step, where a small delay can cost a whole step.
    # Random pauses avoid that.
    rng = random.Random(SEED)
    http = new_http(reactor)
    routed = []
    direct = []
    targets = zip(itertools.cycle(entry_urls), itertools.cycle(engine_urls))
    for number, (entry_url, engine_url) in zip(range(count), targets):
        for base_url, samples in ((entry_url, routed), (engine_url, direct)):
            deferred = defer.Deferred.fromCoroutine(stream(
                reactor, http, base_url, f"probe {number}", PROBE_TOKENS))
            deferred.addTimeout(STREAM_TIMEOUT_S, reactor)
            samples.append((await deferred).ttft_s)
            pause_s = rng.uniform(0.0, MAX_PAUSE_S)
            await task.deferLater(reactor, pause_s)
    return routed, direct


def percentile(values, quantile):
    """Return the value below which a ``quantile`` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
