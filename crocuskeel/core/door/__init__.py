"""The door: every caller's request, from arrival to its one answer."""

from crocuskeel.core.door.handling import handle
from crocuskeel.core.door.state import DoorState
from crocuskeel.core.door.state import new_state

__all__ = ["DoorState", "handle", "new_state"]
