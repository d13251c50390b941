"""HTTP/1.1 server for callers."""

from crocuskeel.core.entry import body_memory
from crocuskeel.gateway import closing
from crocuskeel.gateway import connections
from crocuskeel.gateway import exchanges
from crocuskeel.gateway import header_codec
from crocuskeel.gateway import listeners
from crocuskeel.gateway import memory as host_memory
from crocuskeel.gateway import pieces
from crocuskeel.gateway import sockets
import h11
from twisted.internet import protocol

__all__ = ["CallerConnection", "Exchange", "new_listener"]

Exchange = exchanges.Exchange

# Bytes of pipelined requests after which nothing more is read until the answer
# before them ends.
MAX_PIPELINED_BYTES = 1 << 16
# Unsent bytes of an answer at which a slow caller is disconnected.
MAX_UNSENT_BYTES = 1 << 20
# Factor by which a body of unknown length gets more memory.
BODY_GROWTH = 4


class CallerConnection(protocol.Protocol):
    """A caller's connection.

    ``handler`` has ``request_received(exchange)``,
    ``caller_disconnected(exchange)``, ``request_rejected(status, why)``
    and ``limits()``. The listener's ``memory`` is that of the host; a body
    of unknown or large size is read once it has memory.
    """

    def __init__(self, reactor, handler, listener):
        self.reactor = reactor
        self.handler = handler
        self.listener = listener
        self.limits = handler.limits()
        self.h11 = connections.new_server_parser(self.limits.header_bytes)
        self.exchange = None
        self.memory = listener.memory
        self.lingering = False
        self.timer = None
        self.unread = 0
        self.reading_paused = False
        self.has_producer = False
        self._reset_request()

    def _reset_request(self):
        self.request = None
        self.body = bytearray()
        self.body_key = None
        # Size up to which the body has memory, bytes.
        self.body_room = body_memory.SMALL_BODY_BYTES
        self.awaits_memory = False

    def _update_limits(self):
        """Apply the limits in force to the next request."""
        limits = self.handler.limits()
        if limits != self.limits:
            self.limits = limits
            self.h11 = connections.new_server_parser(
                limits.header_bytes, self.h11)

    @property
    def size(self):
        """What was read of the body, bytes."""
        return len(self.body)

    def connectionMade(self):
        sockets.configure(self.transport)
        self.listener.open_connections.add(self)
        self.set_timer(self.limits.idle_s, self._idle_timed_out)

    def connectionLost(self, reason):
        self.listener.open_connections.discard(self)
        self.lingering = True
        self._cancel_timer()
        self._free_request()
        self.memory.forget(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not exchange.finished:
            exchange.finished = True
            self.handler.caller_disconnected(exchange)

    def dataReceived(self, data):
        if self.lingering:
            return
        if self.exchange is not None:
            self._count_unread(len(data))
        elif self._awaits_head():
            self._update_limits()
            self.set_timer(self.limits.header_s, self._head_timed_out)
        self.h11.receive_data(data)
        self._process_events()
        if self.lingering:
            return
        if self.exchange is not None:
            if self.unread > MAX_PIPELINED_BYTES or (
                    self.unread and self.memory.is_unread_full()):
                self.pause_reading()
        elif self.request is None:
            self._recount_unread()
            if self.unread and self.memory.is_unread_full():
                self._reject(503, "host memory")

    def _awaits_head(self):
        """Return whether nothing of the next request has been read."""
        return self.request is None and not self.h11.trailing_data[0]

    def _count_unread(self, size):
        """Count bytes that belong to no request that has begun."""
        self.unread += size
        self.memory.add_unread(size)

    def _recount_unread(self):
        """Count what the parser still holds."""
        self._count_unread(len(self.h11.trailing_data[0]) - self.unread)

    def _process_events(self):
        handled = 0
        while (self.exchange is None and not self.lingering
               and not self.awaits_memory):
            if handled == connections.EVENTS_PER_TURN:
                # Let other connections have their turn.
                self.pause_reading()
                self.reactor.callLater(0, self._continue)
                return
            handled += 1
            try:
                event = connections.next_event(self.h11)
            except h11.RemoteProtocolError as exc:
                self._reject(exc.error_status_hint, str(exc))
                return
            if event is None:
                return
            self._handle_event(event)

    def _continue(self):
        if not self.lingering and not self.awaits_memory:
            self.resume_reading()
            self._process_events()

    def pause_reading(self):
        """Read nothing more for now."""
        self.reading_paused = True
        self.transport.pauseProducing()

    def resume_reading(self):
        """Read on."""
        if self.reading_paused:
            self.reading_paused = False
            self.transport.resumeProducing()

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
        if self.unread:
            self._recount_unread()
        if self._has_ambiguous_length():
            self._reject(400, "both Content-Length and Transfer-Encoding")
            return
        declared = int(self.request.get(b"content-length") or 0)
        if declared > self.limits.body_bytes:
            self._reject(413, "body too large")
            return
        self.set_timer(self.limits.idle_s, self._idle_timed_out)
        if declared > self.body_room:
            self._announce_body(declared)
        else:
            self._continue_request()

    def _continue_request(self):
        if self.h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(
                status_code=100, headers=[]))

    def _announce_body(self, size):
        """Ask for memory, and read nothing until there is some."""
        if self.body_key is None:
            self.body_key = exchanges.new_key()
        self.body_room = size
        self.awaits_memory = True
        self.memory.announce(self, self.body_key, self.request, size)
        if self.awaits_memory:
            self.pause_reading()

    def read_body(self):
        """Read the body on: there is memory for it."""
        self.awaits_memory = False
        self._continue_request()
        if self.reading_paused:
            self.resume_reading()
            self._process_events()

    def refuse_body(self, status, why, retry_delay_s):
        """Send a final answer instead of reading the body, and close.

        What the caller still sends is discarded, for as long as it may take
        to send a body: it may read the answer only then.
        """
        self.awaits_memory = False
        self.body_key = None
        headers, body = exchanges.error_answer(why, retry_delay_s)
        self._reject(status, why, headers, body, self.limits.idle_s)

    def _free_request(self):
        """Free the memory of a request that won't be delivered."""
        key = self.body_key
        self._reset_request()
        if key is not None:
            self.memory.release_body(key)
        self._count_unread(-self.unread)

    def _has_ambiguous_length(self):
        # Servers may disagree on which header frames the body, which allows
        # to smuggle a second request past one of them.
        return (self.request.get(b"content-length") is not None
                and self.request.get(b"transfer-encoding") is not None)

    def _collect_body(self, data):
        if self.size + len(data) > self.limits.body_bytes:
            self._reject(413, "body too large")
            return
        self.body += data
        if self.size > self.body_room:
            # Its length is unknown.
            self._announce_body(min(self.limits.body_bytes,
                                    self.body_room * BODY_GROWTH))

    def _deliver_request(self):
        self._cancel_timer()
        if self.body_key is not None:
            self.memory.body_read(self.body_key)
        self.exchange = exchanges.Exchange(
            self, self.request, bytes(self.body), self.body_key)
        self._reset_request()
        self.handler.request_received(self.exchange)

    def _reject(self, status, why, headers=(), body=b"",
                linger_s=closing.LINGER_S):
        """Reject a malformed, late or too large request, and close."""
        self.handler.request_rejected(status, why)
        is_head = self.request is not None and self.request.method == b"HEAD"
        self._free_request()
        if self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(h11.Response(status_code=status, headers=[
                *headers, (b"Content-Length", b"%d" % len(body)),
                (b"Connection", b"close")]))
            if body and not is_head:
                self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())
        closing.linger(self, linger_s)

    def set_timer(self, delay_s, callback, *args):
        """Call back after a while, in place of any earlier timer."""
        self._cancel_timer()
        self.timer = self.reactor.callLater(delay_s, callback, *args)

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
        former_s = self.limits.idle_s
        self._update_limits()
        if self.limits.idle_s > former_s:
            self.set_timer(self.limits.idle_s - former_s,
                           self._idle_timed_out)
            return
        if sockets.unread([self.transport]):
            # This host is late: the next turn of its loop reads it.
            self.set_timer(self.limits.idle_s, self._idle_timed_out)
            return
        closing.close_unused(self)

    def is_idle(self):
        """Return whether no request is being read or answered."""
        return not (self.exchange or self.lingering) and self._awaits_head()

    def is_reading(self):
        """Return whether a request has been read in part."""
        return not (self.exchange or self.lingering or self._awaits_head())

    def close_idle(self):
        """Close if idle, and return so; otherwise after the current answer.

        A close would reset a connection with something to be read, which may
        have come long ago if this host is slow.
        """
        if not self.is_idle() or sockets.unread([self.transport]):
            return False
        closing.close_unused(self)
        return True

    def _encode_head(self, status, headers):
        # A request behind this one has come and is answered, too.
        if (self.listener.ends_keep_alive and self._awaits_head()
                and not sockets.unread([self.transport])):
            headers = [*headers, (b"Connection", b"close")]
        data = connections.encode_head(self.h11, status, headers)
        if connections.ends_with_close(
                self.h11, self.exchange.head.method, status, headers):
            sockets.reset_on_close(self.transport)
        return data

    def send_head(self, status, headers):
        """Send the head of an answer."""
        sockets.write(self.transport, self._encode_head(status, headers))
        self.memory.note_write(self)

    def begin_stream(self, exchange):
        """Let an exchange produce the answer as fast as it is read."""
        self.has_producer = True
        self.transport.registerProducer(exchange, True)

    def send_data(self, data):
        """Send a piece of an answer."""
        self._send(h11.Data(data=data))
        # A caller that stops reading must not exhaust this host's memory.
        if sockets.unsent_bytes(self.transport) > MAX_UNSENT_BYTES:
            closing.cut(self, "answer not read")

    def send_end(self):
        """End an answer and process the next request, if any."""
        if self.has_producer:
            self.has_producer = False
            self.transport.unregisterProducer()
        self._send(h11.EndOfMessage())
        self._finish_answer()

    def send_answer(self, status, headers, body):
        """Send an answer with its body."""
        if len(body) > pieces.PIECE_BYTES:
            self.send_head(status, headers)
            request = self.exchange.request
            self.memory.begin_sending(
                self, len(body), request and request.deadline_s)
            pieces.send(self.transport, self.h11, body, self.send_end)
            return
        parts = [self._encode_head(status, headers)]
        if body:
            parts.append(self.h11.send(h11.Data(data=body)))
        parts.append(self.h11.send(h11.EndOfMessage()))
        sockets.write(self.transport, b"".join(parts))
        self.memory.note_write(self)
        self._finish_answer()

    def _finish_answer(self):
        self.memory.end_sending(self)
        self.exchange = None
        if self.h11.our_state is not h11.DONE:
            closing.linger(self)
            return
        self.h11.start_next_cycle()
        self._update_limits()
        if not self._awaits_head():
            self.set_timer(self.limits.header_s, self._head_timed_out)
        elif self.listener.closing and not sockets.unread([self.transport]):
            closing.linger(self, reads=False)
            return
        else:
            self.set_timer(self.limits.idle_s, self._idle_timed_out)
        self.resume_reading()
        self.reactor.callLater(0, self._process_events)

    def _send(self, event):
        sockets.write(self.transport, self.h11.send(event))
        self.memory.note_write(self)


def new_listener(reactor, handler, memory=None):
    """Return a factory of connections; without a HostMemory, no limits."""
    return listeners.Listener(
        reactor, lambda listener: CallerConnection(reactor, handler, listener),
        memory or host_memory.UnlimitedMemory())
