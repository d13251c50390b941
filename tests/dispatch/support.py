"""A dispatcher with stand-in doors and engines on a clock of its own."""

import collections
import dataclasses

from crocuskeel.core import backends
from crocuskeel.core import dispatch
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import factory
from crocuskeel.core import messages
from crocuskeel.core import quarantine
from crocuskeel.core import state

__all__ = ["CELL", "Bench", "advance", "ask", "cell_of", "crash", "finish",
           "new_bench", "receive", "report"]

SERVICE = "guide-llm"
CELL = "guide-llm/0"
ME = "entry-0"
TICK = events.TimerFired(("dispatch", "tick"))


@dataclasses.dataclass
class Bench:
    """A dispatcher and what its doors know.

    By (rid, attempt): ``asked`` holds what was enqueued, ``running`` the
    grants in use, ``refused`` the refusals. ``boots`` counts engines'
    crashes.
    """

    daemon: state.Daemon
    engines: tuple
    now: float = 0.0
    asked: dict = dataclasses.field(default_factory=dict)
    running: dict = dataclasses.field(default_factory=dict)
    refused: dict = dataclasses.field(default_factory=dict)
    boots: collections.Counter = dataclasses.field(
        default_factory=collections.Counter)


def host_list(engines, at=1, leaving=()):
    """Return the event of a host list with these engines."""
    listed = tuple(
        messages.Backend(name, SERVICE, f"http://{name}", f"domain-{index}",
                         leaving=name in leaving)
        for index, name in enumerate(engines))
    return events.HostListSeen(at, (), listed)


def new_bench(count=2, settled=True, limits=None):
    """Return a dispatcher of one cell with ``count`` engines."""
    identity = state.Identity(
        "test", ME, "domain-0", "region", "127.0.0.1", 7000, 8000, 1)
    daemon = factory.new_daemon(identity, limits)
    engines = tuple(f"engine-{index}" for index in range(count))
    bench = Bench(daemon, engines)
    deliver(bench, host_list(engines))
    if settled:
        receive(bench, messages.Reregister(CELL))
        advance(bench, 1.0)
    return bench


def cell_of(bench):
    """Return the dispatcher's cell."""
    return bench.daemon.dispatch.cells[CELL]


def deliver(bench, event):
    """Reduce an event; grants start, refusals end; return effects."""
    out = []
    for concern in (backends, quarantine, dispatch):
        out += concern.handle(bench.daemon, event, bench.now)
    for effect in out:
        if type(effect) is effects.Send:
            _take(bench, effect.message)
    return out


def _take(bench, message):
    key = (getattr(message, "rid", ""), getattr(message, "attempt", 0))
    if type(message) is messages.Grant:
        bench.running[key] = message
    elif type(message) is messages.Refusal:
        bench.refused[key] = message


def receive(bench, message, door=ME):
    """Deliver a message of a door; return effects."""
    return deliver(bench, events.Received(door, 1, message))


def advance(bench, span):
    """Let time pass; the dispatcher ticks at the end of it."""
    bench.now += span
    return deliver(bench, TICK)


def ask(bench, rid, attempt=1, **fields):
    """Enqueue an attempt; return effects."""
    defaults = dict(service=SERVICE, class_name="guide", workspace="swan",
                    tier=1, max_tokens=100, deadline_in_s=1000.0)
    entry = messages.Enqueue(rid, attempt, CELL, **{**defaults, **fields})
    bench.asked[(rid, attempt)] = entry
    return receive(bench, entry)


def finish(bench, key, end="done", tokens=50):
    """End a granted attempt; return effects."""
    grant = bench.running.pop(key)
    done = messages.Released(
        *key, CELL, grant.engine, end, tokens, 0.1, 0.02,
        bench.asked[key].fingerprint)
    return receive(bench, done)


def report(bench):
    """All engines report their load."""
    for name in bench.engines:
        running = sum(grant.engine == name
                      for grant in bench.running.values())
        deliver(bench, events.EngineLoadSeen(
            name, True, f"boot-{bench.boots[name]}", running))


def crash(bench, engine):
    """All attempts on the engine are lost; return their keys."""
    bench.boots[engine] += 1
    lost = [key for key, grant in bench.running.items()
            if grant.engine == engine]
    for key in lost:
        finish(bench, key, "broken")
    return lost
