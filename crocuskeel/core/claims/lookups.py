"""Lookups: an entry host asks about a key without claiming it.

A cached ledger does not show that a key is absent, because another owner
may have written since. So a lookup is answered from a read that started
after the lookup arrived. All waiting lookups share one read.
"""

from crocuskeel.core.claims import answers
from crocuskeel.core.claims import state as states
from crocuskeel.core import effects

__all__ = [
    "next_read_at", "read_done", "read_started", "receive", "store_failed",
]

MIN_LOOKUP_READ_INTERVAL_S = 0.2


def receive(state, slot, event, now):
    """Answer a lookup without a read, or queue it for the next read."""
    msg = event.message
    lookup = states.ClaimRequest(
        rid=msg.rid, key=msg.key, digest=msg.digest, host=event.sender,
        incarnation=event.incarnation, issued_at=msg.issued_at,
        deadline=now)
    found = answers.answer_from_ledger(state, slot, lookup)
    if found is not None and found.status != "granted":
        return [effects.Send(lookup.host, found)]
    full = len(slot.lookups) >= state.cfg.max_pending
    if full or now < slot.backoff_until:
        return _unavailable(state, slot, lookup, now)
    slot.lookups[lookup.rid] = lookup
    return []


def _unavailable(state, slot, lookup, now):
    answer = answers.unavailable(state, slot, lookup, now)
    return [effects.Send(lookup.host, answer)]


def next_read_at(slot):
    """Return when the next read for lookups may start."""
    return max(slot.backoff_until, slot.next_lookup_read)


def read_started(slot, now):
    """Record the lookups that the read starting now will answer."""
    slot.next_lookup_read = now + MIN_LOOKUP_READ_INTERVAL_S
    slot.lookups_in_read = set(slot.lookups)


def read_done(state, slot, now):
    """Answer the lookups that arrived before the read started."""
    out = []
    for rid in sorted(slot.lookups_in_read & slot.lookups.keys()):
        lookup = slot.lookups.pop(rid)
        answer = answers.answer_lookup(state, slot, lookup, now)
        out.append(effects.Send(lookup.host, answer))
    slot.lookups_in_read = set()
    return out


def store_failed(state, slot, now):
    """Refuse all lookups: the store is unavailable."""
    out = []
    for lookup in slot.lookups.values():
        out += _unavailable(state, slot, lookup, now)
    slot.lookups.clear()
    slot.lookups_in_read = set()
    return out
