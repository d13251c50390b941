"""The mixed load: who asks what, how often."""

import dataclasses
import random

from twisted.internet import defer
from twisted.internet import task

from crocuskeel import conf
from tools import demo_report
from tools.faults import callers

__all__ = ["CLASSES", "Load", "Mix", "finish", "new_load", "poison",
           "run", "send"]

DESKS = 12
PLAIN = "hire-desk"


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """A class and its share; ``service`` if it is a booking's."""

    class_name: str
    tier: int
    share: float
    service: str = ""
    max_tokens: int = 150


CLASSES = (
    Mix("ramp-briefing", 1, 0.15),
    Mix("safety-question", 1, 0.15),
    Mix("launch-confirmation", 1, 0.25, PLAIN),
    Mix("boat-return", 2, 0.15, PLAIN),
    Mix("trip-planning", 2, 0.15),
    Mix("waiver-summary", 3, 0.15),
)


@dataclasses.dataclass(slots=True)
class Load:
    """State of the generator; ``asks`` has all requests ever sent."""

    reactor: object
    rng: random.Random
    desks: list
    tree: object
    rate: float
    on: bool = True
    asks: list = dataclasses.field(default_factory=list)


def new_load(reactor, http, doors, tree, rate, seed=1):
    """Return a load of some desks, spread over the workspaces."""
    rng = random.Random(seed)
    weighted = demo_report.weights(tree)
    names, weights = zip(*sorted(weighted.items()))
    desks = [callers.new_desk(reactor, http, doors, name, f"{seed}/{i}")
             for i, name in enumerate(rng.choices(names, weights, k=DESKS))]
    return Load(reactor, rng, desks, tree, rate)


async def run(load):
    """Send at random gaps until ``load.on`` is False."""
    shares = [mix.share for mix in CLASSES]
    while load.on:
        mix = load.rng.choices(CLASSES, shares)[0]
        send(load, mix)
        await task.deferLater(
            load.reactor, load.rng.expovariate(load.rate))


def send(load, mix, prompt="", key="", desk=None):
    """Send one request; return its :class:`callers.Ask`."""
    number = len(load.asks)
    key = key or f"k{number}"
    desk = desk or load.rng.choice(load.desks)
    policy = conf.resolve(load.tree, desk.workspace, mix.class_name)
    ask = callers.Ask(
        key, mix.class_name, desk.workspace, mix.service,
        prompt or f"{key} {mix.class_name} " + "tide and wind " * 20,
        mix.max_tokens, policy.deadline_s,
        patient=load.rng.random() < 0.7)
    load.asks.append(ask)
    defer.Deferred.fromCoroutine(callers.perform(desk, ask))
    return ask


def poison(load, prompt, number):
    """Send a poison request from the next desk; a key of its own."""
    desk = load.desks[number % len(load.desks)]
    return send(load, CLASSES[1], prompt, f"{prompt}#{number}", desk)


async def finish(load, span_s):
    """Wait for all answers, at most so long."""
    load.on = False
    ends = load.reactor.seconds() + span_s
    while load.reactor.seconds() < ends:
        if all(ask.verdict for ask in load.asks):
            return
        await task.deferLater(load.reactor, 0.1)
