"""Deadlines: answers requests that no dispatcher granted or shed in time."""

from crocuskeel.core.frontend import completion
from crocuskeel.core.frontend import recovering
from crocuskeel.core.frontend import state
from crocuskeel.core import problems

__all__ = ["expired"]

RETRY_AFTER_S = 1.0


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
