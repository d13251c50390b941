"""Timeline events as JSON lines and in a ring buffer; statsd metrics."""

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
from crocuskeel.objectapi import token_bucket as token_buckets
from crocuskeel.timeline import hlc

__all__ = ["Records", "clock_stamp", "configure_logging", "flush", "handlers",
           "merge_clock", "new_records", "recent_events", "record_event"]

RING_EVENTS = 5000
FLUSH_S = 0.2
LINES_PER_S = 1000.0
LINES_BURST = 5000.0
_PREFIX = "crocuskeel"


@dataclasses.dataclass(slots=True)
class Records:
    """State of the records.

    ``wall_clock`` returns Unix seconds. ``event_count`` counts all
    events; ``ring`` holds the last of them. ``dropped_lines`` counts the
    lines that the rate limit suppressed.
    """

    wall_clock: typing.Callable
    clock: hlc.Clock
    budget: token_buckets.TokenBucket
    ring: collections.deque
    statsd_address: str
    metrics: typing.Any = None
    pending_events: list = dataclasses.field(default_factory=list)
    flush_scheduled: bool = False
    event_count: int = 0
    dropped_lines: int = 0


def new_records(reactor, wall_clock, statsd_address=""):
    """Return empty records."""
    return Records(
        wall_clock=wall_clock, clock=hlc.new_clock(),
        budget=token_buckets.new_token_bucket(
            LINES_PER_S, LINES_BURST, reactor.seconds()),
        ring=collections.deque(maxlen=RING_EVENTS),
        statsd_address=statsd_address)


def configure_logging(log_file, host):
    """Write logs as JSON lines to a file, by default standard error."""
    logger.remove()
    logger.configure(extra={"host": host, "line": ""})
    # With ``diagnose``, loguru formats the values in a traceback's frames:
    # this takes seconds for the whole state and would log prompts.
    logger.add(log_file or sys.stderr, format=_line_format, level="INFO",
               backtrace=False, diagnose=False)
    globalLogBeginner.beginLoggingTo(
        [_log_failure], redirectStandardIO=False)


def _line_format(record):
    extra = record["extra"]
    if not extra["line"]:
        extra["line"] = _log_line(record)
    return "{extra[line]}\n"


def _log_line(record):
    line = {
        "ts": record["time"].timestamp(),
        "host": record["extra"]["host"],
        "kind": "log",
        "level": record["level"].name,
        "message": record["message"],
    }
    exception = record["exception"]
    if exception is not None:
        line["error"] = f"{exception.type.__name__}: {exception.value}"
        line["at"] = _traceback_locations(exception.traceback)
    return json.dumps(line)


def _traceback_locations(traceback):
    # Only locations, not the frames' values, which may contain prompts.
    locations = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        locations.append(f"{code.co_filename}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return locations


def _log_failure(event):
    failure = event.get("log_failure")
    if failure is not None:
        logger.opt(exception=(
            failure.type, failure.value, failure.getTracebackObject(),
        )).error("unhandled failure")


def handlers():
    """Return the handlers of the record and measure effects."""
    return {effects.Record: _record, effects.Measure: _measure}


def clock_stamp(ctx):
    """Return a hybrid logical clock stamp for a message to be sent."""
    records = ctx.records
    return records.clock.tick(records.wall_clock() * 1000)


def merge_clock(ctx, remote):
    """Merge the clock stamp of a received batch."""
    records = ctx.records
    records.clock.merge(remote, records.wall_clock() * 1000)


def record_event(ctx, kind, rid="", **fields):
    """Record an event of the runtime itself."""
    _record(ctx, effects.Record(kind, rid, tuple(fields.items())))


def _record(ctx, effect):
    records = ctx.records
    wall_clock = records.wall_clock()
    timestamp = records.clock.tick(wall_clock * 1000)
    identity = ctx.daemon.identity
    event = {
        "ts": round(wall_clock, 6),
        "hlc": [timestamp.ms, timestamp.count],
        "host": identity.host,
        "incarnation": identity.incarnation,
        "generation": follower.generation(ctx.daemon),
        "kind": effect.kind,
        "rid": effect.rid,
        "fields": dict(effect.fields),
    }
    records.event_count += 1
    records.ring.append((records.event_count, event))
    if not records.budget.take(ctx.reactor.seconds()):
        records.dropped_lines += 1
        return
    records.pending_events.append(event)
    _schedule_flush(ctx)


def flush(ctx):
    """Write the pending lines and metrics, each kind in one batch."""
    records = ctx.records
    records.flush_scheduled = False
    _send_metrics(records)
    events, records.pending_events = records.pending_events, []
    if events:
        lines = "\n".join(json.dumps(event) for event in events)
        logger.bind(line=lines).info("")


def recent_events(ctx, after=0, limit=RING_EVENTS):
    """Return up to ``limit`` events after a number, and the last number."""
    rows = [event for number, event in ctx.records.ring
            if number > after][:limit]
    first = ctx.records.event_count - len(ctx.records.ring)
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
    _schedule_flush(ctx)


def _schedule_flush(ctx):
    if not ctx.records.flush_scheduled:
        ctx.records.flush_scheduled = True
        ctx.reactor.callLater(FLUSH_S, flush, ctx)


def _send_metrics(records):
    # One datagram per metric would cost one system call per metric.
    if records.metrics is not None:
        records.metrics.send()
