"""Listening ports whose connections write at once.

A token is a few hundred bytes that nearly always fit the socket's
buffer. Twisted queues them and asks the loop to say when the socket
takes data: two system calls and a turn of the loop more for each token.
"""

from twisted.internet import tcp

__all__ = ["listen", "new_conn", "new_port", "unsent"]


class _EagerServer(tcp.Server):
    """Sends what is written at once if nothing waits before it.

    What the socket does not take stays queued as ever, so that order,
    back-pressure and errors are those of Twisted.
    """

    def __init__(self, sock, protocol, client, server, number, reactor):
        super().__init__(sock, protocol, client, server, number, reactor)
        server.conns.add(self)

    def connectionLost(self, reason):
        self.server.conns.discard(self)
        super().connectionLost(reason)

    def write_now(self, data):
        """Write; ``data`` must not be empty."""
        if (self.disconnecting or not self.connected or _waits(self)
                or self._writeDisconnected):
            self.write(data)
            return
        try:
            sent = self.socket.send(data)
        except OSError:
            # Full or failed: the queued write waits, or meets the same
            # error and closes.
            sent = 0
        if sent < len(data):
            self.write(data[sent:])


class _EagerPort(tcp.Port):
    transport = _EagerServer

    def __init__(self, *args):
        super().__init__(*args)
        self.conns = set()


def new_port(reactor, port, factory, address):
    """Return a port that doesn't listen yet."""
    return _EagerPort(port, factory, 50, address, reactor)


def new_conn(sock, protocol, port):
    """Return the transport of an accepted socket."""
    return _EagerServer(
        sock, protocol, ("", 0), port, 0, port.reactor)


def unsent(port):
    """Return the number of connections that still have bytes to send."""
    return sum(map(_waits, port.conns))


def _waits(conn):
    return bool(conn.dataBuffer or conn._tempDataBuffer)


def listen(reactor, port, factory, address):
    """Listen like ``reactor.listenTCP``; returns the port."""
    listener = new_port(reactor, port, factory, address)
    listener.startListening()
    return listener
