"""What a host holds in memory for callers and servers."""

import os

from crocuskeel.core.entry import answer_flow
from crocuskeel.core.entry import memory_events
from crocuskeel.gateway import closing
from crocuskeel.gateway import paused_readers
from crocuskeel.gateway import sockets

__all__ = ["HostMemory", "UnlimitedMemory", "new_host_memory"]

STATM_PATH = "/proc/self/statm"
# An answer may be sent for so long, s, or for the caller's own time limit if
# that is longer, up to a maximum. After that it is cut off if others wait for
# its memory.
MIN_SENDING_S = 10.0
MAX_SENDING_S = 60.0


class HostMemory:
    """Bytes held for requests and answers, by where they are held.

    ``limit`` is the memory that this process may use, bytes; 0 for no limit.
    ``readers`` maps the keys of announced bodies to the connections that
    read them. ``answers`` maps answers that are read from servers to what is
    held of them, ``sending`` connections to (size, until when it may be sent)
    of answers that their callers have not read yet, and ``writers`` maps
    connections with unsent bytes to until when they may have some.
    """

    def __init__(self, gateway, limit, read_resident):
        self.gateway = gateway
        self.limit = limit
        self.read_resident = read_resident
        self.resident = None
        self.readers = {}
        self.answers = {}
        self.sending = {}
        self.answer_bytes = 0
        self.paused = frozenset()
        self.writers = {}
        self.paused_readers = paused_readers.PausedReaders()
        self.unread_bytes = 0

    def measure(self):
        """Feed a measurement to the core, and apply its new budgets."""
        if not self.limit:
            return
        self.resident = self.read_resident()
        held = self.held_by_kind()
        self.gateway.feed(memory_events.MemoryMeasured(
            self.limit, self.resident, sum(held.values()),
            held["unsent"] + sum(size for size, _ in self.sending.values())))
        self._pace_answers()
        if self.paused:
            self._cut_slow_callers(
                (conn, until) for conn, (_, until) in self.sending.items())
        if self.gateway.host.memory.is_exceeded:
            self._cut_slow_callers(self.writers.items())

    def _cut_slow_callers(self, rows):
        """Reset callers that read for longer than they may.

        ``rows`` holds (connection, until when).
        """
        now = self.gateway.reactor.seconds()
        for conn in [conn for conn, until in rows if now >= until]:
            unsent = sockets.unsent_bytes(conn.transport)
            size, _ = self.sending.get(conn, (unsent, now))
            self.gateway.log("slow_caller_cut", {"size": size})
            closing.cut(conn, "read too slowly")

    def held_bytes(self):
        """Return how much is held for requests and answers."""
        return sum(self.held_by_kind().values())

    def held_by_kind(self):
        """Return what is held, bytes by kind."""
        exchanges = self.gateway.exchanges.values()
        self.writers = {conn: until for conn, until in self.writers.items()
                        if sockets.unsent_bytes(conn.transport)}
        return {
            "bodies": (sum(len(exchange.body) for exchange in exchanges)
                       + sum(conn.size for conn in self.readers.values())),
            "answers": self.answer_bytes,
            "unsent": sum(sockets.unsent_bytes(conn.transport)
                          for conn in self.writers),
            "unread": self.unread_bytes}

    def announce(self, conn, key, head, size):
        """Ask for memory for the body of a request.

        The connection's ``read_body`` or ``refuse_body`` follows, at once or
        later.
        """
        try:
            request = self.gateway.codec.read_request(head, b"")
        except ValueError as exc:
            conn.refuse_body(400, str(exc), None)
            return
        self.readers[key] = conn
        self.gateway.feed(memory_events.BodyAnnounced(key, request, size))

    def read_body(self, key):
        """Carry out a ReadBody effect."""
        conn = self.readers.get(key)
        if conn is not None:
            conn.read_body()

    def refuse_body(self, effect):
        """Carry out a RefuseBody effect."""
        conn = self.readers.pop(effect.key, None)
        if conn is not None:
            conn.refuse_body(effect.status, effect.reason,
                             effect.retry_delay_s)

    def body_read(self, key):
        """Handle the end of a body; its exchange holds it from now on."""
        self.readers.pop(key, None)

    def release_body(self, key):
        """Release the memory of an announced body."""
        self.readers.pop(key, None)
        # Other bodies may be read as a result: not within an effect.
        self.gateway.reactor.callLater(
            0, self.gateway.feed, memory_events.BodyReleased(key))

    def hold_answer(self, answer, size):
        """Record how much is held of an answer that is being read."""
        self.answer_bytes += size - self.answers.get(answer, 0)
        self.answers[answer] = size
        if self.answer_bytes > self._answer_budget():
            self._pace_answers()

    def drop_answer(self, answer):
        """Handle the end of an answer, or that it was forwarded."""
        self.answer_bytes -= self.answers.pop(answer, 0)
        if self.paused:
            self._pace_answers()

    def begin_sending(self, conn, size, limit_s):
        """Record a whole answer that a caller's connection sends.

        ``limit_s`` is how long the caller waits for it, None if unknown.
        """
        span_s = min(MAX_SENDING_S, max(MIN_SENDING_S, limit_s or 0.0))
        until = self.gateway.reactor.seconds() + span_s
        self.sending[conn] = size, until
        self.writers[conn] = until
        self.answer_bytes += size

    def end_sending(self, conn):
        """Handle the end of such an answer."""
        size, _ = self.sending.pop(conn, (0, 0.0))
        self.answer_bytes -= size
        if self.paused:
            self._pace_answers()

    def forget(self, conn):
        """Handle the loss of a caller's connection."""
        self.writers.pop(conn, None)
        self.paused_readers.discard(conn)
        self.end_sending(conn)

    def note_write(self, conn):
        """Note that a connection may have unsent bytes."""
        self.paused_readers.add(conn)
        if sockets.unsent_bytes(conn.transport):
            self.writers.setdefault(
                conn, self.gateway.reactor.seconds() + MIN_SENDING_S)

    def add_unread(self, size):
        """Count bytes of requests that have not begun; may be negative."""
        self.unread_bytes += size

    def is_unread_full(self):
        """Return whether no more bytes of later requests may be read."""
        return bool(self.limit) and (
            self.unread_bytes > self.gateway.host.memory.for_unread)

    def _answer_budget(self):
        return self.gateway.host.memory.for_answers

    def _pace_answers(self):
        whole = sum(size for size, _ in self.sending.values())
        paused = answer_flow.to_pause(
            self.answers, whole, self._answer_budget())
        before, self.paused = self.paused, paused
        if bool(before) != bool(paused):
            self.gateway.log("answers_paused", {
                "count": len(paused), "held": self.answer_bytes,
                "budget": self._answer_budget()})
        for answer in paused - before:
            answer.pause_reading(self)
        for answer in before - paused:
            answer.resume_reading(self)


class UnlimitedMemory:
    """Memory of a listener that limits nothing, with the same methods."""

    def announce(self, conn, key, head, size):
        """Read the body at once."""
        conn.read_body()

    def is_unread_full(self):
        """Return False."""
        return False

    def add_unread(self, size):
        """Do nothing, like all that follow."""

    def body_read(self, key):
        """Do nothing."""

    def release_body(self, key):
        """Do nothing."""

    def begin_sending(self, conn, size, limit_s):
        """Do nothing."""

    def end_sending(self, conn):
        """Do nothing."""

    def forget(self, conn):
        """Do nothing."""

    def note_write(self, conn):
        """Do nothing."""


def _read_resident():
    """Return the memory of this process, bytes; None if it is unknown."""
    try:
        with open(STATM_PATH, encoding="ascii") as rows:
            pages = int(rows.read().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE")


def new_host_memory(gateway, limit=0, read_resident=_read_resident):
    """Return the memory of a gateway; ``limit`` in bytes, 0 for none."""
    return HostMemory(gateway, limit, read_resident)
