"""Floors: the minimum share of grants that a class gets at any load.

Each grant of a cell adds a class's floor to its credit while it has
waiting work. A class with a credit of 1 gets the next grant, whatever
its tier. The settings' checks ensure that the floors of a service add up
to at most 1, so the credits of all classes can be met.
"""

import math

__all__ = ["MIN_FLOOR", "add_credit", "max_grant_gap_s", "next_class",
           "protected_queue_size", "spend_credit"]

MIN_FLOOR = 0.01
MAX_CREDIT = 1.0
MIN_PROTECTED = 2
MAX_PROTECTED = 8
_ROUNDING = 1e-9


def _share(class_queue):
    return max(class_queue.floor, MIN_FLOOR)


def protected_queue_size(class_queue, slots):
    """Return the protected queue size of a class under its floor.

    That many waiting attempts don't compete with higher tiers: the share
    of slots that will serve them belongs to the class.
    """
    share = math.ceil(_share(class_queue) * slots)
    return min(max(share, MIN_PROTECTED), MAX_PROTECTED)


def add_credit(classes):
    """Add its floor to the credit of each class with waiting work.

    Called once for each grant.
    """
    for class_queue in classes:
        if class_queue.waiting_count:
            class_queue.credit = min(
                class_queue.credit + _share(class_queue),
                MAX_CREDIT + _share(class_queue))


def spend_credit(class_queue):
    """Deduct one grant from the credit of the class that got it."""
    class_queue.credit = max(0.0, class_queue.credit - 1.0)


def next_class(classes):
    """Return the class whose floor is due, None if there is none."""
    due = [class_queue for class_queue in classes
           if class_queue.waiting_count
           and class_queue.credit >= 1.0 - _ROUNDING]
    return max(due, key=lambda q: (q.credit, -q.tier, q.name),
               default=None)


def max_grant_gap_s(floor, classes, slots, longest_s):
    """Return the longest time a class with waiting work gets no grant.

    ``classes`` is the number of classes in the cell, ``slots`` the number
    of its usable slots, ``longest_s`` the longest time an attempt holds a
    slot. The credit reaches 1 after ``ceil(1 / floor)`` grants, then at
    most every other class is served before; and ``slots`` grants are made
    in each ``longest_s``.
    """
    grants = math.ceil(1.0 / max(floor, MIN_FLOOR) - _ROUNDING)
    grants += classes - 1
    return math.ceil(grants / slots) * longest_s
