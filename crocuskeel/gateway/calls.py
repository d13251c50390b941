"""Single HTTP/1.1 calls: of the store and of other hosts."""

import dataclasses

from crocuskeel.gateway import exceptions
from crocuskeel.gateway import sockets
import h11
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol

__all__ = ["Reply", "call"]

CONNECT_S = 1.0
BODY_MOST = 8 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer to a call."""

    status: int
    body: bytes


class _Caller(protocol.Protocol):
    """One call on its own connection."""

    def __init__(self, data, done):
        self.data = data
        self.done = done
        self.h11 = h11.Connection(h11.CLIENT)
        self.status = 0
        self.body = []
        self.size = 0

    def connectionMade(self):
        sockets.tune(self.transport)
        method, target, headers, body = self.data
        out = self.h11.send(h11.Request(
            method=method, target=target, headers=headers))
        if body:
            out += self.h11.send(h11.Data(data=body))
        out += self.h11.send(h11.EndOfMessage())
        self.transport.write(out)

    def dataReceived(self, data):
        self.h11.receive_data(data)
        self._pump()

    def connectionLost(self, reason):
        if reason.check(error.ConnectionDone) and self.status:
            self.h11.receive_data(b"")
            self._pump()
        self._fail(reason.type.__name__)

    def _pump(self):
        while not self.done.called:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as exc:
                self._fail(str(exc))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._take(event)

    def _take(self, event):
        match event:
            case h11.Response():
                self.status = event.status_code
            case h11.Data():
                self._collect(bytes(event.data))
            case h11.EndOfMessage():
                self.transport.abortConnection()
                self.done.callback(
                    Reply(self.status, b"".join(self.body)))
            case h11.ConnectionClosed():
                self._fail("closed")

    def _collect(self, data):
        self.size += len(data)
        if self.size > BODY_MOST:
            self._fail("answer too large")
            return
        self.body.append(data)

    def _fail(self, why):
        if not self.done.called:
            self.transport.abortConnection()
            self.done.errback(exceptions.CallFailed(why))


class _Dialer(protocol.ClientFactory):
    noisy = False

    def __init__(self, caller):
        self.caller = caller

    def buildProtocol(self, addr):
        return self.caller

    def clientConnectionFailed(self, connector, reason):
        if not self.caller.done.called:
            self.caller.done.errback(
                exceptions.CallFailed(reason.type.__name__))


def call(reactor, address, method, target, timeout_s, body=b"",
         headers=None):
    """Make one call; return a Deferred of its Reply.

    ``address`` is (ip, port); ``headers`` go in place of a Host header of
    the address. Fails with CallFailed if no whole answer
    came within ``timeout_s``; the call may have been carried out.
    """
    if headers is None:
        name = address[0].encode()
        headers = [(b"Host", b"%s:%d" % (name, address[1]))]
    headers = [*headers, (b"Connection", b"close")]
    if body:
        headers += [(b"Content-Type", b"application/json"),
                    (b"Content-Length", b"%d" % len(body))]
    done = defer.Deferred(lambda _: connector.disconnect())
    caller = _Caller((method, target, headers, body), done)
    connector = reactor.connectTCP(
        *address, _Dialer(caller), timeout=CONNECT_S)
    timer = reactor.callLater(timeout_s, _time_out, done, connector)
    done.addBoth(_settle, timer)
    return done


def _time_out(done, connector):
    if not done.called:
        done.errback(exceptions.CallFailed("timeout"))
    connector.disconnect()


def _settle(result, timer):
    if timer.active():
        timer.cancel()
    return result
