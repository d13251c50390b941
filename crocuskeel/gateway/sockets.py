"""Options of TCP connections, and writes without a detour."""

import socket
import struct

__all__ = ["drop_at_end", "tune", "unsent", "write"]

# A connection can fall silent for good while new ones work: something
# between its ends lost track of it. Nothing is heard then, and a reader
# would wait forever. Probes after 1 s of silence, each 1 s, end it within
# some 3 s; bytes that are not taken end it as soon.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
# Linger for 0 s: a close resets the connection.
LINGER_NOT = struct.pack("ii", 1, 0)


def tune(transport):
    """Send at once, and notice a dead connection within seconds."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    sock = transport.getHandle()
    for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def drop_at_end(transport):
    """Have the system drop what is not delivered when the process ends.

    A process that is killed leaves its last bytes to the system, which
    sends them again when a cut link is whole: a call of a duty would
    arrive after another host's.
    """
    transport.getHandle().setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)


def unsent(transport):
    """Return how many bytes wait for the connection to take them."""
    return (len(transport.dataBuffer) - transport.offset
            + transport._tempDataLen)


def write(transport, data):
    """Write at once what the connection takes; the rest as it can.

    Twisted waits for the connection to be writable first, which costs a
    turn of the loop and two changes of what is polled for each write.
    """
    if unsent(transport) or transport.disconnecting:
        transport.write(data)
        return
    sent = transport.writeSomeData(data)
    if not isinstance(sent, int):
        # Its loss is for the transport to report.
        sent = 0
    if sent < len(data):
        transport.write(data[sent:])
