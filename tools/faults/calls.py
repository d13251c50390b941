"""HTTP calls of the drive: JSON calls and answers read as they come."""

import json

from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import client as web_client

import treq

__all__ = ["Body", "get_json", "new_http", "post_json", "read_body"]

CONNECT_S = 2.0
CALL_S = 3.0
OPERATOR = {"Authorization": "Bearer operator-token"}


def new_http(reactor):
    """Return a client that makes a new connection for each call."""
    agent = web_client.Agent(reactor, connectTimeout=CONNECT_S)
    return treq.client.HTTPClient(agent)


async def get_json(reactor, http, url, headers=OPERATOR, span_s=CALL_S):
    """Return status and JSON of a GET; raises what treq raises."""
    return await _json(reactor, http, "GET", url, headers, None, span_s)


async def post_json(reactor, http, url, body, span_s=CALL_S):
    """Return status and JSON of a POST as an operator."""
    return await _json(reactor, http, "POST", url, OPERATOR,
                       json.dumps(body).encode(), span_s)


async def _json(reactor, http, method, url, headers, data, span_s):
    async def call():
        rsp = await http.request(
            method, url, headers=headers, data=data, unbuffered=True)
        text = await treq.content(rsp)
        return rsp.code, json.loads(text) if text else None

    fut = defer.Deferred.fromCoroutine(call())
    fut.addTimeout(span_s, reactor)
    return await fut


class Body(protocol.Protocol):
    """Reads an answer; fires ``done`` with True if it came whole.

    ``take(bytes)`` gets the bytes as they come. After ``stall_s``
    seconds without any the connection is closed: not whole.
    """

    def __init__(self, reactor, take, stall_s):
        self.reactor = reactor
        self.take = take
        self.stall_s = stall_s
        self.done = defer.Deferred()
        self.timer = reactor.callLater(stall_s, self._stalled)

    def _stalled(self):
        self._end(False)
        if self.transport is not None:
            self.transport.stopProducing()

    def _end(self, whole):
        if not self.done.called:
            self.done.callback(whole)

    def dataReceived(self, data):
        """Take bytes in."""
        if self.timer.active():
            self.timer.reset(self.stall_s)
        self.take(data)

    def connectionLost(self, reason=protocol.connectionDone):
        """Take the end in."""
        if self.timer.active():
            self.timer.cancel()
        self._end(bool(reason.check(web_client.ResponseDone)))


def read_body(reactor, rsp, take, stall_s):
    """Return a Deferred of whether the answer came whole."""
    body = Body(reactor, take, stall_s)
    rsp.deliverBody(body)
    return body.done
