"""Listening ports whose connections write at once.

A token is a few hundred bytes that nearly always fit the socket's
buffer. Twisted queues them and asks the loop to say when the socket
takes data: two system calls and a turn of the loop more for each token.
"""

from twisted.internet import tcp

__all__ = ["listen"]


class _EagerServer(tcp.Server):
    """Sends what is written at once if nothing waits before it.

    What the socket does not take stays queued as ever, so that order,
    back-pressure and errors are those of Twisted.
    """

    def write_now(self, data):
        """Write; ``data`` must not be empty."""
        if (self.disconnecting or not self.connected or self.dataBuffer
                or self._tempDataBuffer or self._writeDisconnected):
            self.write(data)
            return
        sent = self.writeSomeData(data)
        if not isinstance(sent, int):
            # Failed; the queued write meets the same error and closes.
            sent = 0
        if sent < len(data):
            self.write(data[sent:])


class _EagerPort(tcp.Port):
    transport = _EagerServer


def listen(reactor, port, factory, address):
    """Listen like ``reactor.listenTCP``; returns the port."""
    listener = _EagerPort(port, factory, 50, address, reactor)
    listener.startListening()
    return listener
