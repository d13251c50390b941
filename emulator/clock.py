"""A virtual clock with a queue of what is due."""

import heapq

__all__ = ["Clock"]


class Clock:
    """``now`` is in seconds; what is due at one time keeps its order."""

    def __init__(self, now=100.0):
        self.now = now
        self.queue = []
        self.numbered = 0

    def at(self, when, function, *args):
        """Have a function called at a time; return a handle."""
        self.numbered += 1
        entry = [max(when, self.now), self.numbered, function, args]
        heapq.heappush(self.queue, entry)
        return entry

    def after(self, span, function, *args):
        """Have a function called after a span; return a handle."""
        return self.at(self.now + span, function, *args)

    def cancel(self, entry):
        """Let what a handle stands for not happen."""
        entry[2] = None

    def run(self, until):
        """Let all that is due until a time happen."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.queue)
            if function is not None:
                function(*args)
        self.now = until
