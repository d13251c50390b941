"""The network of a process, which can be cut off from some addresses.

Nothing is lost on connections that are open as a cut begins: what waits is
carried once it has ended, as TCP sends packets again. Datagrams are lost, and
new connections time out.
"""

import threading

from twisted.internet import error
from twisted.internet import tcp
from twisted.internet import udp
from twisted.python import failure

__all__ = ["Network", "install"]


class Network:
    """Which addresses a process doesn't hear, and which it can't reach."""

    def __init__(self):
        self.unheard = frozenset()
        self.unreached = frozenset()
        # Set once the process has its reactor.
        self.started = threading.Event()
        # Methods that go on with what was held back, by (transport, method).
        self.held = {}

    def set(self, unheard, unreached):
        """Cut off some addresses, and no others."""
        self.unheard = frozenset(unheard)
        self.unreached = frozenset(unreached)
        held, self.held = self.held, {}
        for (transport, _), resume in held.items():
            if transport.connected:
                resume()

    def hold(self, transport, name, stop, resume):
        """Hold back what a transport would read or write now."""
        stop()
        self.held[transport, name] = resume


class _Unreached:
    """A connector to an address that doesn't answer."""

    def __init__(self, reactor, factory, timeout_s):
        self.reactor = reactor
        self.factory = factory
        self.timeout_s = timeout_s
        self.timer = None
        self.connect()

    def connect(self):
        """Try once more."""
        self.timer = self.reactor.callLater(self.timeout_s, self._fail)

    def _fail(self):
        self.factory.clientConnectionFailed(
            self, failure.Failure(error.TimeoutError()))

    def disconnect(self):
        """Stop trying."""
        if self.timer.active():
            self.timer.cancel()


def _peer_of(transport):
    try:
        return transport.getPeer().host
    except OSError:
        return None


def install(reactor_class, ip):
    """Put a Network under all transports of a process; return it.

    Connections come from an address of the process's own.
    """
    network = Network()
    connect = reactor_class.connectTCP
    read, write = tcp.Connection.doRead, tcp.Connection.doWrite
    write_now = tcp.Connection.writeSomeData
    send, receive = udp.Port.write, reactor_class.listenUDP

    def connect_tcp(self, host, port, factory, timeout=30, bindAddress=None):
        if host in network.unheard | network.unreached:
            return _Unreached(self, factory, timeout)
        return connect(self, host, port, factory, timeout,
                       bindAddress or (ip, 0))

    def do_read(self):
        if network.unheard and _peer_of(self) in network.unheard:
            network.hold(self, "read", self.stopReading, self.startReading)
            return None
        return read(self)

    def do_write(self):
        if network.unreached and _peer_of(self) in network.unreached:
            network.hold(self, "write", self.stopWriting, self.startWriting)
            return None
        return write(self)

    def write_some_data(self, data):
        if network.unreached and _peer_of(self) in network.unreached:
            return 0
        return write_now(self, data)

    def write_datagram(self, datagram, addr=None):
        if addr is not None and addr[0] in network.unreached:
            return len(datagram)
        return send(self, datagram, addr)

    def listen_udp(self, port, protocol, *args, **kwargs):
        handle = protocol.datagramReceived

        def received(datagram, addr):
            if addr[0] not in network.unheard:
                handle(datagram, addr)

        protocol.datagramReceived = received
        network.started.set()
        return receive(self, port, protocol, *args, **kwargs)

    reactor_class.connectTCP = connect_tcp
    reactor_class.listenUDP = listen_udp
    tcp.Connection.doRead, tcp.Connection.doWrite = do_read, do_write
    tcp.Connection.writeSomeData = write_some_data
    udp.Port.write = write_datagram
    return network
