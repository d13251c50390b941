"""Results of ledger lookups made before a request is refused."""

from crocuskeel.core import effects
from crocuskeel.core.frontend import claim_lookup
from crocuskeel.core.frontend import replaying
from crocuskeel.core import problems

__all__ = ["answered", "timed_out"]

Reason = problems.Reason
Outcome = problems.Outcome


def answered(daemon, message):
    """Refuse the request, or relay the answer of the claim's holder."""
    lookup = daemon.frontend.lookups.pop(message.rid)
    out = [effects.CancelTimer(("door", "lookup", lookup.rid))]
    reason = lookup.problem.reason
    own_claim = message.holder_rid == lookup.rid
    if message.status == "absent" or own_claim:
        return out + claim_lookup.refuse(lookup, reason, Outcome.NOT_RUN)
    if message.status == "duplicate":
        for rid in lookup.rids:
            out += replaying.replay_from_holder(daemon, rid, message)
        return out
    if message.status == "mismatch":
        return out + claim_lookup.refuse(
            lookup, Reason.KEY_MISMATCH, Outcome.NOT_RUN)
    if message.status == "too_old":
        reason = Reason.KEY_TOO_OLD
    return out + claim_lookup.refuse(lookup, reason, Outcome.UNKNOWN)


def timed_out(daemon, rid):
    """Refuse with an unknown outcome if the ledger did not answer."""
    lookup = daemon.frontend.lookups.pop(rid, None)
    if lookup is None:
        return []
    return claim_lookup.refuse(lookup, lookup.problem.reason, Outcome.UNKNOWN)
