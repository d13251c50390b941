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
    """The state of the runtime.

    ``now()`` returns monotonic seconds, ``wall_clock()`` Unix seconds;
    ``platform`` is an Object API client, ``http`` a treq client without
    a connection pool. ``cached_common`` is the digest and the value of
    the common settings part that was read last.
    """

    reactor: typing.Any
    now: typing.Callable[[], float]
    wall_clock: typing.Callable[[], float]
    state: typing.Any
    platform: typing.Any
    http: typing.Any
    on_exit: typing.Callable[[], None]
    incarnation: int
    clock: hlc.Clock
    event_queue: collections.deque
    handling_event: bool = False
    stopped: bool = False
    cached_common: tuple[str, typing.Any] = ("", None)


def new_context(reactor, now, wall_clock, state, platform, http, on_exit):
    """Return a runtime that is not started.

    Its incarnation is the time of the start in milliseconds.
    """
    return Context(
        reactor=reactor, now=now, wall_clock=wall_clock, state=state,
        platform=platform, http=http, on_exit=on_exit,
        incarnation=int(wall_clock() * 1000), clock=hlc.new_clock(),
        event_queue=collections.deque())


def record(ctx, effect):
    """Write a timeline event as a line of JSON."""
    unix_s = ctx.wall_clock()
    timestamp = ctx.clock.tick(unix_s * 1000)
    event = {
        "ts": round(unix_s, 6),
        "hlc": [timestamp.ms, timestamp.count],
        "host": ctx.state.cfg.host,
        "incarnation": ctx.incarnation,
        "generation": ctx.state.generation,
        "kind": effect.kind,
        "rid": "",
        "fields": {"program": "control", **dict(effect.fields)},
    }
    logger.bind(line=json.dumps(event)).info("")
