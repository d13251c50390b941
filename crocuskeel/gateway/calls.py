"""Single HTTP/1.1 calls: of the store and of other hosts."""

import dataclasses

from crocuskeel.gateway import connections
from crocuskeel.gateway import exceptions
from twisted.internet import defer

__all__ = ["Reply", "call"]

CONNECT_S = 1.0
BODY_MOST = 8 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer to a call."""

    status: int
    body: bytes


class _Call:
    """One call; ``asked`` is (method, target, headers, body)."""

    def __init__(self, asked, done):
        self.asked = asked
        self.done = done
        self.connection = None
        self.status = 0
        self.body = []
        self.size = 0

    def request(self):
        """Return what to send."""
        return self.asked

    def took_head(self, status, headers):
        """Note the status."""
        self.status = status

    def took_data(self, data):
        """Collect a piece of the answer."""
        self.size += len(data)
        if self.size > BODY_MOST:
            self.give_up("answer too large")
            return
        self.body.append(data)

    def took_end(self):
        """Hand over the whole answer."""
        self.connection.close()
        self.done.callback(Reply(self.status, b"".join(self.body)))

    def failed(self, failure, detail):
        """No whole answer comes."""
        self.done.errback(exceptions.CallFailed(detail))

    def give_up(self, why):
        """End the call as failed, unless it is over."""
        self.connection.fail(connections.Failure.BROKEN, why)


def call(reactor, address, method, target, timeout_s, body=b"",
         headers=None, until=None):
    """Make one call; return a Deferred of its Reply.

    ``address`` is (ip, port); ``headers`` go after the Host header of
    the address, in place of it if they have one. Nothing is sent from
    ``until`` on, by the reactor's clock. Fails with CallFailed if no whole
    answer came within ``timeout_s``; the call may have been carried out.
    """
    headers = list(headers or ())
    if all(name != b"Host" for name, _ in headers):
        name = address[0].encode()
        headers.insert(0, (b"Host", b"%s:%d" % (name, address[1])))
    headers.append((b"Connection", b"close"))
    if body:
        headers += [(b"Content-Type", b"application/json"),
                    (b"Content-Length", b"%d" % len(body))]
    done = defer.Deferred(lambda _: making.connection.close())
    making = _Call((method, target, headers, body), done)

    def is_late():
        return until is not None and reactor.seconds() >= until

    making.connection = connections.connect(
        reactor, address, making, CONNECT_S, is_late)
    timer = reactor.callLater(timeout_s, making.give_up, "timeout")
    done.addBoth(_settle, timer)
    return done


def _settle(result, timer):
    if timer.active():
        timer.cancel()
    return result
