"""JSON log lines on standard output, rate-limited and non-blocking."""

import collections
import json
import os

from loguru import logger

__all__ = ["new_log"]

FLUSH_INTERVAL_S = 0.1
# Maximum number of lines that wait for the reader of standard output. Further
# lines are dropped and counted, so that an unread pipe can't block the
# process.
MAX_WAITING_LINES = 4000
# The same in bytes, with what is left of lines that were written in part.
MAX_WAITING_BYTES = 4 << 20
# Longer texts are cut: they may quote what a server sent.
MAX_TEXT_CHARS = 2000
# Limits on the written lines: average rate per second, and burst.
LINES_PER_S = 400.0
LINES_BURST = 1500.0
# Lines without which nobody knows what a stop has broken off. They are few,
# and come when a busy host may have used up its rate.
UNLIMITED_EVENTS = frozenset((
    "cut_by_stop", "still_stopping", "stopped", "stopping"))


class _Log:
    """Buffers and writes lines to a file descriptor."""

    def __init__(self, reactor, fd, host):
        self.reactor = reactor
        self.fd = fd
        self.host = host
        self.lines = collections.deque()
        self.unwritten = b""
        self.waiting_bytes = 0
        self.dropped = 0
        self.tokens = LINES_BURST
        self.refilled_at = reactor.seconds()
        self.flush_scheduled = False

    def write(self, event, fields):
        """Queue a line; ``fields`` must not change later."""
        if not self._take_token() and event not in UNLIMITED_EVENTS:
            self.dropped += 1
            return
        logger.bind(event=event, fields={
            name: _shortened(value) for name, value in fields.items()
        }).info(event)

    def sink(self, message):
        """Handle a record of loguru."""
        record = message.record
        extra = record["extra"]
        row = {"t": round(self.reactor.seconds(), 4),
               "wall": record["time"].timestamp(), "host": self.host,
               "event": extra.get("event", record["message"]),
               **extra.get("fields", {})}
        line = json.dumps(row, default=str).encode() + b"\n"
        self.lines.append(line)
        self.waiting_bytes += len(line)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.reactor.callLater(FLUSH_INTERVAL_S, self.flush)

    def _take_token(self):
        now = self.reactor.seconds()
        self.tokens = min(LINES_BURST, self.tokens
                          + (now - self.refilled_at) * LINES_PER_S)
        self.refilled_at = now
        if (self.tokens < 1 or len(self.lines) >= MAX_WAITING_LINES
                or self.waiting_bytes >= MAX_WAITING_BYTES):
            return False
        self.tokens -= 1
        return True

    def flush(self):
        """Write as much as the descriptor accepts without blocking."""
        self.flush_scheduled = False
        if self.dropped and self._take_token():
            count, self.dropped = self.dropped, 0
            logger.bind(event="lines_left_out",
                        fields={"count": count}).info("lines_left_out")
        data = self.unwritten + b"".join(self.lines)
        if not data:
            return
        self.lines.clear()
        try:
            done = os.write(self.fd, data)
        except BlockingIOError:
            done = 0
        self.unwritten = data[done:]
        self.waiting_bytes = len(self.unwritten)
        if self.unwritten and not self.flush_scheduled:
            self.flush_scheduled = True
            self.reactor.callLater(FLUSH_INTERVAL_S, self.flush)


def _shortened(value):
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
        return f"{value[:MAX_TEXT_CHARS]}... ({len(value)} characters)"
    return value


def new_log(reactor, fd, host):
    """Return the functions ``log(event, fields)`` and ``flush()``."""
    os.set_blocking(fd, False)
    log = _Log(reactor, fd, host)
    logger.remove()
    logger.add(log.sink, format="{message}", level="INFO", catch=False,
               backtrace=False, diagnose=False)
    return log.write, log.flush
