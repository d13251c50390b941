"""Relays the bytes of a backend server's response to the caller.

Events are not parsed: bytes are forwarded up to the last event boundary
of each chunk, so that a broken stream can be resumed after a complete
event.
"""

from twisted.internet import protocol
from twisted.web import _newclient
from twisted.web import client as web_client

from crocuskeel.core import events
from crocuskeel.runtime import callers
from crocuskeel.runtime import loop
from crocuskeel.runtime import response_cache

__all__ = ["DiscardBody", "start"]

BOUNDARY = b"\n\n"
BOUNDARY_BYTES = 2
MAX_EVENT_BYTES = 1024 * 1024
MAX_DISCARD_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 2.0


class DiscardBody(protocol.Protocol):
    """Discards a short body so that its connection can be reused.

    The connection of one that is long or slow is closed.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.received_bytes = 0
        self.timer = None

    def connectionMade(self):
        self.timer = self.reactor.callLater(
            DISCARD_TIMEOUT_S, self.transport.stopProducing)

    def dataReceived(self, data):
        self.received_bytes += len(data)
        if self.received_bytes > MAX_DISCARD_BYTES:
            self.transport.stopProducing()

    def connectionLost(self, reason=protocol.connectionDone):
        if self.timer.active():
            self.timer.cancel()


class _Relay(protocol.Protocol):
    """Relays one response; ``partial_event`` is an incomplete event."""

    def __init__(self, ctx, attempt, is_sse, on_end):
        self.ctx = ctx
        self.attempt = attempt
        self.is_sse = is_sse
        self.on_end = on_end
        self.partial_event = b""
        self.clock = ctx.reactor.seconds

    def connectionMade(self):
        self.attempt.body_protocol = self
        if self.attempt.exchange.paused_at:
            self.attempt.pause()

    def dataReceived(self, data):
        attempt = self.attempt
        if attempt.ended:
            return
        attempt.last_data_at = self.clock()
        if self.is_sse:
            data = self._complete_events(data)
            if not data:
                return
            count = data.count(BOUNDARY)
            attempt.event_count += count
            attempt.exchange.event_count += count
        callers.write(attempt.exchange, data)
        if attempt.cached_response is not None:
            response_cache.append(self.ctx, attempt.cached_response, data)
        if not attempt.first_data_at:
            _report_first_data(self.ctx, attempt)

    def _complete_events(self, data):
        if self.partial_event:
            data = self.partial_event + data
            self.partial_event = b""
        if data.endswith(BOUNDARY):
            return data
        end = data.rfind(BOUNDARY) + BOUNDARY_BYTES
        if end < BOUNDARY_BYTES:
            end = 0
        self.partial_event = data[end:]
        if len(self.partial_event) > MAX_EVENT_BYTES:
            # An engine that never ends an event would exhaust memory.
            self.transport.stopProducing()
        return data[:end]

    def connectionLost(self, reason=protocol.connectionDone):
        attempt = self.attempt
        attempt.body_protocol = None
        if attempt.ended:
            return
        complete = (reason.check(web_client.ResponseDone)
                    and not self.partial_event)
        if not complete:
            self.on_end(self.ctx, attempt, events.AttemptEnd.CONNECTION_LOST)
            return
        if not attempt.first_data_at:
            _report_first_data(self.ctx, attempt)
        callers.finish_response(self.ctx, attempt.exchange)
        self.on_end(self.ctx, attempt, events.AttemptEnd.DONE)


def start(ctx, attempt, response, on_end):
    """Relay a response whose head has been received.

    ``on_end(ctx, attempt, end)`` is called when it ends.
    """
    content_type = response.headers.getRawHeaders(b"Content-Type", [b""])[0]
    is_sse = content_type.startswith(callers.SSE)
    length = None if is_sse or response.length is _newclient.UNKNOWN_LENGTH \
        else response.length
    if not attempt.exchange.response_started:
        callers.start_response(
            attempt.exchange, response.code, content_type, length)
        if attempt.cached_response is not None:
            response_cache.set_head(
                attempt.cached_response, response.code, content_type)
    response.deliverBody(_Relay(ctx, attempt, is_sse, on_end))


def _report_first_data(ctx, attempt):
    attempt.first_data_at = attempt.last_data_at
    loop.feed(ctx, events.AttemptOpened(
        attempt.rid, attempt.number,
        attempt.first_data_at - attempt.opened_at))
