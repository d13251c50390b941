"""Looks: a door asks what the ledger holds, without claiming.

A cached ledger doesn't tell that a key is absent, because another owner
may have written since. So a look is answered by a read that began after
it came; all looks that wait share one read.
"""

from crocuskeel.core.claims import answers
from crocuskeel.core.claims import state as states
from crocuskeel.core import effects

__all__ = ["due", "fail", "read_begins", "read_done", "take"]

LOOK_EVERY_S = 0.2


def take(state, slot, event, now):
    """Answer a look that needs no read, else keep it for the next."""
    msg = event.message
    look = states.Ask(
        rid=msg.rid, key=msg.key, digest=msg.digest, host=event.sender,
        incarnation=event.incarnation, issued_at=msg.issued_at,
        deadline=now)
    found = answers.known(state, slot, look)
    if found is not None and found.status != "granted":
        return [effects.Send(look.host, found)]
    full = len(slot.looks) >= state.cfg.max_waiting
    if full or now < slot.down_until:
        return _unavailable(state, slot, look, now)
    slot.looks[look.rid] = look
    return []


def _unavailable(state, slot, look, now):
    answer = answers.unavailable(state, slot, look, now)
    return [effects.Send(look.host, answer)]


def due(slot):
    """Return when the next read for looks may go out."""
    return max(slot.down_until, slot.look_at)


def read_begins(slot, now):
    """Note the looks that the read which begins now will answer."""
    slot.look_at = now + LOOK_EVERY_S
    slot.looked = set(slot.looks)


def read_done(state, slot, now):
    """Answer the looks that came before the read began."""
    out = []
    for rid in sorted(slot.looked & slot.looks.keys()):
        look = slot.looks.pop(rid)
        answer = answers.looked(state, slot, look, now)
        out.append(effects.Send(look.host, answer))
    slot.looked = set()
    return out


def fail(state, slot, now):
    """The store is out: nothing can be said of the keys looked for."""
    out = []
    for look in slot.looks.values():
        out += _unavailable(state, slot, look, now)
    slot.looks.clear()
    slot.looked = set()
    return out
