"""Floors: the share of grants that a class gets at any load above it.

Each grant of a cell adds a class's floor to its credit while it has
waiting work. A class with a credit of 1 gets the next grant, whatever
its tier. Floors of a service add up to at most 1 (the settings' checks
see to that), so credits of all classes can be met.
"""

import math

__all__ = ["MIN_FLOOR", "earn", "next_class", "seats", "spend",
           "wait_bound"]

MIN_FLOOR = 0.01
MAX_CREDIT = 1.0
MIN_SEATS = 2
MAX_SEATS = 8
_ROUNDING = 1e-9


def _share(group):
    return max(group.floor, MIN_FLOOR)


def seats(group, slots):
    """Return how many waiting attempts of a class its floor covers.

    These are not in competition with higher tiers: the share of slots
    that will serve them is the class's own.
    """
    share = math.ceil(_share(group) * slots)
    return min(max(share, MIN_SEATS), MAX_SEATS)


def earn(classes):
    """Count one grant: every class with waiting work earns its floor."""
    for group in classes:
        if group.waiting:
            group.credit = min(group.credit + _share(group),
                               MAX_CREDIT + _share(group))


def spend(group):
    """Count one grant to the class itself."""
    group.credit = max(0.0, group.credit - 1.0)


def next_class(classes):
    """Return the class whose floor is due, None if there is none."""
    due = [group for group in classes
           if group.waiting and group.credit >= 1.0 - _ROUNDING]
    return max(due, key=lambda g: (g.credit, -g.tier, g.name),
               default=None)


def wait_bound(floor, classes, slots, longest_s):
    """Return the longest time a class with waiting work gets no grant.

    ``classes`` counts the classes of the cell, ``slots`` its usable
    slots, ``longest_s`` the longest time an attempt holds a slot. The
    credit reaches 1 after ``ceil(1 / floor)`` grants, then at most
    every other class is served before; and ``slots`` grants are made
    in each ``longest_s``.
    """
    grants = math.ceil(1.0 / max(floor, MIN_FLOOR) - _ROUNDING)
    grants += classes - 1
    return math.ceil(grants / slots) * longest_s
