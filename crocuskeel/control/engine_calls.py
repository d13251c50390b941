"""Carries out the calls to engines: their state, and orders."""

import json

from twisted.internet import defer
from twisted.web import iweb
from zope.interface import implementer

from crocuskeel.control import exceptions
from crocuskeel.core import control
from crocuskeel.core.control import events
from crocuskeel.runtime import bodies

__all__ = ["CheckedBody", "read_engine", "send_order"]

READ_S = 2.0
MAX_REPORT_BYTES = 256 * 1024
_DONE = 200
_CONFLICT = 409
_STALE = "stale_fence"
_READY = "ready"
_JSON = {"Content-Type": "application/json"}
Outcome = events.Outcome


@implementer(iweb.IBodyProducer)
class CheckedBody:
    """The body of an order, written only if ``check()`` still allows.

    Making the connection takes time in which the process may be paused
    and the lease pass to another host. The check stands right before
    the write; without its body the engine takes the request for broken
    off and does nothing.
    """

    def __init__(self, data, check):
        """Take the bytes to send and the check before it."""
        self.data = data
        self.length = len(data)
        self.check = check
        self.written = False

    def startProducing(self, consumer):
        """Check, then write all at once."""
        if not self.check():
            return defer.fail(exceptions.LeaseNotFresh())
        self.written = True
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self):
        """Do nothing: all is written at once."""

    def resumeProducing(self):
        """Do nothing: all is written at once."""

    def stopProducing(self):
        """Do nothing: all is written at once."""


async def read_engine(ctx, effect):
    """Read an engine's state, within a bounded time."""
    fut = defer.Deferred.fromCoroutine(
        _exchange(ctx, "GET", effect.url + "/state"))
    fut.addTimeout(READ_S, ctx.reactor)
    try:
        _, body = await fut
        return _seen(effect.engine, json.loads(body))
    except Exception:
        # Any fault of another process: it is not well, no more.
        return events.EngineSeen(effect.engine, False)


def _seen(name, report):
    models = tuple(
        (model, str(each["version"]), each["status"] == _READY)
        for model, each in report["models"].items())
    return events.EngineSeen(
        name, True, str(report["boot_id"]), models,
        tuple(report["adapters"]), str(report["role"] or ""),
        int(report["highest_fence"]))


async def send_order(ctx, effect):
    """Send an order once, and give it up after its span."""
    order = effect.order
    data = json.dumps(_document(order)).encode()
    body = CheckedBody(data, lambda: control.may_send(
        ctx.state, order, ctx.now()))
    fut = defer.Deferred.fromCoroutine(
        _exchange(ctx, "POST", effect.url + "/orders", body))
    fut.addTimeout(effect.span_s, ctx.reactor)
    try:
        status, answer = await fut
        outcome, detail = _judge(status, answer)
    except Exception as exc:
        outcome = Outcome.UNKNOWN if body.written else Outcome.NOT_SENT
        detail = type(exc).__name__
    return events.OrderAnswered(
        order.order_id, order.engine, outcome, detail)


def _document(order):
    item = order.item
    doc = {"order_id": order.order_id, "kind": item.kind.value,
           "fence": order.fence}
    if item.kind is control.Kind.SET_ROLE:
        return {**doc, "role": item.name}
    return {**doc, "model": item.name, "version": item.version}


def _judge(status, answer):
    if status == _DONE:
        return Outcome.DONE, ""
    code = _error_code(answer)
    if status == _CONFLICT and code == _STALE:
        return Outcome.STALE_FENCE, code
    return Outcome.REFUSED, f"{status} {code}"


def _error_code(answer):
    try:
        return str(json.loads(answer)["error"]["code"])
    except (KeyError, TypeError, ValueError):
        return ""


async def _exchange(ctx, method, url, body=None):
    rsp = await ctx.http.request(
        method, url, data=body, headers=_JSON, allow_redirects=False)
    return rsp.code, await bodies.read(rsp, MAX_REPORT_BYTES)
