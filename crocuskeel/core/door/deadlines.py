"""Deadlines: the door is the backstop of what dispatchers shed."""

from crocuskeel.core.door import ending
from crocuskeel.core.door import recovering
from crocuskeel.core.door import state
from crocuskeel.core import effects
from crocuskeel.core import problems

__all__ = ["fired", "start"]

LATE_FACTOR = 4.0
RETRY_AFTER_S = 1.0


def start(req, now):
    """Set the timer of a request's final wait.

    A late answer of a drop-late class is worthless at the deadline. The
    others may be late, but no caller waits without any bound.
    """
    span = req.policy.deadline_s
    if req.policy.late != "drop":
        span *= LATE_FACTOR
    return effects.SetTimer(("door", "deadline", req.rid), span)


def fired(daemon, req, now):
    """Answer a request whose time is over, unless it is being served."""
    if req.stage is state.Stage.WAITING:
        return _answer(daemon, req, now)
    if req.stage is state.Stage.CLAIMING:
        # The claim's own timer bounds this wait, also by the deadline.
        return []
    if req.policy.late != "drop" or not req.repeatable or req.opened:
        return []
    # Nothing was relayed yet and nobody wants it any more: the rest of
    # the run would be wasted, and the slot is wanted by others.
    out = recovering.cancel(daemon, req, now)
    return out + _answer(daemon, req, now)


def _answer(daemon, req, now):
    return ending.answer(daemon, req, problems.Reason.DEADLINE, now,
                         retry_after_s=RETRY_AFTER_S)
