"""The token path: bytes of a backend server's answer to the caller.

Events are not parsed: bytes go on up to the last event boundary of each
chunk, so that a broken stream can be resumed after a whole event.
"""

from twisted.internet import protocol
from twisted.web import _newclient
from twisted.web import client as web_client

from crocuskeel.core import events
from crocuskeel.runtime import callers
from crocuskeel.runtime import kept
from crocuskeel.runtime import loop

__all__ = ["Discard", "start"]

BOUNDARY = b"\n\n"
BOUNDARY_BYTES = 2
MAX_EVENT_BYTES = 1024 * 1024
MAX_DISCARD_BYTES = 64 * 1024


class Discard(protocol.Protocol):
    """Reads a short body nobody wants, so its connection can be kept."""

    seen = 0

    def dataReceived(self, data):
        self.seen += len(data)
        if self.seen > MAX_DISCARD_BYTES:
            self.transport.stopProducing()


class _Relay(protocol.Protocol):
    """Relays one answer; ``tail`` is the start of an unfinished event."""

    def __init__(self, ctx, attempt, sse, close):
        self.ctx = ctx
        self.attempt = attempt
        self.sse = sse
        self.close = close
        self.tail = b""
        self.seconds = ctx.reactor.seconds

    def connectionMade(self):
        self.attempt.body = self
        if self.attempt.held.paused_at:
            self.attempt.pause()

    def dataReceived(self, data):
        attempt = self.attempt
        if attempt.ended:
            return
        attempt.last_at = self.seconds()
        if self.sse:
            data = self._whole_events(data)
            if not data:
                return
            count = data.count(BOUNDARY)
            attempt.events += count
            attempt.held.events += count
        callers.write(attempt.held, data)
        if attempt.keep is not None:
            kept.append(self.ctx, attempt.keep, data)
        if not attempt.first_at:
            _opened(self.ctx, attempt)

    def _whole_events(self, data):
        if self.tail:
            data = self.tail + data
            self.tail = b""
        if data.endswith(BOUNDARY):
            return data
        cut = data.rfind(BOUNDARY) + BOUNDARY_BYTES
        if cut < BOUNDARY_BYTES:
            cut = 0
        self.tail = data[cut:]
        if len(self.tail) > MAX_EVENT_BYTES:
            # An engine that never ends an event would fill the memory.
            self.transport.stopProducing()
        return data[:cut]

    def connectionLost(self, reason=protocol.connectionDone):
        attempt = self.attempt
        attempt.body = None
        if attempt.ended:
            return
        whole = reason.check(web_client.ResponseDone) and not self.tail
        if not whole:
            self.close(self.ctx, attempt, events.AttemptEnd.BROKEN)
            return
        if not attempt.first_at:
            _opened(self.ctx, attempt)
        callers.end(self.ctx, attempt.held)
        self.close(self.ctx, attempt, events.AttemptEnd.DONE)


def start(ctx, attempt, rsp, close):
    """Relay an answer whose head has come.

    ``close(ctx, attempt, end)`` is called when it ends.
    """
    content_type = rsp.headers.getRawHeaders(b"Content-Type", [b""])[0]
    sse = content_type.startswith(callers.SSE)
    length = None if sse or rsp.length is _newclient.UNKNOWN_LENGTH \
        else rsp.length
    if not attempt.held.begun:
        callers.begin(attempt.held, rsp.code, content_type, length)
        if attempt.keep is not None:
            kept.begin(attempt.keep, rsp.code, content_type)
    rsp.deliverBody(_Relay(ctx, attempt, sse, close))


def _opened(ctx, attempt):
    attempt.first_at = attempt.last_at
    loop.feed(ctx, events.AttemptOpened(
        attempt.rid, attempt.number,
        attempt.first_at - attempt.opened_at))
