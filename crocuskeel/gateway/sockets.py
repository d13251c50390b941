"""Socket options of TCP connections, and immediate writes."""

import ctypes
import select
import socket
import struct

__all__ = ["PAUSED_USER_TIMEOUT_MS", "allow_close", "configure", "drop_new",
           "end_writing", "is_unreceived", "kernel_backlog",
           "reset_on_close", "resets_on_close", "set_user_timeout", "unread",
           "unsent_bytes", "write"]

# Keepalive: a connection can stop delivering data for good while new ones
# work, because a device on its path lost its state, and a reader would wait
# forever. Probes after 1 s of silence, each 1 s, detect that within some 3 s;
# unacknowledged data ends the connection as soon.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
# A peer that is known to be there may read nothing for so long: no request
# lasts longer.
PAUSED_USER_TIMEOUT_MS = 30_000
# Fields of the kernel's struct tcp_info: the state, packets in flight, and
# bytes that were not sent yet.
_TCP_INFO = struct.Struct("=B23xI116xI")
# The state after a reset.
_TCP_CLOSE = 7
# SO_LINGER with 0 s: a close resets the connection.
ZERO_LINGER = struct.pack("ii", 1, 0)
NO_LINGER = struct.pack("ii", 0, 0)
# A packet filter of a listening socket, which drops what asks for a new
# connection: it loads the flags of TCP, and keeps all that are not SYN alone.
# Each instruction is (code, jump if true, jump if false, value).
SO_ATTACH_FILTER = 26
_FILTER = ((0x30, 0, 0, 13), (0x54, 0, 0, 0x12), (0x15, 0, 1, 0x02),
           (0x06, 0, 0, 0), (0x06, 0, 0, 0xffffffff))


def configure(transport):
    """Disable Nagle's algorithm; detect dead connections in seconds."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    sock = transport.getHandle()
    for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES)):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    set_user_timeout(transport)


def set_user_timeout(transport, timeout_ms=USER_TIMEOUT_MS):
    """Set for how long data may be unacknowledged or unsent, ms."""
    transport.getHandle().setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def end_writing(transport):
    """Tell the peer at once that nothing more will come.

    Twisted closes a connection in the next turn of its loop. If this process
    stands still before that, a request may wait on it for long.
    """
    try:
        transport.getHandle().shutdown(socket.SHUT_WR)
    except OSError:
        # The peer has gone.
        pass


def kernel_backlog(transport):
    """Return what the kernel still has of written data.

    That is (bytes that were not sent yet, packets that were and are not
    acknowledged); zeros where the kernel doesn't say it.
    """
    _, in_flight, unsent = _tcp_info(transport)
    return unsent, in_flight


def is_unreceived(transport):
    """Return whether the peer may not have all that was written.

    It hasn't acknowledged everything, or has reset the connection.
    """
    state, in_flight, unsent = _tcp_info(transport)
    return bool(unsent_bytes(transport) or in_flight or unsent
                or state == _TCP_CLOSE)


def _tcp_info(transport):
    """Return the fields of _TCP_INFO; zeros where the kernel has none."""
    try:
        info = transport.getHandle().getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        return 0, 0, 0
    if len(info) < _TCP_INFO.size:
        return 0, 0, 0
    return _TCP_INFO.unpack(info)


def reset_on_close(transport):
    """Make the kernel reset the connection when the process ends.

    It would otherwise send the last bytes of a killed process, also later as
    a partition heals, and close the connection in order: a call of a duty
    could arrive after one of the next holder, and an answer that ends with
    its connection would seem complete.
    """
    transport.getHandle().setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)


def allow_close(transport):
    """Undo reset_on_close, once the kernel has all that was written."""
    if not unsent_bytes(transport):
        transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def resets_on_close(transport):
    """Return whether reset_on_close is in force."""
    return ZERO_LINGER == transport.getHandle().getsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, len(ZERO_LINGER))


def drop_new(sock):
    """Have a listening socket ignore callers that connect from now on.

    What is in progress gets to the socket, so that all of it can be accepted
    before a close: that resets connections that wait. Not all systems can do
    this.
    """
    rows = ctypes.create_string_buffer(
        b"".join(struct.pack("HBBI", *row) for row in _FILTER))
    program = struct.pack("HP", len(_FILTER), ctypes.addressof(rows))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        pass


def unread(transports):
    """Return the number of connections with something to be read."""
    poll = select.poll()
    for transport in transports:
        poll.register(transport.getHandle(), select.POLLIN)
    return len(poll.poll(0))


def unsent_bytes(transport):
    """Return the number of bytes that wait to be sent."""
    return (len(transport.dataBuffer) - transport.offset
            + transport._tempDataLen)


def write(transport, data):
    """Write immediately what the socket accepts, and buffer the rest.

    Twisted first waits until the socket is writable, which costs an iteration
    of the event loop and two changes of the polled events per write.
    """
    if unsent_bytes(transport) or transport.disconnecting:
        transport.write(data)
        return
    sent = transport.writeSomeData(data)
    if not isinstance(sent, int):
        # The transport reports the lost connection.
        sent = 0
    if sent < len(data):
        transport.write(data[sent:])
