"""Group commits of a slot: the contents of a write and its rate."""

from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core.claims import state as states
from crocuskeel.core import messages

__all__ = [
    "answer_for", "build_commit", "next_commit_at", "observe_epoch",
    "record_commit",
]

_STATUS = {
    ledgers.Verdict.HELD: "granted",
    ledgers.Verdict.DUPLICATE: "duplicate",
    ledgers.Verdict.MISMATCH: "mismatch",
    ledgers.Verdict.TOO_OLD: "too_old",
    ledgers.Verdict.FULL: "unavailable",
}


def next_commit_at(slot, cfg):
    """Return when the rate limit of the slot allows the next commit."""
    return slot.rate_full_at - (cfg.burst - 1) / cfg.commits_per_s


def record_commit(slot, cfg, now):
    """Count one commit against the rate limit of the slot."""
    slot.rate_full_at = max(now, slot.rate_full_at) + 1.0 / cfg.commits_per_s


def observe_epoch(slot, now):
    """Record when this host first saw the current epoch of the ledger.

    An epoch ends only after one host has observed it for its whole
    duration by its own monotonic clock, starting after the epoch was
    written. So no entry is dropped early, whatever the clocks of hosts.
    """
    if slot.ledger.epoch != slot.seen_epoch:
        slot.seen_epoch = slot.ledger.epoch
        slot.epoch_seen_at = now


def answer_for(request, verdict, ledger, cfg):
    """Return the answer to a request that needs no write."""
    entry = ledger.entries.get(request.key)
    if verdict is ledgers.Verdict.DUPLICATE:
        return messages.ClaimAnswer(
            request.rid, request.key, _STATUS[verdict], holder_host=entry.host,
            holder_rid=entry.rid, outcome=entry.outcome.value)
    full = verdict is ledgers.Verdict.FULL
    return messages.ClaimAnswer(
        request.rid, request.key, _STATUS[verdict],
        retry_after_s=cfg.epoch_s if full else 0.0)


def build_commit(slot, cfg, now):
    """Build the next commit; return it and the answers that need none.

    Answers are pairs of request and message. Outcomes are applied first,
    so that a key that they free can be claimed in the same commit.
    """
    commit = states.Commit(
        ledger=ledgers.copy(slot.ledger), base_version=slot.ledger.version)
    if now - slot.epoch_seen_at >= cfg.epoch_s:
        ledgers.advance_epoch(commit.ledger, cfg.kept_epochs)
        commit.changed = True
    for (key, rid), outcome in slot.outcomes.items():
        changed = ledgers.settle(commit.ledger, key, rid, outcome)
        commit.changed = commit.changed or changed
        commit.settled.append((key, rid, outcome))
    return commit, _add_claims(slot, commit, cfg)


def _add_claims(slot, commit, cfg):
    answers = []
    taken = set()
    for request in slot.requests.values():
        # A key that this commit claims has no holder until the commit
        # is confirmed, so further requests for it wait.
        if request.abandoned or request.key in taken:
            continue
        verdict = ledgers.check(commit.ledger, request, cfg.max_bytes)
        if verdict is ledgers.Verdict.FREE:
            ledgers.add_claim(commit.ledger, request)
            taken.add(request.key)
            commit.claimed.append(request.rid)
            commit.changed = True
        elif not request.in_doubt:
            answers.append(
                (request, answer_for(request, verdict, commit.ledger, cfg)))
    return answers
