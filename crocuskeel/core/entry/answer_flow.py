"""Decides which servers' answers are read while memory is short.

The load that it answers: servers that send large answers faster than callers
read them. The servers are slowed down by not reading from them. The oldest
large answer is always read, so that one of them ends, and small ones are.
"""

__all__ = ["SMALL_ANSWER_BYTES", "to_pause"]

SMALL_ANSWER_BYTES = 1 << 16


def to_pause(sizes, total, limit):
    """Return the answers that are not to be read now.

    ``sizes`` maps answers that are being read to what is held of them, the
    oldest first; ``total`` is all that is held of answers, and ``limit`` the
    budget of that, bytes.
    """
    if total <= limit:
        return frozenset()
    large = [answer for answer, size in sizes.items()
             if size > SMALL_ANSWER_BYTES]
    return frozenset(large[1:])
