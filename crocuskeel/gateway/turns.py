"""Shares the processor's time among connections that are sent much.

What comes on a connection is handled at once, up to some milliseconds. One
that is sent more waits for its turn: all that wait get a quarter of the
processor together, however many they are, and those that used the least come
first. Servers that send without end thus slow down each other, and neither
new requests nor an answer that comes in one large piece.
"""

import heapq
import itertools

__all__ = ["BURST_S", "Turns", "Usage"]

# Time for what came on a connection, s, after which it waits for its turn,
# and by how much of it each second makes up for.
BURST_S = 0.004
RECOVERY = 0.05
# The pause after a turn is this multiple of the time that it took. A turn
# that took longer was interrupted: the process stood still, s.
PAUSE_FACTOR = 3.0
MIN_PAUSE_S = 0.005
MAX_TURN_S = 0.05


class Usage:
    """Time that a connection used: in all, and what isn't made up for, s."""

    def __init__(self):
        self.total_s = 0.0
        self.recent_s = 0.0
        self.at = 0.0


class Turns:
    """Connections that wait for their turn; each has a ``usage``."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.seconds = reactor.seconds
        self.waiting = []
        self.timer = None
        self.free_at = 0.0
        self._numbers = itertools.count()

    def charge(self, usage, took_s):
        """Add to what a connection used; return if it exceeds its burst."""
        now = self.seconds()
        recovered_s = RECOVERY * (now - usage.at)
        usage.at = now
        usage.recent_s = max(0.0, usage.recent_s - recovered_s) + took_s
        usage.total_s += took_s
        return usage.recent_s > BURST_S

    def wait(self, conn, took_s):
        """Call ``conn.take_turn()`` when it is its turn.

        ``took_s`` is what it used just now.
        """
        pause_s = PAUSE_FACTOR * min(took_s, MAX_TURN_S)
        self.free_at = max(self.free_at, self.seconds()) + pause_s
        heapq.heappush(self.waiting, (
            conn.usage.total_s, next(self._numbers), conn))
        self._schedule()

    def _schedule(self):
        if self.timer is None and self.waiting:
            self.timer = self.reactor.callLater(
                max(MIN_PAUSE_S, self.free_at - self.seconds()), self._run)

    def _run(self):
        self.timer = None
        if self.free_at > self.seconds():
            self._schedule()
            return
        while self.waiting:
            _, _, conn = heapq.heappop(self.waiting)
            if not conn.closed:
                conn.usage.recent_s = 0.0
                conn.take_turn()
                break
        self._schedule()
