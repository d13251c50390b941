"""Claims: a non-repeatable request runs only once its claim is recorded.

The claim is requested when a slot is granted, so that a request that is
never granted needs none. It must be recorded before anything is sent to
a backend server.
"""

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.frontend import claim_keys
from crocuskeel.core.frontend import completion
from crocuskeel.core.frontend import reporting
from crocuskeel.core.frontend import state
from crocuskeel.core import messages
from crocuskeel.core import problems

__all__ = ["late_response", "refused", "request_claim", "timed_out"]

RESEND_INTERVAL_S = 0.5
CLAIM_TIMEOUT_S = 3.0
RETRY_AFTER_S = 2.0

_REFUSALS = {
    "mismatch": problems.Reason.KEY_MISMATCH,
    "too_old": problems.Reason.KEY_TOO_OLD,
    # The issue time is in the future by the ledger's clock.
    "too_new": problems.Reason.BAD_REQUEST,
    "unavailable": problems.Reason.CLAIM_UNAVAILABLE,
}


def request_claim(daemon, req, now):
    """Ask the slot's owner to record the claim, with a timeout."""
    req.stage = state.Stage.CLAIMING
    req.claim_requested = True
    req.claim_expires_at = now + CLAIM_TIMEOUT_S
    if req.policy.late == "drop":
        req.claim_expires_at = min(req.claim_expires_at, req.deadline_at)
    return _send(daemon, req, now)


def _send(daemon, req, now):
    key = completion.claim_key(req)
    remaining_s = max(0.0, req.claim_expires_at - now)
    message = messages.ClaimAsk(
        req.rid, claim_keys.slot_of(daemon, key), key, req.arrival.digest,
        remaining_s, req.arrival.issued_at)
    out = [effects.SetTimer(("door", "claim", req.rid),
                            min(RESEND_INTERVAL_S, remaining_s))]
    owner = claim_keys.owner_of(daemon, key)
    if owner:
        out.append(effects.Send(owner, message))
    return out


def timed_out(daemon, req, now):
    """Resend the claim, maybe to a new owner, until it times out.

    Claims are idempotent for the same rid, so a lost answer costs only
    the extra message.
    """
    if req.stage is not state.Stage.CLAIMING:
        return []
    if now < req.claim_expires_at:
        return _send(daemon, req, now)
    out = [reporting.record(req, "claim_timeout", now)]
    return out + _refuse(daemon, req, now,
                         problems.Reason.CLAIM_UNAVAILABLE, RETRY_AFTER_S)


def refused(daemon, req, message, now):
    """Answer a request whose claim was refused; it never ran itself.

    For a key older than the ledger's retention it is unknown whether an
    earlier request with that key ran.
    """
    reason = _REFUSALS.get(message.status,
                           problems.Reason.CLAIM_UNAVAILABLE)
    return _refuse(daemon, req, now, reason,
                   message.retry_after_s,
                   problems.Outcome.UNKNOWN if message.status == "too_old"
                   else None)


def _refuse(daemon, req, now, reason, retry_after_s, outcome=None):
    out = completion.release(daemon, req, events.AttemptEnd.CANCELLED)
    return out + completion.fail(daemon, req, reason, now,
                                 retry_after_s=retry_after_s,
                                 outcome=outcome)


def late_response(daemon, message):
    """Free a claim that was granted after its request abandoned it."""
    key = daemon.frontend.abandoned_claims.get(message.rid)
    if message.status != "granted" or key != message.key:
        return []
    return completion.settle_claim(daemon, message.rid, key,
                                   problems.Outcome.NOT_RUN)
