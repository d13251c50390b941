"""HTTP/1.1 client with one request per connection.

A handler supplies the request and processes the answer:

- ``request()`` returns (method, target, headers, body);
- ``head_received(status, headers)``, ``data_received(data)`` and
  ``end_received()`` are called with the parts of the answer;
- ``failed(failure, detail)`` is called if the answer ends early.
"""

import enum

from crocuskeel.gateway import pieces
from crocuskeel.gateway import sockets
from crocuskeel.gateway import turns as processor_turns
import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from zope import interface

__all__ = ["Connection", "EVENTS_PER_TURN", "Failure", "PARSED_BODY_BYTES",
           "connect", "encode", "encode_head", "ends_with_close",
           "has_no_body", "new_server_parser", "next_event"]


# A connection's timeout that fires later than this, s, shows that this process
# was paused or busy, not that the server can't be reached. It connects again
# then, at most so many times.
LATE_TIMEOUT_S = 0.05
MAX_LATE_TIMEOUTS = 2
# Headers of which one frames a body, and statuses of answers without one.
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
BODILESS_STATUSES = (204, 304)
# Other statuses are invalid (RFC 9110, 15); h11 accepts any of three digits
# from 100 on.
MAX_STATUS = 599
# Interim responses (1xx) that may precede an answer.
MAX_INTERIM_RESPONSES = 8
# Pieces of data in an answer. One that has more is sent byte by byte, and
# parsing it takes more time than the host has for one answer.
MAX_PIECES = 1 << 15
# Events that are handled before other connections have their turn.
EVENTS_PER_TURN = 64
# How much of what was received is parsed at once, bytes: a handler may need
# much time for small parts of it. Bodies that are only collected need little.
PARSED_BYTES = 1 << 12
PARSED_BODY_BYTES = 1 << 16


class Failure(enum.Enum):
    """Why an answer is incomplete."""

    # No connection was established; nothing was sent.
    UNREACHABLE = "unreached"
    # The same; the host actively refused the connection.
    REFUSED = "refused"
    # The connection ended before the answer was complete.
    DISCONNECTED = "broken"
    # The answer is not valid HTTP.
    MALFORMED = "garbled"


