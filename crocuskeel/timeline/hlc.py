"""Hybrid logical clock: wall-clock time in an order that follows causality.

A stamp is (ms, count): milliseconds since the epoch, by the host's own
clock or from the newest stamp received if that one is ahead, and a count
that distinguishes stamps with the same milliseconds. Stamps compare as
tuples. Only the order is guaranteed: if the hosts' clocks differ by D ms,
`ms` may be ahead of this host's own clock by up to D.
"""

import dataclasses
import typing


class Stamp(typing.NamedTuple):
    """One reading of the clock; compares by ms, then by count."""

    ms: int
    count: int


ZERO = Stamp(0, 0)


@dataclasses.dataclass(slots=True)
class Clock:
    """One process's clock; `last` is the last stamp that it issued."""

    last: Stamp = ZERO

    def tick(self, now_ms: float) -> Stamp:
        """Return a stamp for a local event or a message to be sent."""
        return self._advance(self.last, now_ms)

    def merge(self, remote: tuple[int, int], now_ms: float) -> Stamp:
        """Return a stamp for the receipt of a message stamped `remote`."""
        return self._advance(max(self.last, Stamp(*remote)), now_ms)

    def _advance(self, newest: Stamp, now_ms: float) -> Stamp:
        wall_ms = int(now_ms)
        if wall_ms > newest.ms:
            self.last = Stamp(wall_ms, 0)
        else:
            self.last = Stamp(newest.ms, newest.count + 1)
        return self.last


def new_clock() -> Clock:
    """Return a clock that has not issued a stamp yet."""
    return Clock()
