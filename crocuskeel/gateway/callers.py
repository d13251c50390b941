"""HTTP/1.1 of callers: requests in, each with its one answer out."""

import itertools

from crocuskeel.gateway import connections
from crocuskeel.gateway import dialect
from crocuskeel.gateway import sockets
import h11
from twisted.internet import protocol

__all__ = ["CallerConnection", "Exchange", "new_listener"]

# Bytes that a caller may send ahead of its answer, on top of a request.
AHEAD_MOST = 1 << 16
# A caller that takes its answer this slowly is let go: bytes waiting.
UNSENT_MOST = 1 << 20
# After an early answer the rest of a request is read this long, s: a
# close with unread bytes resets the connection and loses the answer.
LINGER_S = 1.0
_numbers = itertools.count()


class Exchange:
    """One request of a caller and its answer.

    ``attempts`` maps a turn to its connection to a server. ``last_event``
    is the id of the last event that the caller was sent.
    """

    __slots__ = ("attempts", "begun", "body", "conn", "head", "key",
                 "last_event", "over", "request", "timer")

    def __init__(self, conn, head, body):
        self.key = next(_numbers)
        self.conn = conn
        self.head = head
        self.body = body
        self.request = None
        self.attempts = {}
        self.timer = None
        self.last_event = None
        self.begun = False
        self.over = False

    def answer(self, status, headers, body):
        """Send a whole answer; only the first one counts."""
        if self.over or self.begun:
            return
        self.over = True
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        self.conn.send_answer(status, headers, body)

    def begin(self, status, headers):
        """Begin an answer whose length is not known."""
        if self.begun or self.over:
            return
        self.begun = True
        headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        self.conn.send_head(status, headers)

    def pass_on(self, data):
        """Send a piece of the answer."""
        if not self.over:
            self.conn.send_data(data)

    def end(self):
        """End the answer as complete."""
        if not self.over:
            self.over = True
            self.conn.send_end()

    def cut(self):
        """End the answer so that it can't look complete."""
        if not self.over:
            self.over = True
            self.conn.transport.abortConnection()


