"""A virtual clock with a queue of scheduled calls."""

import heapq

__all__ = ["Clock"]


class Clock:
    """``now`` is in seconds; calls due at the same time run in FIFO order."""

    def __init__(self, now=100.0):
        self.now = now
        self.queue = []
        self.last_number = 0

    def at(self, due_at, function, *args):
        """Schedule a call at a time; return a handle."""
        self.last_number += 1
        entry = [max(due_at, self.now), self.last_number, function, args]
        heapq.heappush(self.queue, entry)
        return entry

    def after(self, delay, function, *args):
        """Schedule a call after a delay; return a handle."""
        return self.at(self.now + delay, function, *args)

    def cancel(self, entry):
        """Cancel the call of a handle."""
        entry[2] = None

    def run(self, until):
        """Run all calls that are due until a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.queue)
            if function is not None:
                function(*args)
        self.now = until
