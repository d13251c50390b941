"""Load of other hosts at a backend server, with running totals."""

import collections
import math

from crocuskeel.core.entry import prefill_pauses

__all__ = ["REPORT_TTL_S", "PeerLoads"]

# A load report of another host counts for this long, s: three of its
# datagrams.
REPORT_TTL_S = 1.0


class PeerLoads:
    """Rows of other hosts, and totals over them.

    ``running`` requests are at the server; ``reading`` of them have prompts
    that it has yet to read, with ``tokens`` in total. Totals are maintained
    because each request examines each server: placing one among 70 engines
    took 1.3 ms of CPU time when the rows of 36 hosts were summed for it, and
    0.4 ms with totals.
    """

    __slots__ = ("gaps", "memory", "reading", "rows", "running", "tokens",
                 "next_expiry_at")

    def __init__(self):
        self.rows = collections.OrderedDict()
        self.running = 0
        self.tokens = 0
        self.reading = 0
        self.gaps = {}
        self.memory = 0
        # When the oldest row expires. It is checked six times per server
        # when a prompt is placed: with this, and with values that are the
        # same for all servers computed once, placing among 70 takes 0.7 ms
        # instead of 1.9 ms.
        self.next_expiry_at = math.inf

    def put(self, name, running, tokens, reading, now, gaps=(), memory=0):
        """Replace the row of a host; ``now`` never goes back.

        ``gaps`` holds (priority, pause in ms, number of streams of that
        priority that allow no longer pause). ``memory`` is the number of
        tokens that the host's requests may come to hold.
        """
        self.expire(now)
        if name in self.rows:
            self._add(self.rows.pop(name), -1)
        row = (running, tokens, reading, now, gaps, memory)
        if running:
            self.rows[name] = row
            self._add(row, 1)
            self.next_expiry_at = min(self.next_expiry_at, now + REPORT_TTL_S)

    def expire(self, now):
        """Remove rows that are older than REPORT_TTL_S."""
        if now < self.next_expiry_at:
            return
        while self.rows:
            name, row = next(iter(self.rows.items()))
            self.next_expiry_at = row[3] + REPORT_TTL_S
            if now < self.next_expiry_at:
                return
            del self.rows[name]
            self._add(row, -1)
        self.next_expiry_at = math.inf

    def _add(self, row, sign):
        self.running += sign * row[0]
        self.tokens += sign * row[1]
        self.reading += sign * row[2]
        self.memory += sign * row[5]
        for priority, gap_ms, streams in row[4]:
            prefill_pauses.change_count(self.gaps, (priority, gap_ms),
                                        sign * streams)
