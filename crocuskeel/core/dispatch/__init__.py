"""Dispatching of a cell: queues, floors, grants and engine statistics."""

from crocuskeel.core.dispatch.floors import wait_bound
from crocuskeel.core.dispatch.handling import handle
from crocuskeel.core.dispatch.state import DispatchState
from crocuskeel.core.dispatch.state import new_state

__all__ = ["DispatchState", "handle", "new_state", "wait_bound"]
