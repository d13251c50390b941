"""The wall clock time that hosts agree on.

A host's wall clock may jump by seconds, forward or back. Usage windows
therefore follow the median of all hosts' clocks, which wrong clocks of
one host, or of a third of them, don't change.
"""

import statistics

__all__ = ["add_reading", "own_wall_time", "wall_time"]

# A reading of a host's clock is valid for this long, s: ten datagrams.
READING_TTL_S = 3.0


def add_reading(offsets, name, wall, now):
    """Record a host's wall clock time, received at ``now`` of our clock."""
    offsets[name] = (wall - now, now)


def wall_time(offsets, now):
    """Return the agreed time, s since 1970, or None without readings."""
    for name in [name for name, (_, at) in offsets.items()
                 if now - at > READING_TTL_S]:
        del offsets[name]
    if not offsets:
        return None
    return now + statistics.median(
        offset for offset, _ in offsets.values())


def own_wall_time(offsets, name, now):
    """Return a host's own wall clock time, or None without a reading."""
    if name not in offsets:
        return None
    return now + offsets[name][0]
