"""Single HTTP/1.1 calls to the store and to other hosts."""

import dataclasses

from crocuskeel.gateway import connections
from crocuskeel.gateway import exceptions
from twisted.internet import defer

__all__ = ["Reply", "call"]

CONNECT_TIMEOUT_S = 1.0
# A text of this size may take four times as much memory, and its values as
# much again. Pages and objects of the store have a megabyte each.
MAX_BODY_BYTES = 4 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The complete answer to a call; ``headers`` holds (name, value)."""

    status: int
    body: bytes
    headers: tuple = ()


class _Call:
    """One call; ``request_parts`` is (method, target, headers, body)."""

    def __init__(self, request_parts, done, max_bytes=MAX_BODY_BYTES):
        self.request_parts = request_parts
        self.done = done
        self.max_bytes = max_bytes
        self.connection = None
        self.status = 0
        self.headers = ()
        self.body = bytearray()
        self.too_large = False

    def request(self):
        """Return the parts of the request."""
        return self.request_parts

    def head_received(self, status, headers):
        """Store the status and the headers."""
        self.status = status
        self.headers = tuple(headers)
        self.connection.parsed_bytes = connections.PARSED_BODY_BYTES

    def data_received(self, data):
        """Collect a piece of the answer."""
        if len(self.body) + len(data) > self.max_bytes:
            self.too_large = True
            self.abort("answer too large")
            return
        self.body += data

    def end_received(self):
        """Deliver the complete answer."""
        self.connection.close()
        self.done.callback(Reply(
            self.status, bytes(self.body), self.headers))

    def failed(self, failure, detail):
        """Report that the call failed."""
        self.done.errback(exceptions.CallFailed(
            detail, self.connection.lost, self.too_large))

    def abort(self, why):
        """Fail the call, unless it has ended."""
        self.connection.fail(connections.Failure.DISCONNECTED, why)


def call(reactor, address, method, target, timeout_s, body=b"",
         headers=None, until=None, max_bytes=MAX_BODY_BYTES, turns=None):
    """Make one call; return a Deferred of its Reply.

    ``address`` is (ip, port). ``headers`` follow a Host header of the address,
    unless they contain one. From ``until`` on, by the reactor's clock, nothing
    is sent. Fails with CallFailed if no complete answer arrives within
    ``timeout_s``, or its body has more than ``max_bytes``; the call may have
    been carried out. ``turns`` are as for connections.connect.
    """
    headers = list(headers or ())
    if all(name != b"Host" for name, _ in headers):
        name = address[0].encode()
        headers.insert(0, (b"Host", b"%s:%d" % (name, address[1])))
    headers.append((b"Connection", b"close"))
    if body:
        headers += [(b"Content-Type", b"application/json"),
                    (b"Content-Length", b"%d" % len(body))]
    done = defer.Deferred(lambda _: pending.connection.close())
    pending = _Call((method, target, headers, body), done, max_bytes)

    def is_expired():
        return until is not None and reactor.seconds() >= until

    pending.connection = connections.connect(
        reactor, address, pending, CONNECT_TIMEOUT_S, is_expired, turns)
    timer = reactor.callLater(timeout_s, pending.abort, "timeout")
    done.addBoth(_cancel_timer, timer)
    return done


def _cancel_timer(result, timer):
    if timer.active():
        timer.cancel()
    return result
