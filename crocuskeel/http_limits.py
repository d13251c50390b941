"""Limits on answers that Twisted's HTTP client reads.

It reads heads and bodies of any length, and goes on with a body after the
call that wanted it has ended: a peer that sends without end would take all
memory, or the processor for good.
"""

from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import _newclient
from twisted.web import client as web_client

__all__ = ["TooLarge", "new_pool", "read_body"]

# Bytes of the head of an answer, with the interim responses before it.
MAX_HEAD_BYTES = 1 << 16
# Pieces in which a body may come: more take too much time.
MAX_PIECES = 1 << 15
_IN_HEAD = (_newclient.STATUS, _newclient.HEADER)


class TooLarge(Exception):
    """A body has more bytes or pieces than the call allows."""


class _Body(protocol.Protocol):
    """Collects a body; ``done`` fires with it once it has ended.

    ``complete_ends`` are the reasons for which the connection is done with a
    complete body.
    """

    def __init__(self, max_bytes, complete_ends):
        self.max_bytes = max_bytes
        self.complete_ends = complete_ends
        self.size = 0
        self.parts = []
        self.done = defer.Deferred(lambda _: self._stop())

    def _stop(self):
        self.parts.clear()
        self.transport.loseConnection()

    def dataReceived(self, data):
        if self.done.called:
            return
        self.size += len(data)
        self.parts.append(data)
        if self.size > self.max_bytes or len(self.parts) > MAX_PIECES:
            why = f"{self.size} bytes in {len(self.parts)} pieces"
            self._stop()
            self.done.errback(TooLarge(why))

    def connectionLost(self, reason=protocol.connectionDone):
        if self.done.called:
            return
        if reason.check(*self.complete_ends):
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(reason)


def read_body(response, max_bytes, allow_unframed=False):
    """Return a Deferred of the body of a response.

    It fails with TooLarge if it has more than ``max_bytes``. If it fails or is
    cancelled, the connection is closed. ``allow_unframed``: accept a body
    that neither a length nor chunks end, which may be cut. The response must
    not be one that treq buffers.
    """
    ends = [web_client.ResponseDone]
    if allow_unframed:
        ends.append(web_client.PotentialDataLoss)
    body = _Body(max_bytes, ends)
    response.deliverBody(body)
    return body.done


class _LimitedHeads(_newclient.HTTP11ClientProtocol):
    """A connection that is closed if the head of an answer doesn't end."""

    head_bytes = 0

    def dataReceived(self, data):
        super().dataReceived(data)
        if self._parser is None or self._parser.state not in _IN_HEAD:
            self.head_bytes = 0
            return
        self.head_bytes += len(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.abort()


class _Factory(web_client._HTTP11ClientFactory):
    def buildProtocol(self, addr):
        return _LimitedHeads(self._quiescentCallback)


class _Pool(web_client.HTTPConnectionPool):
    _factory = _Factory


def new_pool(reactor, persistent=True):
    """Return a connection pool whose connections limit heads.

    It doesn't repeat requests: Twisted would otherwise retry a GET or DELETE
    whose answer was lost.
    """
    pool = _Pool(reactor, persistent)
    pool.retryAutomatically = False
    return pool
