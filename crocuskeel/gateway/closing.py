"""Closes connections of callers without losing the end of an answer."""

from crocuskeel.gateway import sockets

__all__ = ["LINGER_S", "close_unused", "cut", "linger"]

# After an early answer the rest of a request is read for this long, s: a
# close with unread bytes would reset the connection and lose the answer.
LINGER_S = 1.0


def close_unused(conn):
    """Close a connection without a request; its caller sees so at once.

    If the end of its last answer is unsent, it is closed after that.
    """
    if sockets.unsent_bytes(conn.transport):
        linger(conn, reads=False)
        return
    sockets.end_writing(conn.transport)
    conn.lingering = True
    conn.transport.loseConnection()


def cut(conn, why):
    """Reset a connection, in the middle of an answer if there is one."""
    if conn.exchange is not None:
        conn.exchange.cut_why = why
    conn.transport.abortConnection()


def linger(conn, span_s=LINGER_S, reads=True):
    """Close a connection for writing now, and wholly after a while.

    With ``reads`` what the caller still sends is discarded. Otherwise it
    isn't read: a caller may repeat a request that hasn't been.
    """
    conn.lingering = True
    # What was read of a refused body is in the parser, too.
    conn.h11 = None
    if reads:
        conn.resume_reading()
    else:
        conn.pause_reading()
        if not sockets.unsent_bytes(conn.transport):
            sockets.end_writing(conn.transport)
    sockets.allow_close(conn.transport)
    conn.transport.loseWriteConnection()
    conn.set_timer(span_s, _end, conn)


def _end(conn):
    """Close in order: what a slow caller hasn't read yet isn't lost.

    A reset would make the kernel drop the end of the answer.
    """
    if sockets.unsent_bytes(conn.transport):
        conn.set_timer(LINGER_S, _end, conn)
        return
    sockets.allow_close(conn.transport)
    conn.transport.loseConnection()
