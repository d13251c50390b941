"""Dispatching of a cell: queues, floors, grants and engine statistics."""

from crocuskeel.core.dispatch.floors import max_grant_gap_s
from crocuskeel.core.dispatch.handling import handle
from crocuskeel.core.dispatch.state import DispatchState
from crocuskeel.core.dispatch.state import new_state

__all__ = ["DispatchState", "handle", "max_grant_gap_s", "new_state"]
