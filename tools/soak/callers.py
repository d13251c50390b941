"""Callers: one request at a time on a connection that may be reused."""

import dataclasses

from crocuskeel.gateway import connections
import h11
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol

__all__ = ["Caller", "Reply", "Request"]

CONNECT_S = 2.0
# Headers by which a response says where its body ends.
FRAMING = frozenset((b"content-length", b"transfer-encoding"))


@dataclasses.dataclass(frozen=True)
class Request:
    """A request; the caller disconnects after ``abandon_after_s`` if set.

    ``resumes`` is the id of the request that began its stream, of which the
    caller has the events up to ``last_event``. ``is_repeated`` is true of
    tries that callers repeat until their time limit.
    """

    rid: str
    kind: str
    path: str
    headers: tuple
    body: bytes
    deadline_s: float = 4.0
    abandon_after_s: float | None = None
    resumes: str = ""
    last_event: int = 0
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True)
class Reply:
    """The outcome of a request.

    ``status`` 0 means that no complete response arrived; ``body`` is what
    did. ``connected`` is false if the host accepted no connection.
    ``abandoned`` is true if the caller disconnected. ``is_framed`` is false
    if the response had neither a length nor chunks, so that its end says
    nothing.
    """

    status: int = 0
    body: bytes = b""
    retry_after_s: float | None = None
    connected: bool = True
    abandoned: bool = False
    is_framed: bool = True


class _Connection(protocol.Protocol):
    """An HTTP client connection that sends one request at a time."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.h11 = h11.Connection(h11.CLIENT)
        self.reply_received = None
        self.body = []
        self.is_framed = True
        self.port = None
        self.lost = False

    def send(self, request):
        """Send a request; return a Deferred of its Reply."""
        self.reply_received = defer.Deferred()
        self.status, self.retry_after_s, self.body = 0, None, []
        timeout_s = request.deadline_s
        if request.abandon_after_s is not None:
            timeout_s = request.abandon_after_s
        self.timer = self.reactor.callLater(
            timeout_s, self._end, request.abandon_after_s is not None)
        length = (b"Content-Length", b"%d" % len(request.body))
        self.transport.write(connections.encode(
            self.h11, b"POST", request.path.encode(),
            [*request.headers, length], request.body))
        return self.reply_received

    def dataReceived(self, data):
        self.h11.receive_data(data)
        while self.reply_received is not None:
            try:
                event = connections.next_event(self.h11)
            except h11.RemoteProtocolError:
                self._end()
                return
            if event is None:
                return
            self._handle_event(event)

    def _handle_event(self, event):
        match event:
            case h11.Response():
                self.status = event.status_code
                headers = dict(event.headers.raw_items())
                value = headers.get(b"Retry-After")
                self.is_framed = not FRAMING.isdisjoint(
                    name for name, _ in event.headers)
                self.retry_after_s = float(value) if value else None
            case h11.Data():
                self.body.append(bytes(event.data))
            case h11.EndOfMessage():
                self._finish(Reply(
                    self.status, b"".join(self.body), self.retry_after_s,
                    is_framed=self.is_framed))
            case h11.ConnectionClosed():
                self._end()

    def connectionLost(self, reason):
        self.lost = True
        if reason.check(error.ConnectionDone) and self.status:
            self.dataReceived(b"")
        self._end()

    def _end(self, abandoned=False):
        """Finish without a complete response."""
        self._finish(Reply(body=b"".join(self.body), abandoned=abandoned))

    def _finish(self, reply):
        reply_received, self.reply_received = self.reply_received, None
        if reply_received is None:
            return
        if self.timer.active():
            self.timer.cancel()
        if reply.status and self.h11.our_state is h11.DONE and (
                self.h11.their_state is h11.DONE):
            self.h11.start_next_cycle()
        else:
            self.lost = True
            self.transport.abortConnection()
        reply_received.callback(reply)


class Caller:
    """Sends requests to one host, over a connection reused while open."""

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self.connection = None

    async def send(self, request):
        """Send a request; return its Reply."""
        if self.connection is None or self.connection.lost:
            try:
                self.connection = await self._connect()
            except (error.ConnectError, error.ConnectionLost):
                return Reply(connected=False)
        return await self.connection.send(request)

    @property
    def port(self):
        """Return the port of the caller's last connection, or None."""
        return None if self.connection is None else self.connection.port

    def _connect(self):
        factory = _CallerFactory(self.reactor)
        self.reactor.connectTCP(*self.address, factory, timeout=CONNECT_S)
        return factory.connecting

    def close(self):
        """Close the connection."""
        if self.connection is not None and not self.connection.lost:
            self.connection.transport.abortConnection()


class _CallerFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, reactor):
        self.reactor = reactor
        self.connecting = defer.Deferred()

    def buildProtocol(self, addr):
        conn = _Connection(self.reactor)

        def connected():
            conn.port = conn.transport.getHost().port
            self.connecting.callback(conn)

        conn.connectionMade = connected
        return conn

    def clientConnectionFailed(self, connector, reason):
        self.connecting.errback(reason)
