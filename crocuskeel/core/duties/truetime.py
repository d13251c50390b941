"""The time of day that hosts agree on.

A host's time of day may jump by seconds, forward or back. Windows of
usage follow the middle of what all hosts say: one host's clock, or those
of a third of them, don't move it.
"""

import statistics

__all__ = ["note", "now", "own"]

# What a host said of its clock counts for this long, s: ten datagrams.
SAID_S = 3.0


def note(offsets, name, wall, now):
    """Take a host's time of day, ``wall``, told at ``now`` of our clock."""
    offsets[name] = (wall - now, now)


def now(offsets, now):
    """Return the time of day, s since 1970, or None if nobody told it."""
    for name in [name for name, (_, at) in offsets.items()
                 if now - at > SAID_S]:
        del offsets[name]
    if not offsets:
        return None
    return now + statistics.median(
        offset for offset, _ in offsets.values())


def own(offsets, name, now):
    """Return what a host's own clock says, or None before it was read."""
    if name not in offsets:
        return None
    return now + offsets[name][0]
