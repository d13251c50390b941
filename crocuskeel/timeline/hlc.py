"""Hybrid logical clock: wall time that never runs against cause.

A stamp is (ms, count): milliseconds since the epoch as the host's own
clock told them, or as the newest stamp heard told them if that one is
ahead, and a count that tells stamps of one millisecond apart. Stamps
compare as tuples. Only order is promised: with clocks apart by D ms,
`ms` may be ahead of this host's own clock by up to D.
"""

import dataclasses
import typing


class Stamp(typing.NamedTuple):
    """One point of the clock; compares by ms, then by count."""

    ms: int
    count: int


ZERO = Stamp(0, 0)


@dataclasses.dataclass(slots=True)
class Clock:
    """State of one process's clock; `last` is the newest stamp it gave."""

    last: Stamp = ZERO

    def tick(self, now_ms: float) -> Stamp:
        """Stamp a local event or a message about to be sent."""
        return self._advance(self.last, now_ms)

    def merge(self, remote: tuple[int, int], now_ms: float) -> Stamp:
        """Stamp the receipt of a message that carried `remote`."""
        return self._advance(max(self.last, Stamp(*remote)), now_ms)

    def _advance(self, newest: Stamp, now_ms: float) -> Stamp:
        wall = int(now_ms)
        if wall > newest.ms:
            self.last = Stamp(wall, 0)
        else:
            self.last = Stamp(newest.ms, newest.count + 1)
        return self.last


def new_clock() -> Clock:
    """A clock that has seen nothing yet."""
    return Clock()
