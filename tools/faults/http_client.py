"""HTTP client of the fault drive: JSON calls and incremental reading."""

import json

from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import client as web_client

import treq

__all__ = ["BodyReader", "get_json", "new_http", "post_json", "read_body"]

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 3.0
OPERATOR_HEADERS = {"Authorization": "Bearer operator-token"}


def new_http(reactor):
    """Return a client that opens a new connection for each call."""
    agent = web_client.Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
    return treq.client.HTTPClient(agent)


async def get_json(reactor, http, url, headers=OPERATOR_HEADERS,
                   timeout_s=CALL_TIMEOUT_S):
    """Return status and JSON of a GET; errors of treq are not caught."""
    return await _call_json(
        reactor, http, "GET", url, headers, None, timeout_s)


async def post_json(reactor, http, url, body, timeout_s=CALL_TIMEOUT_S):
    """Return status and JSON of a POST with operator credentials."""
    return await _call_json(reactor, http, "POST", url, OPERATOR_HEADERS,
                            json.dumps(body).encode(), timeout_s)


async def _call_json(reactor, http, method, url, headers, data, timeout_s):
    async def call():
        rsp = await http.request(
            method, url, headers=headers, data=data, unbuffered=True)
        content = await treq.content(rsp)
        return rsp.code, json.loads(content) if content else None

    deferred = defer.Deferred.fromCoroutine(call())
    deferred.addTimeout(timeout_s, reactor)
    return await deferred


class BodyReader(protocol.Protocol):
    """Reads a response body; fires ``done`` with True if it is complete.

    ``on_data(bytes)`` gets the bytes as they arrive. After
    ``stall_timeout_s`` seconds without data the connection is closed and
    the body counts as incomplete.
    """

    def __init__(self, reactor, on_data, stall_timeout_s):
        self.reactor = reactor
        self.on_data = on_data
        self.stall_timeout_s = stall_timeout_s
        self.done = defer.Deferred()
        self.stall_timer = reactor.callLater(stall_timeout_s, self._stalled)

    def _stalled(self):
        self._finish(False)
        if self.transport is not None:
            self.transport.stopProducing()

    def _finish(self, complete):
        if not self.done.called:
            self.done.callback(complete)

    def dataReceived(self, data):
        """Pass bytes on and restart the stall timer."""
        if self.stall_timer.active():
            self.stall_timer.reset(self.stall_timeout_s)
        self.on_data(data)

    def connectionLost(self, reason=protocol.connectionDone):
        """Finish: complete only if the response ended normally."""
        if self.stall_timer.active():
            self.stall_timer.cancel()
        self._finish(bool(reason.check(web_client.ResponseDone)))


def read_body(reactor, rsp, on_data, stall_timeout_s):
    """Return a Deferred of whether the response body was complete."""
    body = BodyReader(reactor, on_data, stall_timeout_s)
    rsp.deliverBody(body)
    return body.done
