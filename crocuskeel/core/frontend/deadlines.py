"""Deadlines: answers requests that no dispatcher granted or shed in time."""

from crocuskeel.core import effects
from crocuskeel.core.frontend import completion
from crocuskeel.core.frontend import recovering
from crocuskeel.core.frontend import state
from crocuskeel.core import problems

__all__ = ["expired", "start"]

LATE_DEADLINE_FACTOR = 4.0
RETRY_AFTER_S = 1.0


def start(req, now):
    """Set the timer that bounds a request's total wait.

    For a class that drops late requests an answer is worthless after
    the deadline. Other classes may be late, but each caller's wait is
    still bounded.
    """
    timeout_s = req.policy.deadline_s
    if req.policy.late != "drop":
        timeout_s *= LATE_DEADLINE_FACTOR
    return effects.SetTimer(("door", "deadline", req.rid), timeout_s)


def expired(daemon, req, now):
    """Answer a request whose timer expired, unless it is being served."""
    if req.stage is state.Stage.WAITING:
        return _answer(daemon, req, now)
    if req.stage is state.Stage.CLAIMING:
        # The claim's own timer already bounds this wait by the deadline.
        return []
    if req.policy.late != "drop" or not req.repeatable or req.answer_started:
        return []
    # Nothing has been relayed and the answer is no longer useful.
    # Finishing the run would waste a slot that other requests need.
    out = recovering.cancel(daemon, req, now)
    return out + _answer(daemon, req, now)


def _answer(daemon, req, now):
    return completion.fail(daemon, req, problems.Reason.DEADLINE, now,
                           retry_after_s=RETRY_AFTER_S)
