"""Slots kept free for the next arrivals of the top tier.

What the top tier holds varies by about its square root. With all slots
taken by the tiers below, an arrival would wait for one of theirs to
end, the longer the nearer the top tier comes to the rate of ends. How
many roots are kept is learned: slots kept are lost to the tiers below.
"""

import math

from crocuskeel.core.dispatch import choice

__all__ = ["TOP_TIER", "finished", "granted", "kept"]

TOP_TIER = 1
MAX_SHARE = 0.35
MIN_ROOTS = 0.5
MAX_ROOTS = 4.0
UP = 0.5
# In the balance about one in UP / DOWN is late.
DOWN = 0.001
LONG_WAIT = 0.2


def kept(daemon, cell, now):
    """Return how many free slots the tiers below leave free."""
    wanted = math.ceil(cell.headroom * math.sqrt(cell.top_held))
    most = int(MAX_SHARE * choice.slots(daemon, cell, now))
    return min(wanted, most)


def granted(cell, ask, waited_s):
    """Learn from a grant: a long wait asks for more headroom."""
    if ask.tier == TOP_TIER and waited_s > LONG_WAIT * ask.target_ttft_s:
        _more(cell)


def finished(cell, slot, ttft_s):
    """Learn from an answer, whether its first token came in time."""
    if slot.tier != TOP_TIER or slot.first_by_s <= 0.0:
        return
    if ttft_s > slot.first_by_s:
        _more(cell)
    else:
        cell.headroom = max(cell.headroom - DOWN, MIN_ROOTS)


def _more(cell):
    cell.headroom = min(cell.headroom + UP, MAX_ROOTS)
