"""Polls load and cache reports of the engines this host dispatches."""

import dataclasses
import math

from twisted.internet import defer

from crocuskeel.core import backends
from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.core import placement
from crocuskeel import decoding
from crocuskeel.runtime import http_client
from crocuskeel.runtime import loop
from crocuskeel.runtime import response_bodies


__all__ = ["Polls", "new_polls", "start"]

LOAD_INTERVAL_S = 1.0
CACHE_POLL_ROUNDS = 2
RESPONSE_TIMEOUT_S = 2.0
MAX_REPORT_BYTES = 256 * 1024
MAX_CACHE_EVENTS = 2000
# Bounds of what a report may claim.
MAX_COUNT = 2 ** 53
MAX_TEXT_CHARS = 253


@dataclasses.dataclass(slots=True)
class Polls:
    """``next_cache_event`` maps an engine to the next event to fetch."""

    rounds: int = 0
    in_progress: set = dataclasses.field(default_factory=set)
    next_cache_event: dict = dataclasses.field(default_factory=dict)


def new_polls():
    """Return the state of polling before its first round."""
    return Polls()


def start(ctx):
    """Start polling."""
    ctx.reactor.callLater(LOAD_INTERVAL_S, _poll_round, ctx)


def _poll_round(ctx):
    ctx.reactor.callLater(LOAD_INTERVAL_S, _poll_round, ctx)
    polls = ctx.polls
    polls.rounds += 1
    for engine in _own_engines(ctx):
        if engine.name in polls.in_progress:
            continue
        polls.in_progress.add(engine.name)
        deferred = defer.Deferred.fromCoroutine(_poll(ctx, engine))
        deferred.addBoth(lambda _, name=engine.name:
                         polls.in_progress.discard(name))


def _own_engines(ctx):
    daemon = ctx.daemon
    live = membership.live(daemon)
    for cell, names in daemon.backends.cells.items():
        if placement.owner(cell, live) != daemon.identity.host:
            continue
        for name in names:
            engine = backends.get(daemon, name)
            if engine is not None:
                yield engine


async def _poll(ctx, engine):
    report = await _fetch_report(ctx, engine, "/load")
    loop.feed(ctx, _load_event(engine, report))
    if engine.kind == "engine" and ctx.polls.rounds % CACHE_POLL_ROUNDS == 0:
        await _poll_cache(ctx, engine)


def _load_event(engine, report):
    try:
        return events.EngineLoadSeen(
            engine.name, True, _text(report["boot_id"]),
            _count(report["running"]), _count(report["waiting"]),
            _count(report["slots"]), _share(report["kv_used"]))
    except decoding.DECODING_ERRORS:
        return events.EngineLoadSeen(engine.name, False)


def _text(value):
    """Return a short text, or a number as one; raises ValueError."""
    if type(value) is int:
        value = str(value)
    if not (isinstance(value, str) and len(value) <= MAX_TEXT_CHARS
            and value.isprintable()):
        raise ValueError("not a short text")
    return value


def _count(value):
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise ValueError("not a count")
    return value


def _share(value):
    if type(value) not in (int, float) or not (
            math.isfinite(value) and 0 <= value <= MAX_COUNT):
        raise ValueError("not a share")
    return float(value)


def _prefix(text):
    key = int(text, 16)
    if not 0 <= key < 1 << 64:
        raise ValueError("prefix out of range")
    return key


async def _poll_cache(ctx, engine):
    after = ctx.polls.next_cache_event.get(engine.name, 0)
    report = await _fetch_report(ctx, engine, f"/cache/events?after={after}")
    try:
        rows = report["events"][:MAX_CACHE_EVENTS]
        stored = tuple(_prefix(row["prefix"]) for row in rows
                       if row["op"] == "stored")
        removed = tuple(_prefix(row["prefix"]) for row in rows
                        if row["op"] == "removed")
        ctx.polls.next_cache_event[engine.name] = _count(report["next"])
    except decoding.DECODING_ERRORS:
        return
    if stored or removed:
        loop.feed(ctx, events.EngineCacheSeen(
            engine.name, stored, removed))


async def _fetch_report(ctx, engine, path):
    deferred = http_client.request(ctx, engine.url, "GET", engine.url + path)
    deferred.addCallback(_read_body)
    deferred.addTimeout(RESPONSE_TIMEOUT_S, ctx.reactor)
    try:
        return decoding.loads(await deferred)
    except defer.TimeoutError:
        # Closing them here spares callers the wait on a dead connection.
        http_client.drop_idle_connections(ctx, engine.url)
        return None
    except Exception:
        return None


def _read_body(response):
    return defer.Deferred.fromCoroutine(
        response_bodies.read(response, MAX_REPORT_BYTES))
