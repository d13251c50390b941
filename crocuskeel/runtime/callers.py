"""Callers' requests that are held while the core decides on them."""

import dataclasses
import typing

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import problems
from crocuskeel.runtime import kept
from crocuskeel.runtime import loop
from crocuskeel.runtime import problem_bodies
from crocuskeel.runtime import wire_ids

__all__ = ["Held", "begin", "broke", "end", "end_early", "fail",
           "handlers", "hold", "new_rid", "proof_of", "sweep",
           "waiting", "write"]

SSE = b"text/event-stream"


@dataclasses.dataclass(slots=True)
class Held:
    """One caller's request from arrival to the end of its answer.

    ``events`` counts the stream events that the caller has, those of an
    earlier connection too. ``wire_id`` is set for a resumed stream.
    ``request_id`` is the latest attempt's own at its engine.
    ``write_now`` writes a chunk past Twisted's queue, if that can be.
    ``source`` is what feeds the answer and can be paused, or None.
    """

    rid: str
    req: typing.Any
    token: str
    body: bytes = b""
    wire_id: wire_ids.WireId | None = None
    streamed: bool = False
    request_id: str = ""
    events: int = 0
    begun: bool = False
    gone: bool = False
    sse: bool = False
    source: typing.Any = None
    paused_at: float = 0.0
    write_now: typing.Any = None
    reactor: typing.Any = None

    def pauseProducing(self):
        """The caller reads too slowly: stop reading from the engine."""
        self.paused_at = self.reactor.seconds()
        if self.source is not None:
            self.source.pause()

    def resumeProducing(self):
        """The caller's buffer is empty again."""
        self.paused_at = 0.0
        if self.source is not None:
            self.source.resume()

    def stopProducing(self):
        """The caller's connection is lost; ``notifyFinish`` tells."""


def new_rid(ctx):
    """Return the next request id of this host."""
    ctx.rids += 1
    me = ctx.daemon.me
    return f"{me.host}.{me.incarnation}.{ctx.rids}"


def hold(ctx, req, token, body=b"", wire_id=None):
    """Hold a request; tells the core when its caller goes."""
    held = Held(new_rid(ctx), req, token, body, wire_id,
                reactor=ctx.reactor)
    ctx.held[held.rid] = held
    req.setHeader("X-Request-Id", held.rid)
    finished = req.notifyFinish()
    finished.addErrback(lambda _: _gone(ctx, held))
    return held


def _gone(ctx, held):
    held.gone = True
    held.resumeProducing()
    if held.rid in ctx.held:
        loop.feed(ctx, events.CallerGone(held.rid))


def sweep(ctx):
    """Forget requests whose caller is gone and whose run is over.

    Until then the request is kept: its run may be worth going on with
    for the caller's resend or its return to the stream.
    """
    for held in list(ctx.held.values()):
        if held.gone and held.source is None and (
                held.rid not in ctx.daemon.door.requests):
            del ctx.held[held.rid]


def waiting(ctx):
    """Return the number of callers that still wait for their answer."""
    return sum(not held.gone for held in ctx.held.values())


def begin(held, status, content_type, length=None):
    """Write the head of an answer that is relayed."""
    held.begun = True
    held.sse = content_type.startswith(SSE)
    if held.gone:
        return
    req = held.req
    req.setResponseCode(status)
    if content_type:
        req.setHeader(b"Content-Type", content_type)
    if length is not None:
        req.setHeader(b"Content-Length", b"%d" % length)
    if held.sse:
        req.setHeader(b"Cache-Control", b"no-cache")
    req.registerProducer(held, True)


def write(held, data):
    """Relay bytes of the answer; ``data`` must not be empty."""
    if held.gone:
        return
    if held.write_now is not None:
        held.write_now(b"%x\r\n%b\r\n" % (len(data), data))
        return
    held.req.write(data)
    if held.req.chunked:
        held.write_now = getattr(held.req.transport, "write_now", None)


def end(ctx, held):
    """End a whole answer."""
    ctx.held.pop(held.rid, None)
    if held.gone:
        return
    held.req.unregisterProducer()
    held.req.finish()


def broke(ctx, held):
    """Break the connection of an answer that can't be made whole.

    A caller must never take a part for the whole: without its last
    chunk the answer is an error in every HTTP client.
    """
    ctx.held.pop(held.rid, None)
    if not held.gone:
        held.gone = True
        held.req.transport.abortConnection()


def end_early(ctx, held, problem, location=""):
    """End the caller's answer with a problem, or send it elsewhere."""
    kept.fail(ctx, held.rid)
    if not held.begun:
        ctx.held.pop(held.rid, None)
        if not held.gone:
            problem_bodies.write_problem(held.req, problem, location)
    elif held.sse:
        write(held, problem_bodies.error_event(problem))
        end(ctx, held)
    else:
        broke(ctx, held)


def fail(ctx, rid):
    """End a request on which this program failed."""
    held = ctx.held.get(rid)
    if held is not None:
        end_early(ctx, held, problems.problem(
            problems.Reason.INTERNAL, problems.Outcome.UNKNOWN))


def proof_of(ctx, held):
    """Return the proof that ties this request to its caller."""
    identity = follower.caller(ctx.daemon, held.token)
    if identity is None:
        return "0"
    return wire_ids.proof(
        ctx.cfg.key, identity.workspace, identity.caller, held.rid)


def handlers():
    """Return the handlers of callers' answers."""
    return {effects.Answer: _answer, effects.AnswerLocate: _locate}


def _answer(ctx, effect):
    held = ctx.held.get(effect.rid)
    if held is not None:
        end_early(ctx, held, effect.problem, effect.location)


def _locate(ctx, effect):
    held = ctx.held.pop(effect.rid, None)
    if held is None:
        return
    problem_bodies.write_json(held.req, {
        "addresses": [dataclasses.asdict(each)
                      for each in effect.addresses],
        "ttl_s": effect.ttl_s,
        "generation": effect.generation,
    })
