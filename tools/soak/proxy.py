"""A loopback TCP proxy that injects connection faults.

A link is the proxy in front of one server, or between one host and the
store. It can delay data, reset open connections, drop the data of one
direction, or drop all data of the open connections while new ones work.
"""

import collections

from tools.soak import cuts
from twisted.internet import error
from twisted.internet import protocol

__all__ = ["Link"]

CONNECT_S = 5.0


class _Side(protocol.Protocol):
    """One of the two connections of a pair; ``other`` receives its data."""

    def __init__(self, link, from_client):
        self.link = link
        self.from_client = from_client
        self.other = None
        self.silenced = False
        # (due, data) to forward to the other side; None as data closes it.
        self.delayed = collections.deque()
        self.unsent = []

    def connectionMade(self):
        self.link.sides.add(self)
        self.silenced = self.link.is_silent(self)
        if not self.from_client:
            return
        self.link.refused.discard(self.transport.getPeer().port)
        form = self.link.form_of(self)
        if form == cuts.Form.SILENT:
            self.silenced = True
        elif form is not None:
            self.transport.abortConnection()
        else:
            self.link.connect(self)

    def dataReceived(self, data):
        if not self.silenced:
            self._queue(data)

    def connectionLost(self, reason):
        self.link.sides.discard(self)
        if self.silenced:
            return
        if reason.check(error.ConnectionDone):
            self._queue(None)
        elif self.other is not None:
            self.other.transport.abortConnection()

    def silence(self):
        """Carry no more data in either direction."""
        self.silenced = True
        if self.other is not None:
            self.other.silenced = True

    def pair_with(self, other):
        """Set the other side and forward the data received before."""
        self.other = other
        unsent, self.unsent = self.unsent, []
        for data in unsent:
            self._pass_on(data)

    def _queue(self, data):
        now = self.link.reactor.seconds()
        due = now + self.link.delay_s
        if self.delayed:
            due = max(due, self.delayed[-1][0])
        self.delayed.append((due, data))
        if due <= now and len(self.delayed) == 1:
            self._flush()
        else:
            self.link.reactor.callLater(due - now, self._flush)

    def _flush(self):
        now = self.link.reactor.seconds()
        while self.delayed and self.delayed[0][0] <= now + 0.001:
            self._pass_on(self.delayed.popleft()[1])

    def _pass_on(self, data):
        if self.silenced:
            return
        if self.other is None:
            self.unsent.append(data)
        elif data is None:
            self.other.transport.loseConnection()
        else:
            self.other.transport.write(data)


class _ServerFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, link, client):
        self.link = link
        self.client = client

    def buildProtocol(self, addr):
        server = _ServerSide(self.link, self.client)
        return server

    def clientConnectionFailed(self, connector, reason):
        self.link.refused.add(self.client.transport.getPeer().port)
        self.client.transport.abortConnection()


class _ServerSide(_Side):
    """The connection to the server; pairs with the client's connection."""

    def __init__(self, link, client):
        super().__init__(link, False)
        self.client = client

    def connectionMade(self):
        super().connectionMade()
        if self.client not in self.link.sides:
            self.transport.abortConnection()
            return
        self.pair_with(self.client)
        self.client.pair_with(self)


class Link(protocol.Factory):
    """Forwards connections to ``target``, an (ip, port)."""

    noisy = False

    def __init__(self, reactor, target, form_of=lambda side: None):
        self.reactor = reactor
        self.target = target
        # Returns in which form the host of a connection is cut off, or None.
        self.form_of = form_of
        self.sides = set()
        # Ports of clients for which the target accepted no connection.
        self.refused = set()
        self.delay_s = 0.0
        # Whether the data from the client, from the server is dropped.
        self.silent = (False, False)
        self.port = None

    def listen(self, ip):
        """Listen on a free port; return the port."""
        self.port = self.reactor.listenTCP(0, self, 50, ip)
        return self.port.getHost().port

    def buildProtocol(self, addr):
        return _Side(self, True)

    def connect(self, client):
        """Connect to the target for a client connection."""
        self.reactor.connectTCP(
            *self.target, _ServerFactory(self, client), timeout=CONNECT_S)

    def is_silent(self, side):
        """Return whether the data that a side sends is dropped."""
        return self.silent[0 if side.from_client else 1]

    def set_silent(self, from_client, from_server):
        """Drop the data of some directions on open and new connections."""
        self.silent = (from_client, from_server)
        for side in self.sides:
            side.silenced = side.silenced or self.is_silent(side)

    def silence_open(self, is_chosen=lambda: True):
        """Drop all further data of connections that are open now.

        ``is_chosen()`` decides on each connection; new ones work.
        """
        for side in [each for each in self.sides if each.from_client]:
            if is_chosen():
                side.silence()

    def reset(self):
        """Reset all open connections."""
        for side in list(self.sides):
            side.transport.abortConnection()

    def restore(self):
        """Remove all faults for new connections.

        Connections that lost data are reset: none may continue after a gap.
        """
        self.delay_s = 0.0
        self.silent = (False, False)
        for side in list(self.sides):
            if side.silenced:
                side.transport.abortConnection()
                if side.other is not None:
                    side.other.transport.abortConnection()

    def close(self, after_s=0.0):
        """Stop listening; reset the open connections ``after_s`` later."""
        self.port.stopListening()
        if after_s:
            self.reactor.callLater(after_s, self.reset)
        else:
            self.reset()
