"""Tick loop of one engine: one timer an engine, not one a token."""
import dataclasses
import typing

from twisted.internet import defer

from standins import batch as batching
from standins import engine_state
from standins import stream_form
from standins import web


@dataclasses.dataclass(slots=True)
class Reader:
    """The request that a stream is written to."""

    req: typing.Any
    sse: bool
    done: typing.Any = None


def submit(engine, stream):
    """Let a new stream wait and wake the engine."""
    boot = engine.boot
    boot.streams[stream.rid] = stream
    batching.enqueue(boot.batch, stream)
    engine_state.sample_load(engine)
    if boot.tick is None:
        _begin(engine)


def attach(engine, stream, req, sse, after=0):
    """Write a stream to a request from an event on.

    A reader from before is cut off: its client has come back.

    :returns: a Deferred of the last bytes; None if the client goes.
    """
    reader = Reader(req, sse)
    old, stream.reader = stream.reader, reader
    engine.boot.orphans.pop(stream.rid, None)
    if old is not None:
        web.abort(old.req)
    reader.done = defer.Deferred(
        lambda _: _detach(engine, stream, reader))
    if sse:
        _begin_sse(req)
        req.write(stream_form.events_after(stream.form, stream, after))
    if stream.finished:
        _close(stream)
    return reader.done


def cancel(engine, stream):
    """Drop a stream, free its slot and break its connection."""
    boot = engine.boot
    boot.streams.pop(stream.rid, None)
    boot.orphans.pop(stream.rid, None)
    batching.remove(boot.batch, stream)
    if not stream.finished:
        engine.runs.tokens_cancelled += stream.done
    reader, stream.reader = stream.reader, None
    if reader is not None:
        web.abort(reader.req)


def crash(engine):
    """Lose all streams and connections, and come back later."""
    if engine.boot.tick is not None:
        engine.boot.tick.cancel()
    engine.boot = engine_state.new_boot(
        engine.cfg, engine.reactor.seconds())
    web.restart(engine.listener)


def purge_finished(engine):
    """Forget streams that finished long enough ago."""
    boot = engine.boot
    limit = engine.reactor.seconds() - engine.cfg.keep_finished
    while boot.finished and boot.finished[0][0] <= limit:
        _, stream = boot.finished.popleft()
        if boot.streams.get(stream.rid) is stream:
            del boot.streams[stream.rid]


def _begin_sse(req):
    req.setHeader("Content-Type", "text/event-stream")
    req.setHeader("Cache-Control", "no-cache")
    req.write(b"")


def _begin(engine):
    boot = engine.boot
    if batching.is_idle(boot.batch):
        boot.tick = None
        return
    seconds, started = batching.begin_step(
        boot.batch, engine.reactor.seconds())
    for stream in started:
        engine.runs.by_request_id[stream.rid] += 1
        if stream.key:
            engine.runs.by_idempotency_key[stream.key] += 1
    boot.tick = engine.reactor.callLater(
        seconds * engine.faults.straggle, _end, engine)


def _end(engine):
    boot = engine.boot
    emitted = batching.end_step(boot.batch)
    engine.runs.tokens_generated += len(emitted)
    for stream in emitted:
        _emit(engine, stream)
    batching.make_room(boot.batch)
    _cancel_orphans(engine)
    purge_finished(engine)
    engine_state.sample_load(engine)
    _begin(engine)


def _emit(engine, stream):
    number = stream.done
    reader = stream.reader
    if reader is not None and reader.sse:
        reader.req.write(stream_form.word_event(
            stream.form, number, stream.words[number - 1]))
        _break_conn(engine.faults, reader.req, number)
    if number == len(stream.words):
        _finish(engine, stream)


def _break_conn(faults, req, number):
    if number == faults.silent_after:
        web.silence(web.conn_of(req))
    if number == faults.break_after:
        web.abort(req)


def _finish(engine, stream):
    boot = engine.boot
    stream.finished = True
    batching.remove(boot.batch, stream)
    boot.orphans.pop(stream.rid, None)
    boot.finished.append((engine.reactor.seconds(), stream))
    if stream.reader is None:
        return
    if stream.reader.sse:
        stream.reader.req.write(
            b"".join(stream_form.last_events(stream.form, stream)))
    _close(stream)


def _close(stream):
    reader, stream.reader = stream.reader, None
    last = b""
    if not reader.sse:
        reader.req.setHeader("Content-Type", web.JSON_TYPE)
        last = stream_form.whole_answer(stream.form, stream)
    reader.done.callback(last)


def _detach(engine, stream, reader):
    """Note that the client of a reader went away."""
    if stream.reader is not reader:
        return
    stream.reader = None
    # The stream of a crashed engine has gone with its boot.
    if engine.boot.streams.get(stream.rid) is stream:
        engine.boot.orphans[stream.rid] = engine.reactor.seconds()


def _cancel_orphans(engine):
    if not engine.boot.orphans:
        return
    limit = engine.reactor.seconds() - engine.cfg.grace
    late = [rid for rid, since in engine.boot.orphans.items()
            if since <= limit]
    for rid in late:
        cancel(engine, engine.boot.streams[rid])
