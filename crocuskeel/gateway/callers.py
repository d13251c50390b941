"""HTTP/1.1 server for callers."""

import itertools

from crocuskeel.gateway import connections
from crocuskeel.gateway import header_codec
from crocuskeel.gateway import sockets
import h11
from twisted.internet import protocol

__all__ = ["CallerConnection", "Exchange", "new_listener"]

# Bytes of pipelined requests that a caller may send before its answer ends.
MAX_PIPELINED_BYTES = 1 << 16
# Unsent bytes of an answer at which a slow caller is disconnected.
MAX_UNSENT_BYTES = 1 << 20
# After an early answer the rest of a request is read for this long, s: a
# close with unread bytes would reset the connection and lose the answer.
LINGER_S = 1.0
_exchange_keys = itertools.count()


class Exchange:
    """One request of a caller and its answer.

    ``attempts`` maps the number of an attempt at a server to it.
    ``last_event_id`` is that of the last event that was sent to the caller.
    """

    __slots__ = ("answer_begun", "attempts", "body", "connection", "finished",
                 "head", "key", "last_event_id", "request", "timer")

    def __init__(self, connection, head, body):
        self.key = next(_exchange_keys)
        self.connection = connection
        self.head = head
        self.body = body
        self.request = None
        self.attempts = {}
        self.timer = None
        self.last_event_id = None
        self.answer_begun = False
        self.finished = False

    def answer(self, status, headers, body):
        """Send a complete answer, unless one has begun."""
        if self.finished or self.answer_begun:
            return
        self.finished = True
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        self.connection.send_answer(status, headers, body)

    def begin_answer(self, status, headers):
        """Begin an answer of unknown length."""
        if self.answer_begun or self.finished:
            return
        self.answer_begun = True
        headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        self.connection.send_head(status, headers)

    def send_data(self, data):
        """Send a piece of the answer."""
        if not self.finished:
            self.connection.send_data(data)

    def end_answer(self):
        """Complete the answer."""
        if not self.finished:
            self.finished = True
            self.connection.send_end()

    def abort(self):
        """Reset the connection, so that the answer can't seem complete."""
        if not self.finished:
            self.finished = True
            self.connection.transport.abortConnection()


