"""The HTTP interface for callers."""

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
from crocuskeel.runtime import stream_ids

__all__ = ["new_app"]

_LAST_EVENT_ID = "Last-Event-ID"


def new_app(ctx):
    """Return the Klein application of the callers' HTTP interface."""
    app = klein.Klein()
    _add_request_routes(app, ctx)
    _add_status_routes(app, ctx)
    operators.mount(app, ctx)
    return app


def _add_request_routes(app, ctx):
    @app.route("/v1/chat/completions", methods=["POST"])
    def chat(req):
        if req.getHeader(_LAST_EVENT_ID):
            return _handle_resume(ctx, req, req.getHeader(_LAST_EVENT_ID))
        return _handle_request(ctx, req, parsing.chat_request)

    @app.route("/v1/streams/<path:name>", methods=["GET"])
    def resume(req, name):
        return _handle_resume(
            ctx, req, req.getHeader(_LAST_EVENT_ID) or f"{name}:0")

    @app.route("/services/<path:name>")
    def service(req, name):
        return _handle_request(ctx, req, parsing.plain_request)


def _add_status_routes(app, ctx):
    @app.route("/v1/locate", methods=["GET"])
    def locate(req):
        exchange = callers.new_exchange(ctx, req, parsing.token_hash(req))
        loop.feed(ctx, events.LocateAsked(
            exchange.rid, exchange.token, _query_arg(req, b"domain"),
            _query_arg(req, b"class")))
        return _unfinished()

    @app.route("/healthz", methods=["GET"])
    def health(req):
        return b"ok\n"

    @app.route("/readyz", methods=["GET"])
    def ready(req):
        if ctx.daemon.frontend.drain_started_at is not None:
            return _refuse(req, problems.Reason.LEAVING)
        if follower.ready(ctx.daemon, ctx.reactor.seconds()):
            return b"ready\n"
        return _refuse(req, problems.Reason.NOT_READY)

    @app.route("/ops/<path:name>", methods=["GET", "POST"])
    def operation(req, name):
        return ops.serve(ctx, req, name)


def _query_arg(req, name):
    return req.args.get(name, [b""])[0].decode("latin-1")


def _refuse(req, reason, detail=""):
    problem_bodies.write_problem(
        req, problems.new_problem(reason, detail=detail))
    return _unfinished()


def _unfinished():
    # Klein finishes a request when its Deferred fires. This one never
    # fires, because the code that writes the response finishes it.
    return defer.Deferred()


def _handle_request(ctx, req, parse):
    token = parsing.token_hash(req)
    body = req.content.read()
    exchange = callers.new_exchange(ctx, req, token, body)
    try:
        event = parse(req, exchange.rid, token, body)
    except exceptions.BadRequest as exc:
        callers.end_with_problem(ctx, exchange, problems.new_problem(
            problems.Reason.BAD_REQUEST, detail=str(exc)))
        return _unfinished()
    exchange.stream_requested = event.stream
    loop.feed(ctx, event)
    return _unfinished()


def _handle_resume(ctx, req, text):
    token = parsing.token_hash(req)
    event_id = stream_ids.parse_event_id(text)
    identity = follower.caller(ctx.daemon, token)
    exchange = callers.new_exchange(ctx, req, token, event_id=event_id)
    if event_id is None or identity is None or not stream_ids.proof_matches(
            ctx.cfg.key, identity, event_id):
        callers.end_with_problem(ctx, exchange, problems.new_problem(
            problems.Reason.STREAM_UNKNOWN, problems.Outcome.UNKNOWN))
        return _unfinished()
    exchange.event_count = event_id.after
    loop.feed(ctx, events.ResumeArrived(
        rid=exchange.rid, token=token, stream=event_id.rid,
        attempt=event_id.attempt, engine=event_id.engine,
        after=event_id.after, proof=event_id.proof))
    return _unfinished()
