"""What other hosts have under way at a backend server, summed."""

import collections
import math

from crocuskeel.core.entry import pauses

__all__ = ["SAID_S", "Loads"]

# What another host said of its load counts for this long, s: three of
# its datagrams.
SAID_S = 1.0


class Loads:
    """Rows of other hosts, with their sums at hand.

    ``running`` requests are at the server, ``reading`` of them with
    prompts that it has yet to read, of ``tokens``. Each request looks at
    each server: with 36 hosts' rows added up, placing one among 70
    engines took 1.3 ms of a processor, with the sums 0.4 ms.
    """

    __slots__ = ("gaps", "memory", "reading", "rows", "running", "tokens",
                 "until")

    def __init__(self):
        self.rows = collections.OrderedDict()
        self.running = 0
        self.tokens = 0
        self.reading = 0
        self.gaps = {}
        self.memory = 0
        # When the oldest row expires. It is asked for six times a server
        # when a prompt is placed: with this and what is the same at all
        # servers worked out once, that takes 0.7 ms among 70, 1.9 before.
        self.until = math.inf

    def put(self, name, running, tokens, reading, now, gaps=(), memory=0):
        """Take what a host says; ``now`` never goes back.

        ``gaps`` holds (priority, pause in ms, streams of that priority
        that allow no longer one), ``memory`` is what its requests may come
        to hold, tokens.
        """
        self.expire(now)
        if name in self.rows:
            self._count(self.rows.pop(name), -1)
        row = (running, tokens, reading, now, gaps, memory)
        if running:
            self.rows[name] = row
            self._count(row, 1)
            self.until = min(self.until, now + SAID_S)

    def expire(self, now):
        """Forget what was said too long ago."""
        if now < self.until:
            return
        while self.rows:
            name, row = next(iter(self.rows.items()))
            self.until = row[3] + SAID_S
            if now < self.until:
                return
            del self.rows[name]
            self._count(row, -1)
        self.until = math.inf

    def _count(self, row, sign):
        self.running += sign * row[0]
        self.tokens += sign * row[1]
        self.reading += sign * row[2]
        self.memory += sign * row[5]
        for priority, gap_ms, streams in row[4]:
            pauses.count(self.gaps, (priority, gap_ms), sign * streams)
