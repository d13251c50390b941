"""The control daemon's decisions: a reducer of its own."""

from crocuskeel.core.control.orders import Item
from crocuskeel.core.control.orders import Kind
from crocuskeel.core.control.orders import Order
from crocuskeel.core.control.planning import may_send
from crocuskeel.core.control.reducer import reduce
from crocuskeel.core.control.state import Config
from crocuskeel.core.control.state import ControlState
from crocuskeel.core.control.state import new_state
from crocuskeel.core.control.wanted import wanted

__all__ = ["Config", "ControlState", "Item", "Kind", "Order",
           "may_send", "new_state", "reduce", "wanted"]
