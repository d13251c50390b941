"""Poison requests, which crash backend servers: suspicion and quarantine."""

from crocuskeel.core.quarantine.incidents import attempt_done
from crocuskeel.core.quarantine.incidents import attempt_lost
from crocuskeel.core.quarantine.incidents import has_undecided_loss
from crocuskeel.core.quarantine.incidents import judge_overdue
from crocuskeel.core.quarantine.incidents import load_reported
from crocuskeel.core.quarantine.state import handle
from crocuskeel.core.quarantine.state import must_wait
from crocuskeel.core.quarantine.state import new_state
from crocuskeel.core.quarantine.state import QuarantineState
from crocuskeel.core.quarantine.state import verdict

__all__ = ["QuarantineState", "attempt_done", "attempt_lost", "handle",
           "has_undecided_loss", "judge_overdue", "load_reported",
           "must_wait", "new_state", "verdict"]
