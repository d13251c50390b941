"""A virtual clock that runs scheduled calls in order of time."""

import dataclasses
import heapq

__all__ = ["Clock", "call_later", "new_clock", "run"]


@dataclasses.dataclass(slots=True)
class Clock:
    """``now`` in seconds; ``heap`` holds (time, sequence, call, args)."""

    now: float = 0.0
    sequence: int = 0
    heap: list = dataclasses.field(default_factory=list)


def new_clock():
    """Return a clock at 0."""
    return Clock()


def call_later(clock, after_s, call, *args):
    """Schedule ``call(*args)`` in ``after_s`` seconds."""
    clock.sequence += 1
    due = clock.now + max(0.0, after_s)
    heapq.heappush(clock.heap, (due, clock.sequence, call, args))


def run(clock, until, is_done):
    """Run the calls due up to ``until``, or until ``is_done()``."""
    while clock.heap and clock.heap[0][0] <= until:
        due, _sequence, call, args = heapq.heappop(clock.heap)
        clock.now = due
        call(*args)
        if is_done():
            return
