"""Which of several servers with one address is there now.

An address is used again after its server has ended, while the entry of one
that crashed stays listed for some seconds. Requests for the former server must
not be sent there, and the later one gets its own. Which one is later is told
by the store, which numbers its entries as they are created. A host can't tell
by the order in which it learns of them: one that starts reads both at once.
"""

from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import model
from crocuskeel.core import revisions

__all__ = ["mark", "note_created", "registrations"]


def registrations(host, changed, revision):
    """Return the ids of servers that changes register, maybe once more.

    ``revision`` is that of the changes, which aren't applied yet.
    """
    return {server.sid for server in changed
            if _is_registration(host.servers.get(server.sid), server,
                                revision)}


def _is_registration(known, server, revision):
    if known is None or known.server.address != server.address:
        return True
    created = _created(server, revision)
    return (created is not None and created != known.created
            or server.started_ms != known.server.started_ms)


def note_created(state, server, revision):
    """Record when a server's entry was created, if it says so.

    A server whose entry was created again is there. That of a copy of the
    store has the number that it had.
    """
    created = _created(server, revision)
    if created is None:
        return
    former, state.created = state.created, created
    if former is not None and (
            revisions.number(former) != revisions.number(created)):
        state.address_reused = False


def _created(server, revision):
    """Return the revision of an entry's creation, or None.

    Only entries that were read in the same era of the store compare: the
    numbers of a restored one are given out again.
    """
    if server.created is None or (
            revisions.number(server.created) != server.created):
        return None
    return revisions.combine(revisions.era(revision), server.created)


def mark(host, registered, arrived, now):
    """Mark servers whose address belongs to a later one; return effects.

    ``registered`` are the ids of known servers whose addresses are looked at,
    and ``arrived`` of those among them that this host didn't know and that are
    no later than that by a restore of the store.
    """
    if not registered or host.catalog is None:
        return []
    out = []
    for states in _groups(host, registered):
        for former in states:
            if former.address_reused:
                continue
            later = next((state for state in states if _is_later(
                host, state, former, arrived)), None)
            if later is not None:
                out += _mark(host, former, later, now)
    return out


def _groups(host, sids):
    """Return the lists of servers that share the address of one of these."""
    addresses = {host.servers[sid].server.address for sid in sids}
    by_address = {}
    for state in host.servers.values():
        if state.server.address in addresses:
            by_address.setdefault(state.server.address, []).append(state)
    return [states for states in by_address.values() if len(states) > 1]


def _mark(host, former, later, now):
    former.address_reused = True
    return [effects.LogEvent("server_replaced", {
        "server": former.server.sid, "by": later.server.sid,
        "service": later.server.service}),
        *crashes.note_down(host, former.server.sid,
                           crash_records.Sign.REPLACED, now)]


def _is_later(host, state, former, arrived):
    """Return whether a server has taken over the address of another one.

    Entries of services that are not configured are ignored: they are no
    servers of this system and may name any address. If the store doesn't tell
    the order, a server that is new to this host came after one that isn't;
    of two that came together none is taken for gone. A server at a former
    address says so in its answer.
    """
    if state.server.service not in host.catalog.services:
        return False
    if _are_comparable(state, former):
        # A server that starts again under its id keeps its older entry.
        return (state.created > former.created and not
                model.started_before(state.server, former.server))
    sid = former.server.sid
    return state.server.sid in arrived and sid not in arrived


def _are_comparable(state, other):
    return (None not in (state.created, other.created)
            and revisions.era(state.created) == revisions.era(other.created))
