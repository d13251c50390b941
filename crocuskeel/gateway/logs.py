"""JSON lines on standard output, bounded and never waited for."""

import collections
import json
import os

from loguru import logger

__all__ = ["new_log"]

FLUSH_S = 0.1
# Lines that wait for a reader of standard output; more are left out and
# counted, so that a pipe that nobody reads holds nothing up.
WAITING_MOST = 4000
# Lines a second that are written, on average and at once.
LINES_S = 400.0
LINES_BURST = 1500.0


class _Log:
    """Lines on their way to a file descriptor."""

    def __init__(self, reactor, fd, host):
        self.reactor = reactor
        self.fd = fd
        self.host = host
        self.lines = collections.deque()
        self.rest = b""
        self.left_out = 0
        self.tokens = LINES_BURST
        self.filled_at = reactor.seconds()
        self.flushing = False

    def write(self, event, fields):
        """Take one line; ``fields`` must not change later."""
        if not self._has_room():
            self.left_out += 1
            return
        logger.bind(event=event, fields=fields).info(event)

    def sink(self, message):
        """Take a record from loguru."""
        record = message.record
        extra = record["extra"]
        row = {"t": round(self.reactor.seconds(), 4),
               "wall": record["time"].timestamp(), "host": self.host,
               "event": extra.get("event", record["message"]),
               **extra.get("fields", {})}
        self.lines.append(json.dumps(row, default=str).encode() + b"\n")
        if not self.flushing:
            self.flushing = True
            self.reactor.callLater(FLUSH_S, self.flush)

    def _has_room(self):
        now = self.reactor.seconds()
        self.tokens = min(LINES_BURST, self.tokens
                          + (now - self.filled_at) * LINES_S)
        self.filled_at = now
        if self.tokens < 1 or len(self.lines) >= WAITING_MOST:
            return False
        self.tokens -= 1
        return True

    def flush(self):
        """Write what the descriptor takes at once."""
        self.flushing = False
        if self.left_out and self._has_room():
            count, self.left_out = self.left_out, 0
            logger.bind(event="lines_left_out",
                        fields={"count": count}).info("lines_left_out")
        data = self.rest + b"".join(self.lines)
        self.lines.clear()
        try:
            done = os.write(self.fd, data)
        except BlockingIOError:
            done = 0
        self.rest = data[done:]
        if self.rest and not self.flushing:
            self.flushing = True
            self.reactor.callLater(FLUSH_S, self.flush)


def new_log(reactor, fd, host):
    """Return ``log(event, fields)`` that writes to a descriptor."""
    os.set_blocking(fd, False)
    log = _Log(reactor, fd, host)
    logger.remove()
    logger.add(log.sink, format="{message}", level="INFO", catch=False,
               backtrace=False, diagnose=False)
    return log.write, log.flush
