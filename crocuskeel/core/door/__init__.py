"""The entry host: handles callers' requests from arrival to answer."""

from crocuskeel.core.door.handling import handle
from crocuskeel.core.door.state import DoorState
from crocuskeel.core.door.state import new_state

__all__ = ["DoorState", "handle", "new_state"]
