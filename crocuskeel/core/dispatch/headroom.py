"""Slots kept free for the next arrivals of the top tier.

The number of slots that the top tier uses varies by about its square
root. If the lower tiers took all other slots, an arrival of the top tier
would have to wait for one of their attempts to end, and longer the closer
the top tier's load is to the completion rate. The headroom is a learned
multiple of the square root, because free slots are lost to the lower
tiers.
"""

import math

from crocuskeel.core.dispatch import engine_selection

__all__ = ["TOP_TIER", "observe_first_token", "observe_grant",
           "reserved_slots"]

TOP_TIER = 1
MAX_SHARE = 0.35
MIN_FACTOR = 0.5
MAX_FACTOR = 4.0
INCREASE = 0.5
# In equilibrium about one answer in INCREASE / DECREASE is late.
DECREASE = 0.001
LONG_WAIT_SHARE = 0.2


def reserved_slots(daemon, cell, now):
    """Return how many free slots the lower tiers must leave free."""
    wanted = math.ceil(
        cell.headroom_factor * math.sqrt(cell.top_tier_running))
    most = int(MAX_SHARE * engine_selection.usable_slots(daemon, cell, now))
    return min(wanted, most)


def observe_grant(cell, request, waited_s):
    """Increase the headroom if a grant came after a long wait."""
    if (request.tier == TOP_TIER
            and waited_s > LONG_WAIT_SHARE * request.target_ttft_s):
        _increase(cell)


def observe_first_token(cell, slot, ttft_s):
    """Adapt the headroom to whether an answer's first token was in time."""
    if slot.tier != TOP_TIER or slot.ttft_budget_s <= 0.0:
        return
    if ttft_s > slot.ttft_budget_s:
        _increase(cell)
    else:
        cell.headroom_factor = max(
            cell.headroom_factor - DECREASE, MIN_FACTOR)


def _increase(cell):
    cell.headroom_factor = min(cell.headroom_factor + INCREASE, MAX_FACTOR)
