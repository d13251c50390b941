"""State of the control daemon's runtime."""

import collections
import dataclasses
import json
import typing

from loguru import logger

from crocuskeel.timeline import hlc

__all__ = ["Context", "new_context", "record"]


@dataclasses.dataclass(slots=True)
class Context:
    """What the runtime holds.

    ``now()`` returns monotonic seconds, ``wall()`` Unix seconds;
    ``http`` is a treq client without a connection pool. ``common`` is
    the digest and value of the settings part that was read last.
    """

    reactor: typing.Any
    now: typing.Callable[[], float]
    wall: typing.Callable[[], float]
    state: typing.Any
    platform: typing.Any
    http: typing.Any
    on_exit: typing.Callable[[], None]
    incarnation: int
    clock: hlc.Clock
    queue: collections.deque
    reducing: bool = False
    stopped: bool = False
    common: tuple[str, typing.Any] = ("", None)


def new_context(reactor, now, wall, state, platform, http, on_exit):
    """Return a runtime that is not started.

    The incarnation is the time of the start in milliseconds.
    """
    return Context(
        reactor=reactor, now=now, wall=wall, state=state,
        platform=platform, http=http, on_exit=on_exit,
        incarnation=int(wall() * 1000), clock=hlc.new_clock(),
        queue=collections.deque())


def record(ctx, effect):
    """Write an event of the time line, a JSON line."""
    wall = ctx.wall()
    when = ctx.clock.tick(wall * 1000)
    event = {
        "ts": round(wall, 6),
        "hlc": [when.ms, when.count],
        "host": ctx.state.cfg.host,
        "incarnation": ctx.incarnation,
        "generation": ctx.state.generation,
        "kind": effect.kind,
        "rid": "",
        "fields": {"program": "control", **dict(effect.fields)},
    }
    logger.bind(line=json.dumps(event)).info("")
