"""The time line's events as JSON lines and a ring; statsd metrics."""

import collections
import dataclasses
import json
import sys
import typing

from loguru import logger
import statsd
from twisted.logger import globalLogBeginner

from crocuskeel.core import effects
from crocuskeel.core import follower
from crocuskeel.objectapi import budget as budgets
from crocuskeel.timeline import hlc

__all__ = ["Records", "begin_logs", "flush", "handlers", "heard",
           "new_records", "note", "recent", "stamp"]

RING_EVENTS = 5000
FLUSH_S = 0.2
LINES_PER_S = 1000.0
LINES_BURST = 5000.0
_PREFIX = "crocuskeel"


@dataclasses.dataclass(slots=True)
class Records:
    """``wall`` returns Unix seconds; ``dropped`` counts lines left out.

    ``numbered`` counts all events: the ring holds the last of them.
    """

    wall: typing.Callable
    clock: hlc.Clock
    budget: budgets.Budget
    ring: collections.deque
    statsd_address: str
    metrics: typing.Any = None
    pending: list = dataclasses.field(default_factory=list)
    flushing: bool = False
    numbered: int = 0
    dropped: int = 0


def new_records(reactor, wall, statsd_address=""):
    """Return records of a daemon that has none yet."""
    return Records(
        wall=wall, clock=hlc.new_clock(),
        budget=budgets.new_budget(
            LINES_PER_S, LINES_BURST, reactor.seconds()),
        ring=collections.deque(maxlen=RING_EVENTS),
        statsd_address=statsd_address)


def begin_logs(log_file, host):
    """Write JSON lines to a file or, without one, to standard error."""
    logger.remove()
    logger.configure(extra={"host": host, "line": ""})
    # With its diagnosis loguru writes out the values of a traceback's
    # frames: seconds for a whole state, and prompts among them.
    logger.add(log_file or sys.stderr, format=_line_format, level="INFO",
               backtrace=False, diagnose=False)
    globalLogBeginner.beginLoggingTo(
        [_log_failure], redirectStandardIO=False)


def _line_format(record):
    extra = record["extra"]
    if not extra["line"]:
        extra["line"] = _program_line(record)
    return "{extra[line]}\n"


def _program_line(record):
    line = {
        "ts": record["time"].timestamp(),
        "host": record["extra"]["host"],
        "kind": "log",
        "level": record["level"].name,
        "message": record["message"],
    }
    exc = record["exception"]
    if exc is not None:
        line["error"] = f"{exc.type.__name__}: {exc.value}"
        line["at"] = _where(exc.traceback)
    return json.dumps(line)


def _where(tb):
    # The frames' places without their values: these may hold prompts.
    places = []
    while tb is not None:
        code = tb.tb_frame.f_code
        places.append(f"{code.co_filename}:{tb.tb_lineno}")
        tb = tb.tb_next
    return places


def _log_failure(event):
    failure = event.get("log_failure")
    if failure is not None:
        logger.opt(exception=(
            failure.type, failure.value, failure.getTracebackObject(),
        )).error("unhandled failure")


def handlers():
    """Return the handlers of records and measures."""
    return {effects.Record: _record, effects.Measure: _measure}


def stamp(ctx):
    """Return a clock stamp for a message about to be sent."""
    records = ctx.records
    return records.clock.tick(records.wall() * 1000)


def heard(ctx, remote):
    """Take in the clock stamp of a received batch."""
    records = ctx.records
    records.clock.merge(remote, records.wall() * 1000)


def note(ctx, kind, rid="", **fields):
    """Record an event of the runtime itself."""
    _record(ctx, effects.Record(kind, rid, tuple(fields.items())))


def _record(ctx, effect):
    records = ctx.records
    wall = records.wall()
    when = records.clock.tick(wall * 1000)
    me = ctx.daemon.me
    event = {
        "ts": round(wall, 6),
        "hlc": [when.ms, when.count],
        "host": me.host,
        "incarnation": me.incarnation,
        "generation": follower.generation(ctx.daemon),
        "kind": effect.kind,
        "rid": effect.rid,
        "fields": dict(effect.fields),
    }
    records.numbered += 1
    records.ring.append((records.numbered, event))
    if not records.budget.take(ctx.reactor.seconds()):
        records.dropped += 1
        return
    records.pending.append(event)
    _flush_soon(ctx)


def flush(ctx):
    """Write the lines and metrics that wait, each in one go."""
    records = ctx.records
    records.flushing = False
    _send_metrics(records)
    events, records.pending = records.pending, []
    if events:
        lines = "\n".join(json.dumps(event) for event in events)
        logger.bind(line=lines).info("")


def recent(ctx, after=0, limit=RING_EVENTS):
    """Return up to ``limit`` events after a number, and the next one."""
    rows = [event for number, event in ctx.records.ring
            if number > after][:limit]
    first = ctx.records.numbered - len(ctx.records.ring)
    return rows, max(after, first) + len(rows)


def _measure(ctx, effect):
    records = ctx.records
    if not records.statsd_address:
        return
    if records.metrics is None:
        host, _, port = records.statsd_address.rpartition(":")
        client = statsd.StatsClient(host, int(port), _PREFIX)
        records.metrics = client.pipeline()
    send = {"c": records.metrics.incr, "g": records.metrics.gauge,
            "ms": records.metrics.timing}[effect.kind]
    send(effect.name, effect.value)
    _flush_soon(ctx)


def _flush_soon(ctx):
    if not ctx.records.flushing:
        ctx.records.flushing = True
        ctx.reactor.callLater(FLUSH_S, flush, ctx)


def _send_metrics(records):
    # A datagram for each metric would cost a system call for each.
    if records.metrics is not None:
        records.metrics.send()
