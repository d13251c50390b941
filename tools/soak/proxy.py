"""A loopback proxy that harms connections from outside the programs.

A link stands before one server, or one host's way to the store. It can
delay what passes, reset what is open, leave one way silent, or have open
connections go silent for good while new ones work.
"""

import collections

from twisted.internet import error
from twisted.internet import protocol

__all__ = ["Link"]

CONNECT_S = 5.0


class _Side(protocol.Protocol):
    """One of the two connections of a pair; ``other`` gets its bytes."""

    def __init__(self, link, from_client):
        self.link = link
        self.from_client = from_client
        self.other = None
        self.silenced = False
        # (due, data) on the way to the other side; None ends it.
        self.waiting = collections.deque()
        self.early = []

    def connectionMade(self):
        self.link.sides.add(self)
        self.silenced = self.link.silences(self)
        if self.from_client:
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

    def joined(self, other):
        """Take the other side; pass on what came before it stood."""
        self.other = other
        early, self.early = self.early, []
        for data in early:
            self._pass_on(data)

    def _queue(self, data):
        now = self.link.reactor.seconds()
        due = now + self.link.delay_s
        if self.waiting:
            due = max(due, self.waiting[-1][0])
        self.waiting.append((due, data))
        if due <= now and len(self.waiting) == 1:
            self._flush()
        else:
            self.link.reactor.callLater(due - now, self._flush)

    def _flush(self):
        now = self.link.reactor.seconds()
        while self.waiting and self.waiting[0][0] <= now + 0.001:
            self._pass_on(self.waiting.popleft()[1])

    def _pass_on(self, data):
        if self.silenced:
            return
        if self.other is None:
            self.early.append(data)
        elif data is None:
            self.other.transport.loseConnection()
        else:
            self.other.transport.write(data)


class _Dialer(protocol.ClientFactory):
    noisy = False

    def __init__(self, link, client):
        self.link = link
        self.client = client

    def buildProtocol(self, addr):
        server = _Joined(self.link, self.client)
        return server

    def clientConnectionFailed(self, connector, reason):
        self.client.transport.abortConnection()


class _Joined(_Side):
    """The side towards the server, which completes its pair."""

    def __init__(self, link, client):
        super().__init__(link, False)
        self.client = client

    def connectionMade(self):
        super().connectionMade()
        if self.client not in self.link.sides:
            self.transport.abortConnection()
            return
        self.joined(self.client)
        self.client.joined(self)


class Link(protocol.Factory):
    """Passes connections on to ``target``, an (ip, port)."""

    noisy = False

    def __init__(self, reactor, target):
        self.reactor = reactor
        self.target = target
        self.sides = set()
        self.delay_s = 0.0
        # Whether new connections are silent: from the client, the server.
        self.silent = (False, False)
        self.port = None

    def listen(self, ip):
        """Take connections on a free port; return the port."""
        self.port = self.reactor.listenTCP(0, self, 50, ip)
        return self.port.getHost().port

    def buildProtocol(self, addr):
        return _Side(self, True)

    def connect(self, client):
        """Connect to the target on behalf of a client."""
        self.reactor.connectTCP(
            *self.target, _Dialer(self, client), timeout=CONNECT_S)

    def silences(self, side):
        """Say whether what a side sends is lost."""
        return self.silent[0 if side.from_client else 1]

    def set_silent(self, from_client, from_server):
        """Lose all that is sent on open and new connections."""
        self.silent = (from_client, from_server)
        for side in self.sides:
            side.silenced = side.silenced or self.silences(side)

    def forget(self):
        """Have open connections go silent for good; new ones work."""
        for side in self.sides:
            side.silenced = True

    def reset(self):
        """Reset all open connections."""
        for side in list(self.sides):
            side.transport.abortConnection()

    def mend(self):
        """Let new connections pass unharmed.

        Those that lost bytes are reset: no connection goes on after a
        gap.
        """
        self.delay_s = 0.0
        self.silent = (False, False)
        for side in list(self.sides):
            if side.silenced:
                side.transport.abortConnection()
                if side.other is not None:
                    side.other.transport.abortConnection()

    def close(self):
        """Take no more connections and end those that are open."""
        self.port.stopListening()
        self.reset()
