"""Generates a mixed load of several request classes and workspaces."""

import dataclasses
import random

from twisted.internet import defer
from twisted.internet import task

from crocuskeel import conf
from tools import demo_report
from tools.faults import callers

__all__ = ["LoadGenerator", "TRAFFIC_CLASSES", "TrafficClass",
           "new_generator", "run", "send", "send_poison",
           "wait_for_verdicts"]

CALLER_COUNT = 12
PLAIN_SERVICE = "hire-desk"


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficClass:
    """A request class and its share of the load.

    ``service`` is set for requests to a plain service.
    """

    class_name: str
    tier: int
    share: float
    service: str = ""
    max_tokens: int = 150


TRAFFIC_CLASSES = (
    TrafficClass("ramp-briefing", 1, 0.15),
    TrafficClass("safety-question", 1, 0.15),
    TrafficClass("launch-confirmation", 1, 0.25, PLAIN_SERVICE),
    TrafficClass("boat-return", 2, 0.15, PLAIN_SERVICE),
    TrafficClass("trip-planning", 2, 0.15),
    TrafficClass("waiver-summary", 3, 0.15),
)


@dataclasses.dataclass(slots=True)
class LoadGenerator:
    """State of the generator; ``requests`` are all that were sent."""

    reactor: object
    rng: random.Random
    callers: list
    tree: object
    rate: float
    running: bool = True
    requests: list = dataclasses.field(default_factory=list)


def new_generator(reactor, http, entry_urls, tree, rate, seed=1):
    """Return a generator with callers drawn by workspace weight."""
    rng = random.Random(seed)
    weight_by_workspace = demo_report.workspace_weights(tree)
    names, weights = zip(*sorted(weight_by_workspace.items()))
    load_callers = [
        callers.new_caller(reactor, http, entry_urls, name, f"{seed}/{i}")
        for i, name in enumerate(
            rng.choices(names, weights, k=CALLER_COUNT))]
    return LoadGenerator(reactor, rng, load_callers, tree, rate)


async def run(generator):
    """Send at random intervals until ``generator.running`` is False."""
    shares = [traffic.share for traffic in TRAFFIC_CLASSES]
    while generator.running:
        traffic = generator.rng.choices(TRAFFIC_CLASSES, shares)[0]
        send(generator, traffic)
        await task.deferLater(
            generator.reactor, generator.rng.expovariate(generator.rate))


def send(generator, traffic, prompt="", key="", caller=None):
    """Start sending one request; return its :class:`callers.Request`."""
    number = len(generator.requests)
    key = key or f"k{number}"
    caller = caller or generator.rng.choice(generator.callers)
    policy = conf.resolve(generator.tree, caller.workspace, traffic.class_name)
    request = callers.Request(
        key, traffic.class_name, caller.workspace, traffic.service,
        prompt or f"{key} {traffic.class_name} " + "tide and wind " * 20,
        traffic.max_tokens, policy.deadline_s,
        retries_refusals=generator.rng.random() < 0.7)
    generator.requests.append(request)
    defer.Deferred.fromCoroutine(callers.perform(caller, request))
    return request


def send_poison(generator, prompt, number):
    """Send a poison request from the next caller, with a new key."""
    caller = generator.callers[number % len(generator.callers)]
    return send(generator, TRAFFIC_CLASSES[1], prompt, f"{prompt}#{number}",
                caller)


async def wait_for_verdicts(generator, timeout_s):
    """Stop sending; wait until all requests have a verdict, or time out."""
    generator.running = False
    deadline = generator.reactor.seconds() + timeout_s
    while generator.reactor.seconds() < deadline:
        if all(request.verdict for request in generator.requests):
            return
        await task.deferLater(generator.reactor, 0.1)
