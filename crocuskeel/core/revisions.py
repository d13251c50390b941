"""Revisions of the platform's store, ordered across its restores.

The store counts its changes. When it is restored from an older copy, that
count goes back and numbers are given out again, but its era rises. A revision
holds both in one integer, the era above the number, so that revisions only
grow. Without restores, or without eras, it equals the number.
"""

__all__ = ["MAX_ERA", "combine", "era", "in_era_of", "number"]

# Enough for 400 changes a second over 87 years.
NUMBER_BITS = 40
# Revisions fit signed 64-bit integers, as datagrams hold them.
MAX_ERA = (1 << 63 - NUMBER_BITS) - 1


def combine(era, number):
    """Return the revision of a number that the store gave out in an era."""
    return era << NUMBER_BITS | number


def era(revision):
    """Return the era in which the store gave out a revision.

    A negative revision stands for none and has era 0.
    """
    return max(0, revision) >> NUMBER_BITS


def number(revision):
    """Return the number of a revision, as the store knows it.

    A negative revision stands for none and is returned unchanged.
    """
    return revision if revision < 0 else revision & (1 << NUMBER_BITS) - 1


def in_era_of(reference, value):
    """Return a number that came without its era as a revision.

    Hosts of the former version send numbers. They are assumed to be of the
    era of ``reference``; a negative one stands for no revision.
    """
    return value if value < 0 else combine(era(reference), value)
