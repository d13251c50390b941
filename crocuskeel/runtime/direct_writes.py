"""Listening ports whose connections write to the socket immediately.

A token is a few hundred bytes, which nearly always fit into the socket
buffer. Twisted queues them and waits until the reactor reports the
socket writable, which costs two more system calls and one more reactor
iteration for each token.
"""

from twisted.internet import tcp

__all__ = ["count_unsent", "listen", "new_connection", "new_port"]


class _DirectWriteServer(tcp.Server):
    """Sends data immediately if no earlier data is queued.

    Data that the socket does not accept is queued as usual, so order,
    back-pressure and error handling remain Twisted's.
    """

    def __init__(self, sock, protocol, client, server, number, reactor):
        super().__init__(sock, protocol, client, server, number, reactor)
        server.connections.add(self)

    def connectionLost(self, reason):
        self.server.connections.discard(self)
        super().connectionLost(reason)

    def write_now(self, data):
        """Write directly to the socket; ``data`` must not be empty."""
        if (self.disconnecting or not self.connected or _has_unsent_data(self)
                or self._writeDisconnected):
            self.write(data)
            return
        try:
            sent = self.socket.send(data)
        except OSError:
            # The buffer is full or the socket failed. The queued write
            # waits, or gets the same error and closes the connection.
            sent = 0
        if sent < len(data):
            self.write(data[sent:])


class _DirectWritePort(tcp.Port):
    transport = _DirectWriteServer

    def __init__(self, *args):
        super().__init__(*args)
        self.connections = set()


def new_port(reactor, port, factory, address):
    """Return a port that is not listening yet."""
    return _DirectWritePort(port, factory, 50, address, reactor)


def new_connection(sock, protocol, port):
    """Return the transport of an accepted socket."""
    return _DirectWriteServer(
        sock, protocol, ("", 0), port, 0, port.reactor)


def count_unsent(port):
    """Return the number of connections that have unsent data."""
    return sum(map(_has_unsent_data, port.connections))


def _has_unsent_data(connection):
    return bool(connection.dataBuffer or connection._tempDataBuffer)


def listen(reactor, port, factory, address):
    """Listen like ``reactor.listenTCP``; returns the port."""
    listener = new_port(reactor, port, factory, address)
    listener.startListening()
    return listener
