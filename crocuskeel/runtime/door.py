"""The callers' HTTP interface."""

import klein
from twisted.internet import defer

from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import problems
from crocuskeel import ops as operators
from crocuskeel.runtime import callers
from crocuskeel.runtime import exceptions
from crocuskeel.runtime import loop
from crocuskeel.runtime import ops
from crocuskeel.runtime import parsing
from crocuskeel.runtime import problem_bodies
from crocuskeel.runtime import wire_ids

__all__ = ["new_app"]

_LAST_EVENT = "Last-Event-ID"


def new_app(ctx):
    """Return the application of a daemon's door."""
    app = klein.Klein()
    _add_requests(app, ctx)
    _add_reports(app, ctx)
    operators.mount(app, ctx)
    return app


def _add_requests(app, ctx):
    @app.route("/v1/chat/completions", methods=["POST"])
    def chat(req):
        if req.getHeader(_LAST_EVENT):
            return _resume(ctx, req, req.getHeader(_LAST_EVENT))
        return _arrive(ctx, req, parsing.chat_request)

    @app.route("/v1/streams/<path:name>", methods=["GET"])
    def resume(req, name):
        return _resume(ctx, req, req.getHeader(_LAST_EVENT) or f"{name}:0")

    @app.route("/services/<path:name>")
    def service(req, name):
        return _arrive(ctx, req, parsing.plain_request)


def _add_reports(app, ctx):
    @app.route("/v1/locate", methods=["GET"])
    def locate(req):
        held = callers.hold(ctx, req, parsing.token_hash(req))
        loop.feed(ctx, events.LocateAsked(
            held.rid, held.token, _arg(req, b"domain"),
            _arg(req, b"class")))
        return _pending()

    @app.route("/healthz", methods=["GET"])
    def health(req):
        return b"ok\n"

    @app.route("/readyz", methods=["GET"])
    def ready(req):
        if ctx.daemon.door.drain_at is not None:
            return _refuse(req, problems.Reason.LEAVING)
        if follower.ready(ctx.daemon, ctx.reactor.seconds()):
            return b"ready\n"
        return _refuse(req, problems.Reason.NOT_READY)

    @app.route("/ops/<path:name>", methods=["GET", "POST"])
    def operate(req, name):
        return ops.serve(ctx, req, name)


def _arg(req, name):
    return req.args.get(name, [b""])[0].decode("latin-1")


def _refuse(req, reason, detail=""):
    problem_bodies.write_problem(
        req, problems.problem(reason, detail=detail))
    return _pending()


def _pending():
    # klein finishes a request when this fires; the answer of a held
    # request is finished by who relays it, so it never does.
    return defer.Deferred()


def _arrive(ctx, req, parse):
    token = parsing.token_hash(req)
    body = req.content.read()
    held = callers.hold(ctx, req, token, body)
    try:
        event = parse(req, held.rid, token, body)
    except exceptions.BadRequest as exc:
        callers.end_early(ctx, held, problems.problem(
            problems.Reason.BAD_REQUEST, detail=str(exc)))
        return _pending()
    held.streamed = event.stream
    loop.feed(ctx, event)
    return _pending()


def _resume(ctx, req, text):
    token = parsing.token_hash(req)
    wire_id = wire_ids.parse_event_id(text)
    identity = follower.caller(ctx.daemon, token)
    held = callers.hold(ctx, req, token, wire_id=wire_id)
    if wire_id is None or identity is None or not wire_ids.proves(
            ctx.cfg.key, identity, wire_id):
        callers.end_early(ctx, held, problems.problem(
            problems.Reason.STREAM_UNKNOWN, problems.Outcome.UNKNOWN))
        return _pending()
    held.events = wire_id.after
    loop.feed(ctx, events.ResumeArrived(
        rid=held.rid, token=token, stream=wire_id.rid,
        attempt=wire_id.attempt, engine=wire_id.engine,
        after=wire_id.after, proof=wire_id.proof))
    return _pending()
