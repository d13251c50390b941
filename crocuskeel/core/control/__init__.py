"""The decisions of the control daemon, as a reducer without I/O."""

from crocuskeel.core.control.desired import desired_states
from crocuskeel.core.control.orders import Item
from crocuskeel.core.control.orders import Kind
from crocuskeel.core.control.orders import Order
from crocuskeel.core.control.planning import may_send
from crocuskeel.core.control.reducer import reduce
from crocuskeel.core.control.state import Config
from crocuskeel.core.control.state import ControlState
from crocuskeel.core.control.state import new_state

__all__ = ["Config", "ControlState", "Item", "Kind", "Order",
           "desired_states", "may_send", "new_state", "reduce"]
