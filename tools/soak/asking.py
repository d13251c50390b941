"""Callers: one request at a time on a connection that may be kept."""

import dataclasses

from crocuskeel.gateway import connections
import h11
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol

__all__ = ["Asked", "Caller", "Reply"]

CONNECT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Asked:
    """A request. It is given up after ``leaves_s``, if that is set."""

    rid: str
    kind: str
    path: str
    headers: tuple
    body: bytes
    deadline_s: float = 4.0
    leaves_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Reply:
    """What came of a request.

    ``status`` 0 says that no whole answer came; ``connected`` is false
    if the host took no connection.
    """

    status: int = 0
    body: bytes = b""
    retry_s: float | None = None
    connected: bool = True
    left: bool = False


class _Connection(protocol.Protocol):
    """Asks for one thing after the other."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.h11 = h11.Connection(h11.CLIENT)
        self.done = None
        self.lost = False

    def ask(self, asked):
        """Send a request; return a Deferred of its Reply."""
        self.done = defer.Deferred()
        self.status, self.retry_s, self.body = 0, None, []
        span = asked.deadline_s
        if asked.leaves_s is not None:
            span = asked.leaves_s
        self.timer = self.reactor.callLater(
            span, self._finish, Reply(left=asked.leaves_s is not None))
        length = (b"Content-Length", b"%d" % len(asked.body))
        self.transport.write(connections.encode(
            self.h11, b"POST", asked.path.encode(),
            [*asked.headers, length], asked.body))
        return self.done

    def dataReceived(self, data):
        self.h11.receive_data(data)
        while self.done is not None:
            try:
                event = connections.next_event(self.h11)
            except h11.RemoteProtocolError:
                self._finish(Reply())
                return
            if event is None:
                return
            self._take(event)

    def _take(self, event):
        match event:
            case h11.Response():
                self.status = event.status_code
                found = dict(event.headers.raw_items()).get(b"Retry-After")
                self.retry_s = float(found) if found else None
            case h11.Data():
                self.body.append(bytes(event.data))
            case h11.EndOfMessage():
                self._finish(Reply(
                    self.status, b"".join(self.body), self.retry_s))
            case h11.ConnectionClosed():
                self._finish(Reply())

    def connectionLost(self, reason):
        self.lost = True
        if reason.check(error.ConnectionDone) and self.status:
            self.dataReceived(b"")
        self._finish(Reply())

    def _finish(self, reply):
        done, self.done = self.done, None
        if done is None:
            return
        if self.timer.active():
            self.timer.cancel()
        if reply.status and self.h11.our_state is h11.DONE and (
                self.h11.their_state is h11.DONE):
            self.h11.start_next_cycle()
        else:
            self.lost = True
            self.transport.abortConnection()
        done.callback(reply)


class Caller:
    """Asks one host, on a connection that it keeps while that lives."""

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self.connection = None

    async def ask(self, asked):
        """Send a request; return its Reply."""
        if self.connection is None or self.connection.lost:
            try:
                self.connection = await self._connect()
            except (error.ConnectError, error.ConnectionLost):
                return Reply(connected=False)
        return await self.connection.ask(asked)

    def _connect(self):
        factory = _Dialer(self.reactor)
        self.reactor.connectTCP(*self.address, factory, timeout=CONNECT_S)
        return factory.made

    def close(self):
        """End the connection."""
        if self.connection is not None and not self.connection.lost:
            self.connection.transport.abortConnection()


class _Dialer(protocol.ClientFactory):
    noisy = False

    def __init__(self, reactor):
        self.reactor = reactor
        self.made = defer.Deferred()

    def buildProtocol(self, addr):
        conn = _Connection(self.reactor)
        conn.connectionMade = lambda: self.made.callback(conn)
        return conn

    def clientConnectionFailed(self, connector, reason):
        self.made.errback(reason)