def next_event(conn):
    """Return the next event of an h11 connection, or None for lack of data.

    Raises h11.RemoteProtocolError for bytes that are not valid HTTP.
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


def new_server_parser(max_head_bytes, former=None):
    """Return an h11 connection that reads requests.

    It goes on with what ``former`` holds of later requests, which must be
    between two of them.
    """
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=max_head_bytes)
    if former is None:
        return parser
    unread, is_closed = former.trailing_data
    if unread:
        parser.receive_data(unread)
    if is_closed:
        parser.receive_data(b"")
    return parser


def encode_head(parser, status, headers):
    """Return the bytes of the head of an answer to an h11 connection.

    Without a length or chunks, the answer ends with the connection.
    """
    if not _has_framing(headers):
        # h11 would add chunks to it, but for peers that speak HTTP/1.0.
        parser.their_http_version = b"1.0"
    return parser.send(h11.Response(status_code=status, headers=headers))


def ends_with_close(parser, method, status, headers):
    """Return whether only a close ends an answer whose head was encoded.

    Peers that speak HTTP/1.0 don't know chunks.
    """
    return (parser.their_http_version < b"1.1"
            and not has_no_body(method, status)
            and all(name.lower() != b"content-length" for name, _ in headers))


def has_no_body(method, status):
    """Return whether an answer ends with its head, whatever its headers."""
    return method == b"HEAD" or status in BODILESS_STATUSES


def _has_framing(headers):
    return any(name.lower() in FRAMING_HEADERS for name, _ in headers)


def _is_unframed(method, response):
    """Return whether only the end of the connection ends an answer.

    RFC 9112, 6.3.
    """
    return not (has_no_body(method, response.status_code)
                or _has_framing(response.headers))


@interface.implementer(interfaces.IHalfCloseableProtocol)
class Connection(protocol.Protocol):
    """A request and its answer; ``close`` ends all calls of the handler.

    ``lost``: the connection ended before this side closed it.
    ``unframed``: the answer has neither a length nor chunks, so that nothing
    but a clean close of the connection marks its end.
    ``pieces_left``: how many pieces of data the answer may still have.
    ``parsed_bytes``: how much is parsed at once of what was received, and
    ``unparsed``: the rest of it. ``turns``: those that it shares with others;
    None to handle all that was received.
    """

    def __init__(self, handler, is_expired=None, turns=None):
        self.handler = handler
        self.is_expired = is_expired
        self.turns = turns
        self.usage = processor_turns.Usage()
        self.parsed_bytes = PARSED_BYTES
        self.unparsed = bytearray()
        self.connector = None
        self.pieces_left = MAX_PIECES
        self.interim_responses = 0
        # Causes for which nothing is read.
        self.pauses = set()
        self.h11 = h11.Connection(h11.CLIENT)
        self.has_head = False
        self.method = b""
        self.unframed = False
        self.lost = False
        self.closed = False

    def connectionMade(self):
        sockets.configure(self.transport)
        # The connector refers to this connection.
        self.connector = None
        if self.closed:
            self.transport.abortConnection()
            return
        if self.is_expired is not None:
            sockets.reset_on_close(self.transport)
            if self.is_expired():
                # The process was paused after the call was requested.
                self.fail(Failure.UNREACHABLE,
                          "deadline passed before sending")
                return
        method, target, headers, body = self.handler.request()
        self.method = method
        if len(body) <= pieces.PIECE_BYTES:
            sockets.write(self.transport, encode(
                self.h11, method, target, headers, body))
            return
        sockets.write(self.transport, self.h11.send(h11.Request(
            method=method, target=target, headers=headers)))
        pieces.send(self.transport, self.h11, body, self._end_request)

    def _end_request(self):
        sockets.write(self.transport, self.h11.send(h11.EndOfMessage()))

    def dataReceived(self, data):
        if self.closed:
            return
        self.unparsed += data
        if self not in self.pauses:
            self.take_turn()

    def readConnectionLost(self):
        """Handle that the server has closed the connection in order.

        It is still open for writing, so that the kernel tells what has become
        of the request.
        """
        self._input_ended(error.ConnectionDone.__name__, True)

    def writeConnectionLost(self):
        """Do nothing: this side is never closed alone."""

    def connectionLost(self, reason):
        self._input_ended(reason.type.__name__,
                          reason.check(error.ConnectionDone) is not None)

    def _input_ended(self, detail, is_clean):
        if self.closed:
            return
        self.lost = True
        if is_clean and self.has_head:
            if self.unparsed:
                self.h11.receive_data(bytes(self.unparsed))
                self.unparsed.clear()
                self._process_events()
            if not self.closed and self._may_end_answer():
                self.h11.receive_data(b"")
                self._process_events()
        self.fail(Failure.DISCONNECTED, detail)

    def _may_end_answer(self):
        """Return whether the end of the connection may end the answer.

        Without a length a clean close does so, but not one before the server
        has the whole request: it may have crashed while that was written. A
        write that meets the reset takes it from the next read, which then
        sees a clean close.
        """
        if not self.unframed:
            return True
        return not (self.h11.our_state is h11.SEND_BODY
                    or self.transport.connected
                    and sockets.is_unreceived(self.transport))

    def pause(self, cause):
        """Read nothing until each cause has resumed it."""
        self.pauses.add(cause)
        self.transport.pauseProducing()

    def resume(self, cause):
        """Read on, unless there is another cause not to."""
        self.pauses.discard(cause)
        if not self.pauses:
            self.transport.resumeProducing()

    def take_turn(self):
        """Handle some events, and the others at the next turn."""
        if self.turns is None:
            self._process_events()
            return
        if self in self.pauses:
            self.resume(self)
        began_at = self.turns.seconds()
        is_done = self._process_events(
            EVENTS_PER_TURN, began_at + processor_turns.BURST_S)
        took_s = self.turns.seconds() - began_at
        is_spent = self.turns.charge(self.usage, took_s)
        if not self.closed and (is_spent or not is_done):
            self.pause(self)
            self.turns.wait(self, took_s)

    def _process_events(self, most=None, until=None):
        """Handle events; return if none is left.

        At most ``most``, and none after ``until``; None for no limit.
        """
        handled = 0
        while not self.closed:
            if handled == most or (
                    until is not None and self.turns.seconds() > until):
                return False
            try:
                event = next_event(self.h11)
            except h11.RemoteProtocolError as exc:
                self.fail(Failure.MALFORMED, str(exc))
                return True
            if event is not None:
                handled += 1
                self._handle_event(event)
            elif self.unparsed:
                self.h11.receive_data(bytes(self.unparsed[:self.parsed_bytes]))
                del self.unparsed[:self.parsed_bytes]
            else:
                return True
        return True

    def _handle_event(self, event):
        match event:
            case h11.Response() if event.status_code > MAX_STATUS:
                self.fail(Failure.MALFORMED, "invalid status")
            case h11.Response():
                self.has_head = True
                self.unframed = _is_unframed(self.method, event)
                self.handler.head_received(
                    event.status_code, tuple(event.headers.raw_items()))
            case h11.InformationalResponse():
                self.interim_responses += 1
                if self.interim_responses > MAX_INTERIM_RESPONSES:
                    self.fail(Failure.MALFORMED, "too many responses")
            case h11.Data():
                self.pieces_left -= 1
                if self.pieces_left < 0:
                    self.fail(Failure.MALFORMED, "too many pieces")
                    return
                self.handler.data_received(bytes(event.data))
            case h11.EndOfMessage():
                self.handler.end_received()
            case h11.ConnectionClosed():
                self.fail(Failure.DISCONNECTED, "connection closed")

    def fail(self, failure, detail):
        """Close and report a failure, unless already closed."""
        if not self.closed:
            handler = self.handler
            self.close()
            handler.failed(failure, detail)

    def close(self):
        """Abort the connection and drop the handler.

        The handler refers to this connection, and may hold a whole request.
        """
        self.closed = True
        self.handler = None
        connector, self.connector = self.connector, None
        if self.transport is not None:
            self.transport.abortConnection()
        elif connector is not None:
            # This has no effect if the connection has already failed.
            connector.disconnect()


class _ConnectionFactory(protocol.ClientFactory):
    """Connects again after a timeout that was late.

    The timeout runs from the call that connects, which Twisted carries out in
    the next turn of its loop. If that turn begins after the timeout, the
    connection fails before the server can accept it.
    """

    noisy = False

    def __init__(self, connection, clock, timeout_s):
        self.connection = connection
        self.clock = clock
        self.timeout_s = timeout_s
        self.began_at = clock.seconds()
        self.late_timeouts = 0

    def buildProtocol(self, addr):
        return self.connection

    def clientConnectionFailed(self, connector, reason):
        if self._is_late(reason) and not self.connection.closed:
            self.late_timeouts += 1
            self.began_at = self.clock.seconds()
            connector.connect()
            return
        failure = Failure.UNREACHABLE
        if reason.check(error.ConnectionRefusedError):
            failure = Failure.REFUSED
        self.connection.fail(failure, reason.type.__name__)

    def _is_late(self, reason):
        late_s = self.clock.seconds() - self.began_at - self.timeout_s
        return (reason.check(error.TimeoutError) is not None
                and late_s > LATE_TIMEOUT_S
                and self.late_timeouts < MAX_LATE_TIMEOUTS)


def connect(reactor, address, handler, timeout_s, is_expired=None,
            turns=None):
    """Connect to (ip, port) for one request; return the Connection.

    ``timeout_s`` is for each time that it connects, three at most, of which
    all but the last ended late. ``is_expired()``, if given, returns
    whether it is too late to send. ``turns`` are those that it shares with
    other connections; None for its own.
    """
    connection = Connection(
        handler, is_expired, turns or processor_turns.Turns(reactor))
    connection.connector = reactor.connectTCP(
        *address, _ConnectionFactory(connection, reactor, timeout_s),
        timeout=timeout_s)
    return connection
