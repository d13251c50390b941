"""What the ledger said of a key that was about to be refused."""

from crocuskeel.core.door import looking
from crocuskeel.core.door import replaying
from crocuskeel.core import effects
from crocuskeel.core import problems

__all__ = ["answered", "timed_out"]

Reason = problems.Reason
Outcome = problems.Outcome


def answered(daemon, message):
    """Refuse as the ledger allows, or give the earlier one's answer."""
    look = daemon.door.looks.pop(message.rid)
    out = [effects.CancelTimer(("door", "look", look.rid))]
    reason = look.problem.reason
    own = message.holder_rid == look.rid
    if message.status == "absent" or own:
        return out + looking.final(look, reason, Outcome.NOT_RUN)
    if message.status == "duplicate":
        for rid in look.rids:
            out += replaying.from_holder(daemon, rid, message)
        return out
    if message.status == "mismatch":
        return out + looking.final(
            look, Reason.KEY_MISMATCH, Outcome.NOT_RUN)
    if message.status == "too_old":
        reason = Reason.KEY_TOO_OLD
    return out + looking.final(look, reason, Outcome.UNKNOWN)


def timed_out(daemon, rid):
    """No answer in time: what is not known is not said."""
    look = daemon.door.looks.pop(rid, None)
    if look is None:
        return []
    return looking.final(look, look.problem.reason, Outcome.UNKNOWN)
