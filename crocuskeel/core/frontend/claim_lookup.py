"""Ledger lookups before a keyed request is refused as ``not_run``.

A caller may resend a request with the same key to any host. Before a
host answers ``not_run`` for a key that it never claimed, it asks the
ledger whether another host did. Otherwise the caller might enter by hand
what an earlier sending already booked.
"""

from crocuskeel.core import effects
from crocuskeel.core import follower
from crocuskeel.core.frontend import claim_keys
from crocuskeel.core.frontend import reporting
from crocuskeel.core.frontend import state
from crocuskeel.core import messages
from crocuskeel.core import problems

__all__ = ["caller_gone", "needs_lookup", "refuse", "start", "verify_not_run"]

LOOKUP_TIMEOUT_S = 0.5
MIN_RETRY_AFTER_S = 1.0
_NOT_RUN = problems.Outcome.NOT_RUN
# Refusals that need no lookup: KEY_MISMATCH applies only to this content,
# which the key does not belong to; KEY_REQUIRED has no key to look up.
_NO_LOOKUP_REASONS = (problems.Reason.KEY_MISMATCH,
                      problems.Reason.KEY_REQUIRED)


def needs_lookup(problem):
    """Return whether the refusal needs a ledger lookup first."""
    return (problem.outcome is _NOT_RUN
            and problem.reason not in _NO_LOOKUP_REASONS)


def verify_not_run(daemon, arrival, out):
    """Return an arrival's effects, with a lookup before ``not_run``.

    For an unknown caller or class there is no key to look up, so the
    outcome is unknown too.
    """
    answers = [effect for effect in out if type(effect) is effects.Answer
               and effect.rid == arrival.rid]
    if not answers or not needs_lookup(answers[0].problem):
        return out
    caller = follower.caller(daemon, arrival.token)
    name = arrival.class_name or arrival.model
    policy = caller and follower.policy(daemon, caller.workspace, name)
    if policy and policy.repeatable and not arrival.non_repeatable:
        return out
    found = answers[0]
    lookup = state.ClaimLookup(arrival.rid, [arrival.rid], "", "",
                               found.problem, found.location)
    if arrival.first_sending:
        return out
    if not policy:
        return _refuse_unknown(lookup)
    lookup.class_name = policy.name
    lookup.key = claim_keys.key_of(
        (caller.workspace, caller.caller, arrival.idempotency_key))
    return start(daemon, lookup, arrival)


def start(daemon, lookup, arrival):
    """Look up the key at the slot's owner.

    The refusal is sent within ``LOOKUP_TIMEOUT_S`` (0.5 s).
    """
    if arrival.first_sending:
        # The caller states that it sent nothing with this key before,
        # and this sending did not run.
        return refuse(lookup, lookup.problem.reason, _NOT_RUN)
    frontend = daemon.frontend
    owner = claim_keys.owner_of(daemon, lookup.key)
    if not owner or len(frontend.lookups) >= daemon.limits.max_requests:
        return _refuse_unknown(lookup)
    frontend.lookups[lookup.rid] = lookup
    # An owner with an older version doesn't support lookups. The time
    # left is zero so that it drops the message as expired instead of
    # recording a claim.
    message = messages.ClaimAsk(
        lookup.rid, claim_keys.slot_of(daemon, lookup.key), lookup.key,
        arrival.digest, 0.0, arrival.issued_at, look=True)
    return [effects.SetTimer(("door", "lookup", lookup.rid), LOOKUP_TIMEOUT_S),
            effects.Send(owner, message)]


def _refuse_unknown(lookup):
    return refuse(lookup, lookup.problem.reason, problems.Outcome.UNKNOWN)


def refuse(lookup, reason, outcome):
    """Refuse the callers with the given reason and outcome.

    With an unknown outcome the caller may resend the same key, which
    repeats the lookup.
    """
    wait = lookup.problem.retry_after_s
    if outcome is problems.Outcome.UNKNOWN and lookup.key:
        wait = max(wait, MIN_RETRY_AFTER_S)
    found = problems.new_problem(reason, outcome, lookup.problem.detail, wait)
    out = [effects.Answer(rid, found, lookup.location) for rid in lookup.rids]
    fields = (("reason", str(reason)), ("outcome", str(outcome)),
              ("class", lookup.class_name))
    out.append(effects.Record("answered", lookup.rid, fields))
    return out + reporting.refused(lookup.class_name, reason)


def caller_gone(daemon, rid):
    """Remove a caller that disconnected during its lookup."""
    for lookup in list(daemon.frontend.lookups.values()):
        if rid in lookup.rids:
            lookup.rids.remove(rid)
        if not lookup.rids:
            del daemon.frontend.lookups[lookup.rid]
    return []
