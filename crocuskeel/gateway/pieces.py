"""Sends large bodies piece by piece, as fast as the peer reads them."""

import h11
from twisted.internet import interfaces
from zope import interface

__all__ = ["PIECE_BYTES", "send"]

# Size of a piece, bytes; also the most that a connection then buffers.
PIECE_BYTES = 1 << 16


@interface.implementer(interfaces.IPullProducer)
class _Sender:
    """Writes the next piece whenever the transport has sent the last one."""

    def __init__(self, transport, conn, body, on_sent):
        self.transport = transport
        self.conn = conn
        self.body = memoryview(body)
        self.on_sent = on_sent

    def resumeProducing(self):
        """Write a piece, or report that all of them were sent."""
        if not self.body:
            self.transport.unregisterProducer()
            self.on_sent()
            return
        piece, self.body = self.body[:PIECE_BYTES], self.body[PIECE_BYTES:]
        self.transport.write(self.conn.send(h11.Data(data=piece)))

    def stopProducing(self):
        """Free the body; the connection is lost."""
        self.body = memoryview(b"")


def send(transport, conn, body, on_sent):
    """Send ``body`` to a transport, framed by an h11 connection.

    ``on_sent()`` is called once the transport has sent all of it, unless the
    connection is lost.
    """
    transport.registerProducer(
        _Sender(transport, conn, body, on_sent), False)
