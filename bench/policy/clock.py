"""A virtual clock: calls at times, run in order."""

import dataclasses
import heapq

__all__ = ["Clock", "at", "new_clock", "run"]


@dataclasses.dataclass(slots=True)
class Clock:
    """``now`` in seconds; ``heap`` holds (time, order, call, args)."""

    now: float = 0.0
    order: int = 0
    heap: list = dataclasses.field(default_factory=list)


def new_clock():
    """Return a clock at 0."""
    return Clock()


def at(clock, after_s, call, *args):
    """Have ``call(*args)`` made after a span."""
    clock.order += 1
    due = clock.now + max(0.0, after_s)
    heapq.heappush(clock.heap, (due, clock.order, call, args))


def run(clock, until, is_over):
    """Make the calls due up to ``until``, or until ``is_over()``."""
    while clock.heap and clock.heap[0][0] <= until:
        due, _order, call, args = heapq.heappop(clock.heap)
        clock.now = due
        call(*args)
        if is_over():
            return
