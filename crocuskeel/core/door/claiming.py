"""Claims: a non-repeatable request runs only after its claim is kept.

The claim is asked for when a slot is granted, so that a request that is
never granted needs none, and answered before anything is sent.
"""

from crocuskeel.core.door import claim_keys
from crocuskeel.core.door import ending
from crocuskeel.core.door import reporting
from crocuskeel.core.door import state
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.core import problems

__all__ = ["ask", "late_answer", "refused", "timed_out"]

ASK_AGAIN_S = 0.5
CLAIM_WAIT_S = 3.0
RETRY_AFTER_S = 2.0

_REFUSALS = {
    "mismatch": problems.Reason.KEY_MISMATCH,
    "too_old": problems.Reason.KEY_TOO_OLD,
    # Issued in the future by the ledger's clock.
    "too_new": problems.Reason.BAD_REQUEST,
    "unavailable": problems.Reason.CLAIM_UNAVAILABLE,
}


def ask(daemon, req, now):
    """Ask the slot's owner to record the claim; bounded in time."""
    req.stage = state.Stage.CLAIMING
    req.claim_asked = True
    req.claim_until = now + CLAIM_WAIT_S
    if req.policy.late == "drop":
        req.claim_until = min(req.claim_until, req.deadline_at)
    return _send(daemon, req, now)


def _send(daemon, req, now):
    key = ending.claim_key(req)
    left = max(0.0, req.claim_until - now)
    message = messages.ClaimAsk(
        req.rid, claim_keys.slot_of(daemon, key), key, req.arrival.digest,
        left, req.arrival.issued_at)
    out = [effects.SetTimer(("door", "claim", req.rid),
                            min(ASK_AGAIN_S, left))]
    owner = claim_keys.owner_of(daemon, key)
    if owner:
        out.append(effects.Send(owner, message))
    return out


def timed_out(daemon, req, now):
    """Ask again, maybe another owner, until the claim's time is over.

    The ledger takes the same rid's claim twice for one, so an answer
    that was lost on its way costs nothing but the repetition.
    """
    if req.stage is not state.Stage.CLAIMING:
        return []
    if now < req.claim_until:
        return _send(daemon, req, now)
    out = [reporting.record(req, "claim_timeout", now)]
    return out + _refuse(daemon, req, now,
                         problems.Reason.CLAIM_UNAVAILABLE, RETRY_AFTER_S)


def refused(daemon, req, message, now):
    """Answer a request whose claim was refused; it never ran itself.

    Of a key older than what is kept nobody knows whether it ran.
    """
    reason = _REFUSALS.get(message.status,
                           problems.Reason.CLAIM_UNAVAILABLE)
    return _refuse(daemon, req, now, reason,
                   message.retry_after_s,
                   problems.Outcome.UNKNOWN if message.status == "too_old"
                   else None)


def _refuse(daemon, req, now, reason, retry_after_s, outcome=None):
    out = ending.release(daemon, req, events.AttemptEnd.CANCELLED)
    return out + ending.answer(daemon, req, reason, now,
                               retry_after_s=retry_after_s,
                               outcome=outcome)


def late_answer(daemon, message):
    """Free a claim that was granted after its request gave it up."""
    key = daemon.door.abandoned.get(message.rid)
    if message.status != "granted" or key != message.key:
        return []
    return ending.settle(daemon, message.rid, key,
                         problems.Outcome.NOT_RUN)
