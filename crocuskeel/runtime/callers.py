"""Callers' requests and their responses, from arrival to the end."""

import dataclasses
import typing

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import problems
from crocuskeel.runtime import loop
from crocuskeel.runtime import problem_bodies
from crocuskeel.runtime import response_cache
from crocuskeel.runtime import stream_ids

__all__ = ["Exchange", "abort", "caller_proof", "count_waiting",
           "end_with_problem", "fail_request", "finish_response", "handlers",
           "new_exchange", "new_rid", "remove_finished", "start_response",
           "write"]

SSE = b"text/event-stream"


@dataclasses.dataclass(slots=True)
class Exchange:
    """One caller's request from arrival to the end of its response.

    ``event_count`` counts the stream events the caller has received,
    including those of an earlier connection. ``event_id`` is set for a
    resumed stream. ``request_id`` is the id of the latest attempt at its
    engine. ``write_now`` writes a chunk directly to the socket, bypassing
    Twisted's queue, or is None if the transport can't. ``source`` is the
    attempt that produces the response and can be paused, or None.
    """

    rid: str
    req: typing.Any
    token: str
    body: bytes = b""
    event_id: stream_ids.StreamEventId | None = None
    stream_requested: bool = False
    request_id: str = ""
    event_count: int = 0
    response_started: bool = False
    caller_gone: bool = False
    is_sse: bool = False
    source: typing.Any = None
    paused_at: float = 0.0
    write_now: typing.Any = None
    reactor: typing.Any = None

    def pauseProducing(self):
        """Stop reading from the engine while the caller reads too slowly."""
        self.paused_at = self.reactor.seconds()
        if self.source is not None:
            self.source.pause()

    def resumeProducing(self):
        """Resume reading from the engine: the caller's buffer is empty."""
        self.paused_at = 0.0
        if self.source is not None:
            self.source.resume()

    def stopProducing(self):
        """Do nothing: ``notifyFinish`` reports the lost connection."""


def new_rid(ctx):
    """Return the next request id of this host."""
    ctx.last_rid += 1
    identity = ctx.daemon.identity
    return f"{identity.host}.{identity.incarnation}.{ctx.last_rid}"


def new_exchange(ctx, req, token, body=b"", event_id=None):
    """Track a request; report its caller's disconnection to the core."""
    exchange = Exchange(new_rid(ctx), req, token, body, event_id,
                        reactor=ctx.reactor)
    ctx.exchanges[exchange.rid] = exchange
    req.setHeader("X-Request-Id", exchange.rid)
    disconnected = req.notifyFinish()
    disconnected.addErrback(lambda _: _caller_gone(ctx, exchange))
    return exchange


def _caller_gone(ctx, exchange):
    exchange.caller_gone = True
    exchange.resumeProducing()
    if exchange.rid in ctx.exchanges:
        loop.feed(ctx, events.CallerGone(exchange.rid))


def remove_finished(ctx):
    """Remove exchanges whose caller disconnected and whose run ended.

    Until then the exchange is kept: the caller may resend the request
    or resume the stream, and the run can continue for that.
    """
    for exchange in list(ctx.exchanges.values()):
        if exchange.caller_gone and exchange.source is None and (
                exchange.rid not in ctx.daemon.frontend.requests):
            del ctx.exchanges[exchange.rid]


def count_waiting(ctx):
    """Return the number of connected callers awaiting their response."""
    return sum(not exchange.caller_gone
               for exchange in ctx.exchanges.values())


def start_response(exchange, status, content_type, length=None):
    """Write the head of a relayed response."""
    exchange.response_started = True
    exchange.is_sse = content_type.startswith(SSE)
    if exchange.caller_gone:
        return
    req = exchange.req
    req.setResponseCode(status)
    if content_type:
        req.setHeader(b"Content-Type", content_type)
    if length is not None:
        req.setHeader(b"Content-Length", b"%d" % length)
    if exchange.is_sse:
        req.setHeader(b"Cache-Control", b"no-cache")
    req.registerProducer(exchange, True)


def write(exchange, data):
    """Write part of the response body; ``data`` must not be empty."""
    if exchange.caller_gone:
        return
    if exchange.write_now is not None:
        exchange.write_now(b"%x\r\n%b\r\n" % (len(data), data))
        return
    exchange.req.write(data)
    if exchange.req.chunked:
        exchange.write_now = getattr(exchange.req.transport, "write_now", None)


def finish_response(ctx, exchange):
    """Finish a complete response."""
    ctx.exchanges.pop(exchange.rid, None)
    if exchange.caller_gone:
        return
    exchange.req.unregisterProducer()
    exchange.req.finish()


def abort(ctx, exchange):
    """Abort the connection of a response that can't be completed.

    The caller must not mistake a partial response for a complete one:
    every HTTP client reports an error if the last chunk is missing.
    """
    ctx.exchanges.pop(exchange.rid, None)
    if not exchange.caller_gone:
        exchange.caller_gone = True
        exchange.req.transport.abortConnection()


def end_with_problem(ctx, exchange, problem, location=""):
    """End the response with a problem, or redirect to ``location``."""
    response_cache.fail(ctx, exchange.rid)
    if not exchange.response_started:
        ctx.exchanges.pop(exchange.rid, None)
        if not exchange.caller_gone:
            problem_bodies.write_problem(exchange.req, problem, location)
    elif exchange.is_sse:
        write(exchange, problem_bodies.error_event(problem))
        finish_response(ctx, exchange)
    else:
        abort(ctx, exchange)


def fail_request(ctx, rid):
    """End a request after an internal error of this program."""
    exchange = ctx.exchanges.get(rid)
    if exchange is not None:
        end_with_problem(ctx, exchange, problems.new_problem(
            problems.Reason.INTERNAL, problems.Outcome.UNKNOWN))


def caller_proof(ctx, exchange):
    """Return the proof that binds this request to its caller."""
    identity = follower.caller(ctx.daemon, exchange.token)
    if identity is None:
        return "0"
    return stream_ids.proof(
        ctx.cfg.key, identity.workspace, identity.caller, exchange.rid)


def handlers():
    """Return the handlers of the effects that answer callers."""
    return {effects.Answer: _end_exchange,
            effects.AnswerLocate: _write_addresses}


def _end_exchange(ctx, effect):
    exchange = ctx.exchanges.get(effect.rid)
    if exchange is not None:
        end_with_problem(ctx, exchange, effect.problem, effect.location)


def _write_addresses(ctx, effect):
    exchange = ctx.exchanges.pop(effect.rid, None)
    if exchange is None:
        return
    problem_bodies.write_json(exchange.req, {
        "addresses": [dataclasses.asdict(address)
                      for address in effect.addresses],
        "ttl_s": effect.ttl_s,
        "generation": effect.generation,
    })
