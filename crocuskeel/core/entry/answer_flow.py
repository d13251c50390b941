"""Decides which servers' answers are read while memory is short.

The load that it answers: servers that send large answers faster than callers
read them. The servers are slowed down by not reading from them. Small answers
are always read. So is the oldest large one, for one of them to end, unless
whole answers fill their part of the memory: these wait for their callers, and
reading on would add another one to them.
"""

__all__ = ["SMALL_ANSWER_BYTES", "to_pause"]

SMALL_ANSWER_BYTES = 1 << 16
# Part of the budget that whole answers may fill before no large one is read.
WHOLE_SHARE = 0.5


def to_pause(sizes, whole, limit):
    """Return the answers that are not to be read now.

    ``sizes`` maps answers that are being read to what is held of them, the
    oldest first; ``whole`` is what is held of those that have been read, and
    ``limit`` the budget of both, bytes.
    """
    if sum(sizes.values()) + whole <= limit:
        return frozenset()
    large = [answer for answer, size in sizes.items()
             if size > SMALL_ANSWER_BYTES]
    if whole <= limit * WHOLE_SHARE:
        large = large[1:]
    return frozenset(large)
