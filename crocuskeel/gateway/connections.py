"""HTTP/1.1 as a client: one request on a connection of its own.

What is asked, and what is made of the answer, is for a handler to say:

- ``request()`` returns (method, target, headers, body);
- ``took_head(status, headers)``, ``took_data(data)`` and ``took_end()``
  get the answer as it comes;
- ``failed(failure, detail)`` says that no more of it comes.
"""

import enum

from crocuskeel.gateway import sockets
import h11
from twisted.internet import error
from twisted.internet import protocol

__all__ = ["Connection", "Failure", "connect", "encode",
           "next_event"]


class Failure(enum.Enum):
    """Why an answer is not whole."""

    # No connection could be had; nothing was sent.
    UNREACHED = "unreached"
    # The same, and the other host says that nothing listens there.
    REFUSED = "refused"
    # The connection ended before the answer did.
    BROKEN = "broken"
    # What came is no HTTP.
    GARBLED = "garbled"


def next_event(conn):
    """Return the next event of an h11 connection, None until more comes.

    Raises h11.RemoteProtocolError for bytes that are no HTTP.
    """
    event = conn.next_event()
    if event is h11.NEED_DATA or event is h11.PAUSED:
        return None
    return event


def encode(conn, method, target, headers, body):
    """Return the bytes of a request on an h11 connection."""
    data = conn.send(h11.Request(
        method=method, target=target, headers=headers))
    if body:
        data += conn.send(h11.Data(data=body))
    return data + conn.send(h11.EndOfMessage())


class Connection(protocol.Protocol):
    """One request and its answer; nothing comes after ``close``."""

    def __init__(self, handler, is_late=None):
        self.handler = handler
        self.is_late = is_late
        self.connector = None
        self.h11 = h11.Connection(h11.CLIENT)
        self.has_head = False
        self.over = False

    def connectionMade(self):
        sockets.tune(self.transport)
        if self.over:
            self.transport.abortConnection()
            return
        if self.is_late is not None:
            sockets.drop_at_end(self.transport)
            if self.is_late():
                # The process stood still since the call was decided.
                self.fail(Failure.UNREACHED, "too late to send")
                return
        sockets.write(self.transport,
                      encode(self.h11, *self.handler.request()))

    def dataReceived(self, data):
        if not self.over:
            self.h11.receive_data(data)
            self._pump()

    def connectionLost(self, reason):
        if self.over:
            return
        # A clean close ends an answer without a length; a reset means
        # that its rest was lost.
        if reason.check(error.ConnectionDone) and self.has_head:
            self.h11.receive_data(b"")
            self._pump()
        self.fail(Failure.BROKEN, reason.type.__name__)

    def _pump(self):
        while not self.over:
            try:
                event = next_event(self.h11)
            except h11.RemoteProtocolError as exc:
                self.fail(Failure.GARBLED, str(exc))
                return
            if event is None:
                return
            self._take(event)

    def _take(self, event):
        match event:
            case h11.Response():
                self.has_head = True
                self.handler.took_head(
                    event.status_code, tuple(event.headers.raw_items()))
            case h11.Data():
                self.handler.took_data(bytes(event.data))
            case h11.EndOfMessage():
                self.handler.took_end()
            case h11.ConnectionClosed():
                self.fail(Failure.BROKEN, "closed")

    def fail(self, failure, detail):
        """End with a failure, unless it is over."""
        if not self.over:
            self.close()
            self.handler.failed(failure, detail)

    def close(self):
        """End it; the other side notices the close."""
        self.over = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            # Nothing happens if the connection has failed already.
            self.connector.disconnect()


class _Dialer(protocol.ClientFactory):
    noisy = False

    def __init__(self, connection):
        self.connection = connection

    def buildProtocol(self, addr):
        return self.connection

    def clientConnectionFailed(self, connector, reason):
        failure = Failure.UNREACHED
        if reason.check(error.ConnectionRefusedError):
            failure = Failure.REFUSED
        self.connection.fail(failure, reason.type.__name__)


def connect(reactor, address, handler, timeout_s, is_late=None):
    """Connect to (ip, port) for one request; return the Connection.

    ``is_late()``, if given, says that it must not be sent any more.
    """
    connection = Connection(handler, is_late)
    connection.connector = reactor.connectTCP(
        *address, _Dialer(connection), timeout=timeout_s)
    return connection
