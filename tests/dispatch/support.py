"""A dispatcher with simulated entry hosts, engines and clock."""

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
from tests import liveness

__all__ = ["CELL", "Harness", "advance", "cell_of", "crash_engine",
           "end_attempt", "enqueue", "new_harness", "receive",
           "report_loads"]

SERVICE = "guide-llm"
CELL = "guide-llm/0"
LOCAL_HOST = "entry-0"
TICK = events.TimerFired(("dispatch", "tick"))


@dataclasses.dataclass
class Harness:
    """A dispatcher and the state of its entry hosts.

    By (rid, attempt), ``enqueued`` holds the enqueued attempts, ``running``
    the grants in use and ``refused`` the refusals. ``crash_counts`` counts
    the crashes of each engine. ``timers`` holds the keys of pending timers.
    """

    daemon: state.Daemon
    engines: tuple
    now: float = 0.0
    enqueued: dict = dataclasses.field(default_factory=dict)
    running: dict = dataclasses.field(default_factory=dict)
    refused: dict = dataclasses.field(default_factory=dict)
    crash_counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter)
    timers: set = dataclasses.field(default_factory=lambda: {TICK.key})


def host_list(engines, at=1, leaving=()):
    """Return a host list event with these engines."""
    listed = tuple(
        messages.Backend(name, SERVICE, f"http://{name}", f"domain-{index}",
                         leaving=name in leaving)
        for index, name in enumerate(engines))
    return events.HostListSeen(at, (), listed)


def new_harness(count=2, is_settled=True, limits=None):
    """Return a dispatcher of one cell with ``count`` engines."""
    identity = state.Identity(
        "test", LOCAL_HOST, "domain-0", "region", "127.0.0.1", 7000, 8000, 1)
    daemon = factory.new_daemon(identity, limits)
    engines = tuple(f"engine-{index}" for index in range(count))
    harness = Harness(daemon, engines)
    deliver(harness, host_list(engines))
    if is_settled:
        receive(harness, messages.Reregister(CELL))
        advance(harness, 1.0)
    return harness


def cell_of(harness):
    """Return the dispatcher's cell."""
    return harness.daemon.dispatch.cells[CELL]


def deliver(harness, event):
    """Handle an event, record grants and refusals; return effects."""
    out = []
    if type(event) is events.TimerFired:
        harness.timers.discard(event.key)
    for component in (backends, quarantine, dispatch):
        out += component.handle(harness.daemon, event, harness.now)
    for effect in out:
        if type(effect) is effects.Send:
            _record_reply(harness, effect.message)
        elif type(effect) is effects.SetTimer:
            harness.timers.add(effect.key)
    _check_liveness(harness)
    return out


def _check_liveness(harness):
    """Check that waiting and running attempts are looked at again."""
    waiting = {}
    for cell in harness.daemon.dispatch.cells.values():
        for key in [*cell.waiting, *cell.suspects, *cell.running]:
            waiting[key] = {TICK.key}
    liveness.check("dispatch", waiting, harness.timers)


def _record_reply(harness, message):
    key = (getattr(message, "rid", ""), getattr(message, "attempt", 0))
    if type(message) is messages.Grant:
        harness.running[key] = message
    elif type(message) is messages.Refusal:
        harness.refused[key] = message


def receive(harness, message, sender=LOCAL_HOST):
    """Deliver a message of an entry host; return effects."""
    return deliver(harness, events.Received(sender, 1, message))


def advance(harness, span):
    """Advance the clock, then tick the dispatcher; return effects."""
    harness.now += span
    return deliver(harness, TICK)


def enqueue(harness, rid, attempt=1, **fields):
    """Enqueue an attempt; return effects."""
    defaults = dict(service=SERVICE, class_name="guide", workspace="swan",
                    tier=1, max_tokens=100, deadline_in_s=1000.0)
    message = messages.Enqueue(rid, attempt, CELL, **{**defaults, **fields})
    harness.enqueued[(rid, attempt)] = message
    return receive(harness, message)


def end_attempt(harness, key, end="done", tokens=50):
    """End a granted attempt; return effects."""
    grant = harness.running.pop(key)
    released = messages.Released(
        *key, CELL, grant.engine, end, tokens, 0.1, 0.02,
        harness.enqueued[key].fingerprint)
    return receive(harness, released)


def report_loads(harness):
    """Deliver a load report of every engine."""
    for name in harness.engines:
        running = sum(grant.engine == name
                      for grant in harness.running.values())
        deliver(harness, events.EngineLoadSeen(
            name, True, f"boot-{harness.crash_counts[name]}", running))


def crash_engine(harness, engine):
    """Lose all attempts on an engine; return their keys."""
    harness.crash_counts[engine] += 1
    lost = [key for key, grant in harness.running.items()
            if grant.engine == engine]
    for key in lost:
        end_attempt(harness, key, "broken")
    return lost
