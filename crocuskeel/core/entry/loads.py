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

    ``request_count`` requests are at the server; ``queued_prompts`` of them
    have prompts that it has yet to read, with ``queued_tokens`` in total.
    Totals are maintained because each request examines each server: placing
    one among 70 engines took 1.3 ms of CPU time when the rows of 36 hosts
    were summed for it, and 0.4 ms with totals.
    """

    __slots__ = ("streams_by_gap", "memory_tokens", "queued_prompts", "rows",
                 "request_count", "queued_tokens", "next_expiry_at")

    def __init__(self):
        self.rows = collections.OrderedDict()
        self.request_count = 0
        self.queued_tokens = 0
        self.queued_prompts = 0
        self.streams_by_gap = {}
        self.memory_tokens = 0
        # When the oldest row expires. It is checked six times per server
        # when a prompt is placed: with this, and with values that are the
        # same for all servers computed once, placing among 70 takes 0.7 ms
        # instead of 1.9 ms.
        self.next_expiry_at = math.inf

    def update(self, name, request_count, queued_tokens, queued_prompts, now,
               gaps=(), memory_tokens=0):
        """Replace the row of a host; ``now`` never goes back.

        ``gaps`` holds (priority, pause in ms, number of streams of that
        priority that allow no longer pause). ``memory_tokens`` is the number
        of tokens that the host's requests may come to hold.
        """
        self.expire(now)
        if name in self.rows:
            self._add(self.rows.pop(name), -1)
        row = (request_count, queued_tokens, queued_prompts, now, gaps,
               memory_tokens)
        if request_count:
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
        self.request_count += sign * row[0]
        self.queued_tokens += sign * row[1]
        self.queued_prompts += sign * row[2]
        self.memory_tokens += sign * row[5]
        for priority, gap_ms, streams in row[4]:
            prefill_pauses.change_count(self.streams_by_gap,
                                        (priority, gap_ms),
                                        sign * streams)
