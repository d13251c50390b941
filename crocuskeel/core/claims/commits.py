"""Group commits of one slot: what goes into a write, and its pace."""

from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core.claims import state as states
from crocuskeel.core import messages

__all__ = [
    "answer_for", "build", "observe_epoch", "pay", "ready_at",
]

_STATUS = {
    ledgers.Verdict.HELD: "granted",
    ledgers.Verdict.DUPLICATE: "duplicate",
    ledgers.Verdict.MISMATCH: "mismatch",
    ledgers.Verdict.TOO_OLD: "too_old",
    ledgers.Verdict.FULL: "unavailable",
}


def ready_at(slot, cfg):
    """Return when the next commit may go out, by the slot's pace."""
    return slot.free_at - (cfg.burst - 1) / cfg.writes_s


def pay(slot, cfg, now):
    """Count one commit against the slot's pace."""
    slot.free_at = max(now, slot.free_at) + 1.0 / cfg.writes_s


def observe_epoch(slot, now):
    """Note when this host first saw the ledger's present epoch.

    An epoch ends only after one host has watched it for its whole span
    by its own monotonic clock, and that began after the epoch was
    written: so no entry is dropped early, whatever clocks hosts have.
    """
    if slot.ledger.epoch != slot.seen_epoch:
        slot.seen_epoch = slot.ledger.epoch
        slot.seen_at = now


def answer_for(ask, verdict, ledger, cfg):
    """Return the answer to an ask that needs no write."""
    entry = ledger.entries.get(ask.key)
    if verdict is ledgers.Verdict.DUPLICATE:
        return messages.ClaimAnswer(
            ask.rid, ask.key, _STATUS[verdict], holder_host=entry.host,
            holder_rid=entry.rid, outcome=entry.outcome.value)
    full = verdict is ledgers.Verdict.FULL
    return messages.ClaimAnswer(
        ask.rid, ask.key, _STATUS[verdict],
        retry_after_s=cfg.epoch_s if full else 0.0)


def build(slot, cfg, now):
    """Build the next commit; return it and answers that need none.

    Answers are pairs of ask and message. Outcomes go first, so that a
    key which they free can be claimed in the same commit.
    """
    draft = states.Draft(
        ledger=ledgers.copy(slot.ledger), base=slot.ledger.version)
    if now - slot.seen_at >= cfg.epoch_s:
        ledgers.age(draft.ledger, cfg.kept_epochs)
        draft.changed = True
    for (key, rid), outcome in slot.settles.items():
        changed = ledgers.settle(draft.ledger, key, rid, outcome)
        draft.changed = draft.changed or changed
        draft.settled.append((key, rid, outcome))
    return draft, _add_claims(slot, draft, cfg)


def _add_claims(slot, draft, cfg):
    answers = []
    taken = set()
    for ask in slot.asks.values():
        # A key that this very commit claims is held by nobody until
        # the commit is confirmed: the ask waits for that.
        if ask.given_up or ask.key in taken:
            continue
        verdict = ledgers.judge(draft.ledger, ask, cfg.max_bytes)
        if verdict is ledgers.Verdict.FREE:
            ledgers.claim(draft.ledger, ask)
            taken.add(ask.key)
            draft.claimed.append(ask.rid)
            draft.changed = True
        elif not ask.doubtful:
            answers.append(
                (ask, answer_for(ask, verdict, draft.ledger, cfg)))
    return answers