class CallerConnection(protocol.Protocol):
    """A caller's connection.

    ``handler`` has ``request_received(exchange)``,
    ``caller_disconnected(exchange)``, ``request_rejected(status, why)``
    and ``limits()``.
    """

    def __init__(self, reactor, handler, listener):
        self.reactor = reactor
        self.handler = handler
        self.listener = listener
        self.limits = handler.limits()
        self.h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes)
        self.exchange = None
        self.lingering = False
        self.timer = None
        self.pipelined = 0
        self._reset_request()

    def _reset_request(self):
        self.request = None
        self.body = []
        self.size = 0

    def connectionMade(self):
        sockets.configure(self.transport)
        self.listener.open_connections.add(self)
        self._set_timer(self.limits.idle_s, self._idle_timed_out)

    def connectionLost(self, reason):
        self.listener.open_connections.discard(self)
        self._cancel_timer()
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not exchange.finished:
            exchange.finished = True
            self.handler.caller_disconnected(exchange)

    def dataReceived(self, data):
        if self.lingering:
            return
        if self.exchange is not None:
            self.pipelined += len(data)
            if self.pipelined > MAX_PIPELINED_BYTES:
                self.transport.abortConnection()
                return
        elif self.request is None:
            self._set_timer(self.limits.header_s, self._head_timed_out)
        self.h11.receive_data(data)
        self._process_events()

    def _process_events(self):
        while self.exchange is None and not self.lingering:
            try:
                event = connections.next_event(self.h11)
            except h11.RemoteProtocolError as exc:
                self._reject(exc.error_status_hint, str(exc))
                return
            if event is None:
                return
            self._handle_event(event)

    def _handle_event(self, event):
        match event:
            case h11.Request():
                self._start_request(event)
            case h11.Data():
                self._collect_body(event.data)
            case h11.EndOfMessage():
                self._deliver_request()
            case h11.ConnectionClosed():
                self.transport.loseConnection()
                self.lingering = True

    def _start_request(self, event):
        headers = tuple(event.headers.raw_items())
        self.request = header_codec.Head(headers, event.method, event.target)
        if self._has_ambiguous_length():
            self._reject(400, "both Content-Length and Transfer-Encoding")
            return
        declared = self.request.get(b"content-length")
        if declared and int(declared) > self.limits.body_bytes:
            self._reject(413, "body too large")
            return
        self._set_timer(self.limits.idle_s, self._idle_timed_out)
        if self.h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(
                status_code=100, headers=[]))

    def _has_ambiguous_length(self):
        # Servers may disagree on which header frames the body, which allows
        # to smuggle a second request past one of them.
        return (self.request.get(b"content-length") is not None
                and self.request.get(b"transfer-encoding") is not None)

    def _collect_body(self, data):
        self.size += len(data)
        if self.size > self.limits.body_bytes:
            self._reject(413, "body too large")
            return
        self.body.append(bytes(data))

    def _deliver_request(self):
        self._cancel_timer()
        self.pipelined = 0
        self.exchange = Exchange(self, self.request, b"".join(self.body))
        self._reset_request()
        self.handler.request_received(self.exchange)

    def _reject(self, status, why):
        """Reject a malformed or late request, and close."""
        self.handler.request_rejected(status, why)
        if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(h11.Response(status_code=status, headers=[
                (b"Content-Length", b"0"), (b"Connection", b"close")]))
            self._send(h11.EndOfMessage())
        self._linger()

    def _linger(self):
        self.lingering = True
        self.transport.loseWriteConnection()
        self._set_timer(LINGER_S, self.transport.abortConnection)

    def _set_timer(self, delay_s, callback):
        self._cancel_timer()
        self.timer = self.reactor.callLater(delay_s, callback)

    def _cancel_timer(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def _head_timed_out(self):
        self._reject(408, "timeout while reading the request head")

    def _idle_timed_out(self):
        if self.request is not None:
            self._reject(408, "timeout while reading the request body")
            return
        self.lingering = True
        self.transport.loseConnection()

    def is_idle(self):
        """Return whether no request is being read or answered."""
        return (self.exchange is None and self.request is None
                and not self.lingering)

    def close_idle(self):
        """Close if idle; otherwise after the current answer."""
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
        # A caller that stops reading must not exhaust this host's memory.
        if sockets.unsent_bytes(self.transport) > MAX_UNSENT_BYTES:
            self.transport.abortConnection()

    def send_end(self):
        """End an answer and process the next request, if any."""
        self._send(h11.EndOfMessage())
        self._finish_answer()

    def send_answer(self, status, headers, body):
        """Send a complete answer."""
        if self.listener.closing:
            headers = [*headers, (b"Connection", b"close")]
        parts = [self.h11.send(h11.Response(
            status_code=status, headers=headers))]
        if body:
            parts.append(self.h11.send(h11.Data(data=body)))
        parts.append(self.h11.send(h11.EndOfMessage()))
        sockets.write(self.transport, b"".join(parts))
        self._finish_answer()

    def _finish_answer(self):
        self.exchange = None
        if self.h11.our_state is not h11.DONE:
            self._linger()
            return
        self.h11.start_next_cycle()
        self._set_timer(self.limits.idle_s, self._idle_timed_out)
        self.reactor.callLater(0, self._process_events)

    def _send(self, event):
        sockets.write(self.transport, self.h11.send(event))


class _Listener(protocol.Factory):
    """Factory that tracks the open connections of a listening port."""

    noisy = False

    def __init__(self, reactor, handler):
        self.reactor = reactor
        self.handler = handler
        self.open_connections = set()
        self.closing = False

    def buildProtocol(self, addr):
        return CallerConnection(self.reactor, self.handler, self)

    def close_idle(self):
        """Close idle connections now, others after their answers."""
        self.closing = True
        for conn in list(self.open_connections):
            conn.close_idle()


def new_listener(reactor, handler):
    """Return a factory of caller connections."""
    return _Listener(reactor, handler)
