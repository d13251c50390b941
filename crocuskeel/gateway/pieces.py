"""Sends large bodies piece by piece, as fast as the peer reads them."""

from twisted.internet import interfaces
from zope import interface

__all__ = ["PIECE_BYTES", "send"]

# Size of a piece, bytes; also the most that a connection then buffers.
PIECE_BYTES = 1 << 16


@interface.implementer(interfaces.IPullProducer)
class _Sender:
    """Writes the next piece whenever the transport has sent the last one."""

    def __init__(self, transport, body, encode, on_sent):
        self.transport = transport
        self.body = memoryview(body)
        self.encode = encode
        self.on_sent = on_sent

    def resumeProducing(self):
        """Write a piece, or report that all of them were sent."""
        if not self.body:
            self.transport.unregisterProducer()
            self.on_sent()
            return
        piece, self.body = self.body[:PIECE_BYTES], self.body[PIECE_BYTES:]
        self.transport.write(self.encode(piece))

    def stopProducing(self):
        """Free the body; the connection is lost."""
        self.body = memoryview(b"")


def send(transport, body, encode, on_sent):
    """Send ``body`` to a transport.

    ``encode(piece)`` returns the bytes to write for a piece, and
    ``on_sent()`` is called once the transport has sent all of them, unless
    the connection is lost.
    """
    transport.registerProducer(
        _Sender(transport, body, encode, on_sent), False)
