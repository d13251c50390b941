"""Reads load and cache reports of the engines this host dispatches."""

import dataclasses
import json

from twisted.internet import defer

from crocuskeel.core import backends
from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.core import placement
from crocuskeel.runtime import bodies
from crocuskeel.runtime import http_client
from crocuskeel.runtime import loop


__all__ = ["Polls", "new_polls", "start"]

LOAD_EVERY_S = 1.0
CACHE_EVERY = 2
ANSWER_S = 2.0
MAX_REPORT_BYTES = 256 * 1024
MAX_CACHE_EVENTS = 2000


@dataclasses.dataclass(slots=True)
class Polls:
    """``cache_at`` is the next cache event wanted, by engine."""

    rounds: int = 0
    running: set = dataclasses.field(default_factory=set)
    cache_at: dict = dataclasses.field(default_factory=dict)


def new_polls():
    """Return the state of polling before its first round."""
    return Polls()


def start(ctx):
    """Poll from now on."""
    ctx.reactor.callLater(LOAD_EVERY_S, _round, ctx)


def _round(ctx):
    ctx.reactor.callLater(LOAD_EVERY_S, _round, ctx)
    polls = ctx.polls
    polls.rounds += 1
    for engine in _own_engines(ctx):
        if engine.name in polls.running:
            continue
        polls.running.add(engine.name)
        fut = defer.Deferred.fromCoroutine(_poll(ctx, engine))
        fut.addBoth(lambda _, name=engine.name:
                    polls.running.discard(name))


def _own_engines(ctx):
    daemon = ctx.daemon
    live = membership.live(daemon)
    for cell, names in daemon.backends.cells.items():
        if placement.owner(cell, live) != daemon.me.host:
            continue
        for name in names:
            engine = backends.get(daemon, name)
            if engine is not None:
                yield engine


async def _poll(ctx, engine):
    report = await _read(ctx, engine, "/load")
    loop.feed(ctx, _load_event(engine, report))
    if engine.kind == "engine" and ctx.polls.rounds % CACHE_EVERY == 0:
        await _poll_cache(ctx, engine)


def _load_event(engine, report):
    try:
        return events.EngineLoadSeen(
            engine.name, True, str(report["boot_id"]),
            int(report["running"]), int(report["waiting"]),
            int(report["slots"]), float(report["kv_used"]))
    except (KeyError, TypeError, ValueError):
        return events.EngineLoadSeen(engine.name, False)


async def _poll_cache(ctx, engine):
    after = ctx.polls.cache_at.get(engine.name, 0)
    report = await _read(ctx, engine, f"/cache/events?after={after}")
    try:
        rows = report["events"][:MAX_CACHE_EVENTS]
        stored = tuple(int(row["prefix"], 16) for row in rows
                       if row["op"] == "stored")
        removed = tuple(int(row["prefix"], 16) for row in rows
                        if row["op"] == "removed")
        ctx.polls.cache_at[engine.name] = int(report["next"])
    except (KeyError, TypeError, ValueError):
        return
    if stored or removed:
        loop.feed(ctx, events.EngineCacheSeen(
            engine.name, stored, removed))


async def _read(ctx, engine, path):
    fut = http_client.request(ctx, engine.url, "GET", engine.url + path)
    fut.addCallback(_content)
    fut.addTimeout(ANSWER_S, ctx.reactor)
    try:
        return json.loads(await fut)
    except defer.TimeoutError:
        # Found silent by a poll, an idle connection costs no caller.
        http_client.retire(ctx, engine.url)
        return None
    except Exception:
        return None


def _content(rsp):
    return defer.Deferred.fromCoroutine(
        bodies.read(rsp, MAX_REPORT_BYTES))
