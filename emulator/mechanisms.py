"""What can be switched off in the hosts, to see what it is worth.

Each entry sets constants of the product so that the mechanism does
nothing; nothing else of the run changes.
"""

import contextlib
import math
import unittest.mock

from crocuskeel.core.entry import admission
from crocuskeel.core.entry import candidates
from crocuskeel.core.entry import class_minimums
from crocuskeel.core.entry import cost
from crocuskeel.core.entry import gossip
from crocuskeel.core.entry import retrying
from crocuskeel.core.entry import serving

__all__ = ["MECHANISMS", "without"]

ALL = (1.0, 1.0, 1.0)
MECHANISMS = {
    "wait bounds by rank": ((admission, "WAIT_SHARES", ALL),),
    "prompts before an engine by rank": (
        (admission, "READING_MOST", (64, 64, 64)),),
    "reading time by rank": ((admission, "BUSY_SHARES", (2.0, 2.0, 2.0)),),
    "no spill to busy engines": ((admission, "SPILL_BUSY", 2.0),),
    "slots by rank": ((admission, "SLOT_SHARES", ALL),),
    "bound on memory": ((admission, "MEMORY_SHARE", math.inf),),
    "bound on streams made late": ((admission, "LATE_MOST", math.inf),),
    "holding for room": ((admission, "HOLD_SHARE", 0.0),),
    "cost of reading again": ((cost, "REREAD", 1.0),),
    "cost of running requests": ((cost, "RUNNING_S", 0.0),),
    "cost of streams made late": ((cost, "LATE_S", 0.0),),
    "order of engines for streams": ((cost, "ORDER_S", 0.0),),
    "cost of fetching": ((cost, "FETCH_SHARE", 0.0),),
    "cost of a full engine": ((cost, "FULL_S", 0.0),),
    "second server for slow calls": ((retrying, "HEDGE_SHARE", 9.0),),
    "moving silent streams": (
        (retrying, "MOVE_SHARE", 9.0), (retrying, "STALL_GAPS", 99.0)),
    "loads told at once": ((gossip, "LOADS_GAP_S", 0.3),),
    "floors of classes": ((class_minimums, "FLOOR_SHARE", 0.0),),
    "few candidates": ((candidates, "LOOKED_AT_MOST", 10 ** 6),),
    "few carriers": ((serving, "CARRIERS_FEW", 10 ** 6),),
}


@contextlib.contextmanager
def without(name):
    """Have a mechanism do nothing; "" switches nothing off."""
    with contextlib.ExitStack() as stack:
        for module, constant, value in MECHANISMS[name] if name else ():
            stack.enter_context(unittest.mock.patch.object(
                module, constant, value))
        yield
