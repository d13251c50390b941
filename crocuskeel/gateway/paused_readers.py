"""Lets peers pause while they read, without taking them for gone.

The kernel resets a connection whose data is not acknowledged for some seconds,
and doesn't tell a peer that is gone from one that reads nothing: the latter
closes its window, and the kernel counts what it may not send yet as well. Once
a window is closed its peer is known to be there, and gets more time.
"""

from crocuskeel.gateway import sockets

__all__ = ["PausedReaders"]


class PausedReaders:
    """Connections that have sent something that may not have arrived.

    ``extended`` are those whose peers have more time.
    """

    def __init__(self):
        self.sending = set()
        self.extended = set()

    def add(self, conn):
        """Watch a connection that sends data."""
        self.sending.add(conn)

    def discard(self, conn):
        """Handle the end of a connection."""
        self.sending.discard(conn)
        self.extended.discard(conn)

    def check(self):
        """Give more time to peers that read nothing; once a tick."""
        for conn in list(self.sending):
            transport = conn.transport
            if not transport.connected:
                self.discard(conn)
                continue
            unsent, in_flight = sockets.kernel_backlog(transport)
            if not (unsent or in_flight or sockets.unsent_bytes(transport)):
                self.sending.discard(conn)
                if conn in self.extended:
                    self.extended.discard(conn)
                    sockets.set_user_timeout(transport)
            elif unsent and not in_flight and conn not in self.extended:
                self.extended.add(conn)
                sockets.set_user_timeout(
                    transport, sockets.PAUSED_USER_TIMEOUT_MS)
