"""Mechanisms of the hosts that can be disabled to measure their effect.

Each entry sets constants of the product so that the mechanism has no
effect; the rest of the run is unchanged.
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

FULL_SHARES = (1.0, 1.0, 1.0)
MECHANISMS = {
    "wait bounds by rank": ((admission, "MAX_WAIT_SHARES", FULL_SHARES),),
    "prompts before an engine by rank": (
        (admission, "MAX_PREFILLS_AHEAD", (64, 64, 64)),),
    "reading time by rank": (
        (admission, "MAX_PREFILL_SHARES", (2.0, 2.0, 2.0)),),
    "no spill to busy engines": ((admission, "SPILL_MAX_PREFILL_SHARE", 2.0),),
    "short prompts at busy engines": ((admission, "SHORT_PREFILL_S", -1.0),),
    "engines reserved for urgent classes": (
        (class_minimums, "RESERVED_S", 0.0),),
    "slots by rank": ((admission, "MAX_SLOT_SHARES", FULL_SHARES),),
    "bound on memory": ((admission, "MAX_MEMORY_SHARE", math.inf),),
    "bound on streams made late": ((admission, "MAX_LATE_STREAMS", math.inf),),
    "holding for room": ((admission, "QUEUE_TIME_SHARE", 0.0),),
    "cost of reading again": ((cost, "REPEATED_PREFILL_FACTOR", 1.0),),
    "cost of running requests": ((cost, "RUNNING_REQUEST_S", 0.0),),
    "cost of streams made late": ((cost, "LATE_STREAM_S", 0.0),),
    "order of engines for streams": ((cost, "ORDER_STEP_S", 0.0),),
    "cost of fetching": ((cost, "FETCH_COST_SHARE", 0.0),),
    "cost of a full engine": ((cost, "FULL_ENGINE_S", 0.0),),
    "second server for slow calls": ((retrying, "HEDGE_SHARE", 9.0),),
    "moving silent streams": (
        (retrying, "MOVE_SHARE", 9.0), (retrying, "STALL_GAP_FACTOR", 99.0)),
    "loads told at once": ((gossip, "LOAD_UPDATE_INTERVAL_S", 0.3),),
    "floors of classes": ((class_minimums, "GUARANTEED_SHARE", 0.0),),
    "few candidates": ((candidates, "MAX_CANDIDATES", 10 ** 6),),
    "few carriers": ((serving, "BASE_SERVING_HOSTS", 10 ** 6),),
}


@contextlib.contextmanager
def without(name):
    """Disable a mechanism in this context; "" disables none."""
    with contextlib.ExitStack() as stack:
        for module, constant, value in MECHANISMS[name] if name else ():
            stack.enter_context(unittest.mock.patch.object(
                module, constant, value))
        yield
