"""HTTP calls to engines: reading their state and sending orders."""

import json

from twisted.internet import defer
from twisted.web import iweb
from zope.interface import implementer

from crocuskeel.control import exceptions
from crocuskeel.core import control
from crocuskeel.core.control import events
from crocuskeel.runtime import response_bodies

__all__ = ["CheckedBody", "read_engine", "send_order"]

READ_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 256 * 1024
_HTTP_OK = 200
_HTTP_CONFLICT = 409
_STALE_FENCE = "stale_fence"
_READY = "ready"
_JSON = {"Content-Type": "application/json"}
Outcome = events.Outcome


@implementer(iweb.IBodyProducer)
class CheckedBody:
    """An order's request body, written only if ``check()`` returns true.

    While the connection is made the process may be paused and the lease
    pass to another host, so the check runs right before the write.
    Without a body the engine sees an aborted request and ignores it.
    """

    def __init__(self, data, check):
        """Take the bytes to send and the check to run before."""
        self.data = data
        self.length = len(data)
        self.check = check
        self.written = False

    def startProducing(self, consumer):
        """Run the check, then write the whole body."""
        if not self.check():
            return defer.fail(exceptions.OrderNotPermitted())
        self.written = True
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self):
        """Do nothing; the body is written in one piece."""

    def resumeProducing(self):
        """Do nothing; the body is written in one piece."""

    def stopProducing(self):
        """Do nothing; the body is written in one piece."""


async def read_engine(ctx, effect):
    """Read an engine's state within ``READ_TIMEOUT_S``."""
    deferred = defer.Deferred.fromCoroutine(
        _request(ctx, "GET", effect.url + "/state"))
    deferred.addTimeout(READ_TIMEOUT_S, ctx.reactor)
    try:
        _, body = await deferred
        return _parse_state(effect.engine, json.loads(body))
    except Exception:
        # Whatever is wrong with the engine's answer means only that the
        # engine is not healthy.
        return events.EngineSeen(effect.engine, False)


def _parse_state(name, report):
    models = tuple(
        (model, str(each["version"]), each["status"] == _READY)
        for model, each in report["models"].items())
    return events.EngineSeen(
        name, True, str(report["boot_id"]), models,
        tuple(report["adapters"]), str(report["role"] or ""),
        int(report["highest_fence"]))


async def send_order(ctx, effect):
    """Send an order once; abort the call after ``span_s`` seconds."""
    order = effect.order
    data = json.dumps(_order_document(order)).encode()
    body = CheckedBody(data, lambda: control.may_send(
        ctx.state, order, ctx.now()))
    deferred = defer.Deferred.fromCoroutine(
        _request(ctx, "POST", effect.url + "/orders", body))
    deferred.addTimeout(effect.span_s, ctx.reactor)
    try:
        status, response_body = await deferred
        outcome, detail = _classify_response(status, response_body)
    except Exception as exc:
        outcome = Outcome.UNKNOWN if body.written else Outcome.NOT_SENT
        detail = type(exc).__name__
    return events.OrderAnswered(
        order.order_id, order.engine, outcome, detail)


def _order_document(order):
    item = order.item
    doc = {"order_id": order.order_id, "kind": item.kind.value,
           "fence": order.fence}
    if item.kind is control.Kind.SET_ROLE:
        return {**doc, "role": item.name}
    return {**doc, "model": item.name, "version": item.version}


def _classify_response(status, response_body):
    if status == _HTTP_OK:
        return Outcome.DONE, ""
    code = _error_code(response_body)
    if status == _HTTP_CONFLICT and code == _STALE_FENCE:
        return Outcome.STALE_FENCE, code
    return Outcome.REFUSED, f"{status} {code}"


def _error_code(response_body):
    try:
        return str(json.loads(response_body)["error"]["code"])
    except (KeyError, TypeError, ValueError):
        return ""


async def _request(ctx, method, url, body=None):
    response = await ctx.http.request(
        method, url, data=body, headers=_JSON, allow_redirects=False,
        unbuffered=True)
    return response.code, await response_bodies.read(
        response, MAX_RESPONSE_BYTES)
