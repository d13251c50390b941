"""Listening ports for connections of callers."""

from crocuskeel.gateway import sockets
from twisted.internet import protocol

__all__ = ["Listener"]


class Listener(protocol.Factory):
    """Factory that tracks the open connections of a listening port.

    ``new_connection(listener)`` returns the protocol of a connection, and
    ``memory`` is that of the host. As the reactor stops, it closes all
    connections in order: those that mustn't are reset before.
    """

    noisy = False

    def __init__(self, reactor, new_connection, memory):
        self.reactor = reactor
        self.new_connection = new_connection
        self.memory = memory
        self.open_connections = set()
        self.ends_keep_alive = False
        self.closing = False

    def startFactory(self):
        self.reactor.addSystemEventTrigger(
            "before", "shutdown", self.reset_unfinished)

    def buildProtocol(self, addr):
        return self.new_connection(self)

    def end_keep_alive(self):
        """Have each answer that begins from now on end its connection."""
        self.ends_keep_alive = True

    def reading(self):
        """Return the number of requests that are being read."""
        return sum(conn.is_reading() for conn in self.open_connections)

    def unread(self):
        """Return the number of idle connections with something to be read."""
        return sockets.unread([conn.transport for conn in self.open_connections
                               if conn.is_idle()])

    def close_idle(self):
        """Close idle connections now, others after their answers.

        Returns how many were ``closed`` and ``kept``, the latter with a
        request that is read, answered or waits to be read.
        """
        self.ends_keep_alive = True
        self.closing = True
        closed = sum(conn.close_idle() for conn in list(self.open_connections))
        return {"closed": closed, "kept": len(self.open_connections) - closed}

    def reset_unfinished(self):
        """Reset connections whose close would seem to complete an answer."""
        for conn in list(self.open_connections):
            if sockets.resets_on_close(conn.transport):
                conn.transport.abortConnection()
