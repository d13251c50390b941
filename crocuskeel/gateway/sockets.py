"""Options of TCP connections."""

import socket

__all__ = ["tune"]

# A connection can fall silent for good while new ones work: something
# between its ends lost track of it. Nothing is heard then, and a reader
# would wait forever. Probes after 1 s of silence, each 1 s, end it within
# some 3 s; bytes that are not taken end it as soon.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_EVERY_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000


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
