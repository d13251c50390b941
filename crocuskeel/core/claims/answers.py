"""Answers of a slot that need no write."""

import dataclasses

from crocuskeel.core.claims import commits
from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core import messages

__all__ = ["answer_from_ledger", "answer_lookup", "unavailable"]

ABSENT = "absent"
UNAVAILABLE = "unavailable"
_DUPLICATE = "duplicate"
_MIN_RETRY_S = 0.1
_ABSENT_VERDICTS = (
    ledgers.Verdict.FREE, ledgers.Verdict.FULL, ledgers.Verdict.HELD)


def unavailable(state, slot, request, now):
    """Return the answer to a request that can't be decided now."""
    jitter_s = state.rng.uniform(0.0, max(_MIN_RETRY_S, slot.backoff_s))
    wait_s = max(_MIN_RETRY_S, slot.backoff_until - now) + jitter_s
    return messages.ClaimAnswer(
        request.rid, request.key, UNAVAILABLE, retry_after_s=round(wait_s, 3))


def answer_from_ledger(state, slot, request):
    """Answer from the confirmed ledger if no commit can change that.

    Outcomes that are not written yet count as well: during a store
    outage, the resend of a request that just ran is told that it ran.
    """
    if slot.ledger is None or request.key not in slot.ledger.entries:
        return None
    outcome = _pending_outcome(slot, request)
    if outcome is ledgers.Outcome.NOT_RUN:
        return None
    verdict = ledgers.check(slot.ledger, request, state.cfg.max_bytes)
    answer = commits.answer_for(request, verdict, slot.ledger, state.cfg)
    if outcome is None or answer.status != _DUPLICATE:
        return answer
    return dataclasses.replace(answer, outcome=outcome.value)


def _pending_outcome(slot, request):
    entry = slot.ledger.entries[request.key]
    return slot.outcomes.get((request.key, entry.rid))


def answer_lookup(state, slot, lookup, now):
    """Answer a lookup from the ledger read on its behalf."""
    found = answer_from_ledger(state, slot, lookup)
    if found is not None and found.status != "granted":
        return found
    competing = any(request.key == lookup.key and request.rid != lookup.rid
                    for request in slot.requests.values())
    if competing:
        # A claim of the key is pending, or its write is in doubt.
        # "absent" would be wrong once that request runs.
        return unavailable(state, slot, lookup, now)
    if found is None and lookup.key not in slot.ledger.entries:
        verdict = ledgers.check(slot.ledger, lookup, state.cfg.max_bytes)
        if verdict not in _ABSENT_VERDICTS:
            return commits.answer_for(
                lookup, verdict, slot.ledger, state.cfg)
    return messages.ClaimAnswer(lookup.rid, lookup.key, ABSENT)
