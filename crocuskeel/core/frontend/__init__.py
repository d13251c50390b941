"""The entry host: handles callers' requests from arrival to answer."""

from crocuskeel.core.frontend.handling import handle
from crocuskeel.core.frontend.state import FrontendState
from crocuskeel.core.frontend.state import new_state

__all__ = ["FrontendState", "handle", "new_state"]
