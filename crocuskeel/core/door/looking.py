"""Refusals of requests whose key may have run under another sending.

A caller resends under one key to any host. Before a host says
``not_run`` of a key that it never claimed itself, it asks the ledger
whether another host did: the caller would else enter by hand what was
booked already.
"""

from crocuskeel.core.door import claim_keys
from crocuskeel.core.door import reporting
from crocuskeel.core.door import state
from crocuskeel.core import effects
from crocuskeel.core import follower
from crocuskeel.core import messages
from crocuskeel.core import problems

__all__ = ["caller_gone", "final", "start", "unless_ran", "unproved"]

LOOK_WAIT_S = 0.5
MIN_RETRY_S = 1.0
_NOT_RUN = problems.Outcome.NOT_RUN
# Said of this content only, which the key does not name, or without any
# key to look for.
_PROVED = (problems.Reason.KEY_MISMATCH, problems.Reason.KEY_REQUIRED)


def unproved(problem):
    """Tell whether the ledger must be asked before this is said."""
    return problem.outcome is _NOT_RUN and problem.reason not in _PROVED


def unless_ran(daemon, arrival, out):
    """Return the effects of an arrival, a bare ``not_run`` proved first.

    A caller or class that is not known leaves no key to look for: then
    the outcome is not known either.
    """
    answers = [one for one in out if type(one) is effects.Answer
               and one.rid == arrival.rid]
    if not answers or not unproved(answers[0].problem):
        return out
    caller = follower.caller(daemon, arrival.token)
    name = arrival.class_name or arrival.model
    policy = caller and follower.policy(daemon, caller.workspace, name)
    if policy and policy.repeatable and not arrival.non_repeatable:
        return out
    found = answers[0]
    look = state.Look(arrival.rid, [arrival.rid], "", "", found.problem,
                      found.location)
    if arrival.first_sending:
        return out
    if not policy:
        return _unknown(look)
    look.class_name = policy.name
    look.key = claim_keys.key_of(
        (caller.workspace, caller.caller, arrival.idempotency_key))
    return start(daemon, look, arrival)


def start(daemon, look, arrival):
    """Ask the ledger's owner; the refusal is given within 0.5 s."""
    if arrival.first_sending:
        # Nothing under this key was sent before, its caller says, and
        # this sending did not run.
        return final(look, look.problem.reason, _NOT_RUN)
    door = daemon.door
    owner = claim_keys.owner_of(daemon, look.key)
    if not owner or len(door.looks) >= daemon.limits.max_requests:
        return _unknown(look)
    door.looks[look.rid] = look
    # An owner of an older version doesn't know looks. It drops an ask
    # without time as expired, so that none of them claims anything.
    ask = messages.ClaimAsk(
        look.rid, claim_keys.slot_of(daemon, look.key), look.key,
        arrival.digest, 0.0, arrival.issued_at, look=True)
    return [effects.SetTimer(("door", "look", look.rid), LOOK_WAIT_S),
            effects.Send(owner, ask)]


def _unknown(look):
    return final(look, look.problem.reason, problems.Outcome.UNKNOWN)


def final(look, reason, outcome):
    """Give the callers their refusal with what is known by now.

    Unknown: the same key may be sent again, and asks the ledger again.
    """
    wait = look.problem.retry_after_s
    if outcome is problems.Outcome.UNKNOWN and look.key:
        wait = max(wait, MIN_RETRY_S)
    found = problems.problem(reason, outcome, look.problem.detail, wait)
    out = [effects.Answer(rid, found, look.location) for rid in look.rids]
    fields = (("reason", str(reason)), ("outcome", str(outcome)),
              ("class", look.class_name))
    out.append(effects.Record("answered", look.rid, fields))
    return out + reporting.refused(look.class_name, reason)


def caller_gone(daemon, rid):
    """Forget a caller that left while its refusal was looked into."""
    for look in list(daemon.door.looks.values()):
        if rid in look.rids:
            look.rids.remove(rid)
        if not look.rids:
            del daemon.door.looks[look.rid]
    return []
