"""Step loop of one engine, driven by one timer per engine."""
import dataclasses
import typing

from twisted.internet import defer

from standins import answer_encoding
from standins import batch as batching
from standins import engine_state
from standins import web


@dataclasses.dataclass(slots=True)
class Reader:
    """The HTTP request that a stream is written to."""

    req: typing.Any
    sse: bool
    done: typing.Any = None


def submit(engine, stream):
    """Queue a new stream and start the step loop if it is idle."""
    boot = engine.boot
    boot.streams[stream.rid] = stream
    batching.enqueue(boot.batch, stream)
    engine_state.sample_load(engine)
    if boot.tick is None:
        _begin_step(engine)


def attach(engine, stream, req, sse, after=0):
    """Write a stream to a request, from the event after ``after`` on.

    The connection of a previous reader is aborted, since its client has
    reconnected.

    :returns: a Deferred of the final bytes of the response body; it is
              cancelled if the client disconnects.
    """
    reader = Reader(req, sse)
    previous_reader, stream.reader = stream.reader, reader
    engine.boot.orphans.pop(stream.rid, None)
    if previous_reader is not None:
        web.abort(previous_reader.req)
    reader.done = defer.Deferred(
        lambda _: _detach(engine, stream, reader))
    if sse:
        _start_sse(req)
        req.write(answer_encoding.events_after(stream.template, stream, after))
    if stream.finished:
        _finish_response(stream)
    return reader.done


def cancel(engine, stream):
    """Remove a stream, free its slot and abort its connection."""
    boot = engine.boot
    boot.streams.pop(stream.rid, None)
    boot.orphans.pop(stream.rid, None)
    batching.remove(boot.batch, stream)
    if not stream.finished:
        engine.runs.tokens_cancelled += stream.generated
    reader, stream.reader = stream.reader, None
    if reader is not None:
        web.abort(reader.req)


def crash(engine):
    """Drop all streams and connections; listen again after a delay."""
    if engine.boot.tick is not None:
        engine.boot.tick.cancel()
    engine.boot = engine_state.new_boot(
        engine.cfg, engine.reactor.seconds())
    web.restart(engine.listener)


def purge_finished(engine):
    """Remove streams that finished ``keep_finished`` seconds ago."""
    boot = engine.boot
    cutoff = engine.reactor.seconds() - engine.cfg.keep_finished
    while boot.finished and boot.finished[0][0] <= cutoff:
        _, stream = boot.finished.popleft()
        if boot.streams.get(stream.rid) is stream:
            del boot.streams[stream.rid]


def _start_sse(req):
    req.setHeader("Content-Type", "text/event-stream")
    req.setHeader("Cache-Control", "no-cache")
    req.write(b"")


def _begin_step(engine):
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
        seconds * engine.faults.straggle, _end_step, engine)


def _end_step(engine):
    boot = engine.boot
    emitted = batching.end_step(boot.batch)
    engine.runs.tokens_generated += len(emitted)
    for stream in emitted:
        _emit(engine, stream)
    batching.preempt_over_limit(boot.batch)
    _cancel_orphans(engine)
    purge_finished(engine)
    engine_state.sample_load(engine)
    _begin_step(engine)


def _emit(engine, stream):
    number = stream.generated
    reader = stream.reader
    if reader is not None and reader.sse:
        reader.req.write(answer_encoding.word_event(
            stream.template, number, stream.words[number - 1]))
        _inject_connection_fault(engine.faults, reader.req, number)
    if number == len(stream.words):
        _finish(engine, stream)


def _inject_connection_fault(faults, req, number):
    if number == faults.silent_after:
        web.silence(web.connection_of(req))
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
            b"".join(answer_encoding.final_events(stream.template, stream)))
    _finish_response(stream)


def _finish_response(stream):
    reader, stream.reader = stream.reader, None
    body = b""
    if not reader.sse:
        reader.req.setHeader("Content-Type", web.JSON_TYPE)
        body = answer_encoding.full_response(stream.template, stream)
    reader.done.callback(body)


def _detach(engine, stream, reader):
    """Start the grace period of a stream whose client disconnected."""
    if stream.reader is not reader:
        return
    stream.reader = None
    # A crash replaces the engine's boot and with it all streams.
    if engine.boot.streams.get(stream.rid) is stream:
        engine.boot.orphans[stream.rid] = engine.reactor.seconds()


def _cancel_orphans(engine):
    if not engine.boot.orphans:
        return
    cutoff = engine.reactor.seconds() - engine.cfg.grace
    expired = [rid for rid, since in engine.boot.orphans.items()
               if since <= cutoff]
    for rid in expired:
        cancel(engine, engine.boot.streams[rid])
