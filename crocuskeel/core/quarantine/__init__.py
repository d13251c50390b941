"""Requests that crash backend servers: suspects and the quarantined."""

from crocuskeel.core.quarantine.incidents import engine_seen
from crocuskeel.core.quarantine.incidents import finished
from crocuskeel.core.quarantine.incidents import is_open
from crocuskeel.core.quarantine.incidents import lost
from crocuskeel.core.quarantine.incidents import overdue
from crocuskeel.core.quarantine.state import handle
from crocuskeel.core.quarantine.state import is_pending
from crocuskeel.core.quarantine.state import new_state
from crocuskeel.core.quarantine.state import QuarantineState
from crocuskeel.core.quarantine.state import verdict

__all__ = ["QuarantineState", "engine_seen", "finished", "handle",
           "is_open", "is_pending", "lost", "new_state", "overdue", "verdict"]
