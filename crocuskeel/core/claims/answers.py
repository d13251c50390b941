"""Answers of one slot that need no write."""

import dataclasses

from crocuskeel.core.claims import commits
from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core import messages

__all__ = ["known", "looked", "unavailable"]

ABSENT = "absent"
UNAVAILABLE = "unavailable"
_DUPLICATE = "duplicate"
_MIN_RETRY_S = 0.1
_FREE = (ledgers.Verdict.FREE, ledgers.Verdict.FULL, ledgers.Verdict.HELD)


def unavailable(state, slot, ask, now):
    """Return the answer to an ask that can't be judged now."""
    spread_s = state.rng.uniform(0.0, max(_MIN_RETRY_S, slot.backoff_s))
    wait_s = max(_MIN_RETRY_S, slot.down_until - now) + spread_s
    return messages.ClaimAnswer(
        ask.rid, ask.key, UNAVAILABLE, retry_after_s=round(wait_s, 3))


def known(state, slot, ask):
    """Answer from the confirmed ledger where no commit can help.

    An outcome that waits to be written is known, too: while the store
    is out, the resend of what just ran is told so.
    """
    if slot.ledger is None or ask.key not in slot.ledger.entries:
        return None
    outcome = _waiting_outcome(slot, ask)
    if outcome is ledgers.Outcome.NOT_RUN:
        return None
    verdict = ledgers.judge(slot.ledger, ask, state.cfg.max_bytes)
    answer = commits.answer_for(ask, verdict, slot.ledger, state.cfg)
    if outcome is None or answer.status != _DUPLICATE:
        return answer
    return dataclasses.replace(answer, outcome=outcome.value)


def _waiting_outcome(slot, ask):
    entry = slot.ledger.entries[ask.key]
    return slot.settles.get((ask.key, entry.rid))


def looked(state, slot, look, now):
    """Answer a look from the ledger as a read for it has shown it."""
    found = known(state, slot, look)
    if found is not None and found.status != "granted":
        return found
    others = any(ask.key == look.key and ask.rid != look.rid
                 for ask in slot.asks.values())
    if others:
        # Another sending is about to be claimed, or its write is in
        # doubt: "absent" would be overtaken by its run.
        return unavailable(state, slot, look, now)
    if found is None and look.key not in slot.ledger.entries:
        verdict = ledgers.judge(slot.ledger, look, state.cfg.max_bytes)
        if verdict not in _FREE:
            return commits.answer_for(
                look, verdict, slot.ledger, state.cfg)
    return messages.ClaimAnswer(look.rid, look.key, ABSENT)