class CallerConnection(protocol.Protocol):
    """A caller's connection.

    ``handler`` has ``arrived(exchange)``,
    ``left(exchange)``, ``refused(status, why)`` and ``limits()``.
    """

    def __init__(self, reactor, handler, listener):
        self.reactor = reactor
        self.handler = handler
        self.listener = listener
        self.limits = handler.limits()
        self.h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head_bytes)
        self.exchange = None
        self.lingering = False
        self.timer = None
        self.ahead = 0
        self._reset()

    def _reset(self):
        self.request = None
        self.body = []
        self.size = 0

    def connectionMade(self):
        sockets.tune(self.transport)
        self.listener.open.add(self)
        self._wait(self.limits.idle_s, self._idle_over)

    def connectionLost(self, reason):
        self.listener.open.discard(self)
        self._stop_waiting()
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not exchange.over:
            exchange.over = True
            self.handler.left(exchange)

    def dataReceived(self, data):
        if self.lingering:
            return
        if self.exchange is not None:
            self.ahead += len(data)
            if self.ahead > AHEAD_MOST:
                self.transport.abortConnection()
                return
        elif self.request is None:
            self._wait(self.limits.head_s, self._head_late)
        self.h11.receive_data(data)
        self._pump()

    def _pump(self):
        while self.exchange is None and not self.lingering:
            try:
                event = connections.next_event(self.h11)
            except h11.RemoteProtocolError as exc:
                self._refuse(exc.error_status_hint, str(exc))
                return
            if event is None:
                return
            self._take(event)

    def _take(self, event):
        match event:
            case h11.Request():
                self._begin(event)
            case h11.Data():
                self._collect(event.data)
            case h11.EndOfMessage():
                self._arrive()
            case h11.ConnectionClosed():
                self.transport.loseConnection()
                self.lingering = True

    def _begin(self, event):
        headers = tuple(event.headers.raw_items())
        self.request = dialect.Head(headers, event.method, event.target)
        if self._is_ambiguous():
            self._refuse(400, "two framings of one body")
            return
        declared = self.request.get(b"content-length")
        if declared and int(declared) > self.limits.body_bytes:
            self._refuse(413, "body too large")
            return
        self._wait(self.limits.idle_s, self._idle_over)
        if self.h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(
                status_code=100, headers=[]))

    def _is_ambiguous(self):
        # Two framings of one body are how a second request is smuggled
        # past one reader: the next server may read the other one.
        return (self.request.get(b"content-length") is not None
                and self.request.get(b"transfer-encoding") is not None)

    def _collect(self, data):
        self.size += len(data)
        if self.size > self.limits.body_bytes:
            self._refuse(413, "body too large")
            return
        self.body.append(bytes(data))

    def _arrive(self):
        self._stop_waiting()
        self.ahead = 0
        self.exchange = Exchange(self, self.request, b"".join(self.body))
        self._reset()
        self.handler.arrived(self.exchange)

    def _refuse(self, status, why):
        """Answer a request that can't be read, and close."""
        self.handler.refused(status, why)
        if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(h11.Response(status_code=status, headers=[
                (b"Content-Length", b"0"), (b"Connection", b"close")]))
            self._send(h11.EndOfMessage())
        self._linger()

    def _linger(self):
        self.lingering = True
        self.transport.loseWriteConnection()
        self._wait(LINGER_S, self.transport.abortConnection)

    def _wait(self, span, then):
        self._stop_waiting()
        self.timer = self.reactor.callLater(span, then)

    def _stop_waiting(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def _head_late(self):
        self._refuse(408, "head took too long")

    def _idle_over(self):
        if self.request is not None:
            self._refuse(408, "body took too long")
            return
        self.lingering = True
        self.transport.loseConnection()

    def is_idle(self):
        """Say whether no request is being read or answered here."""
        return (self.exchange is None and self.request is None
                and not self.lingering)

    def close_idle(self):
        """Close if idle; else after the answer under way."""
        if self.is_idle():
            self.lingering = True
            self.transport.loseConnection()

    def send_head(self, status, headers):
        """Send the head of an answer."""
        if self.listener.closing:
            headers = [*headers, (b"Connection", b"close")]
        self._send(h11.Response(status_code=status, headers=headers))

    def send_data(self, data):
        """Send a piece of an answer."""
        self._send(h11.Data(data=data))
        # A caller that stopped reading must not fill this host's memory.
        if sockets.unsent(self.transport) > UNSENT_MOST:
            self.transport.abortConnection()

    def send_end(self):
        """End an answer; go on with the next request, if any."""
        self._send(h11.EndOfMessage())
        self._next()

    def send_answer(self, status, headers, body):
        """Send a whole answer."""
        if self.listener.closing:
            headers = [*headers, (b"Connection", b"close")]
        parts = [self.h11.send(h11.Response(
            status_code=status, headers=headers))]
        if body:
            parts.append(self.h11.send(h11.Data(data=body)))
        parts.append(self.h11.send(h11.EndOfMessage()))
        sockets.write(self.transport, b"".join(parts))
        self._next()

    def _next(self):
        self.exchange = None
        if self.h11.our_state is not h11.DONE:
            self._linger()
            return
        self.h11.start_next_cycle()
        self._wait(self.limits.idle_s, self._idle_over)
        self.reactor.callLater(0, self._pump)

    def _send(self, event):
        sockets.write(self.transport, self.h11.send(event))


class _Listener(protocol.Factory):
    """Open connections of one listening port."""

    noisy = False

    def __init__(self, reactor, handler):
        self.reactor = reactor
        self.handler = handler
        self.open = set()
        self.closing = False

    def buildProtocol(self, addr):
        return CallerConnection(self.reactor, self.handler, self)

    def close_idle(self):
        """Close idle connections, and others after their answers."""
        self.closing = True
        for conn in list(self.open):
            conn.close_idle()


def new_listener(reactor, handler):
    """Return a factory of caller connections."""
    return _Listener(reactor, handler)
