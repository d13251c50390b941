"""Entries of servers that are back because the store was restored.

The copy is older than the store was. So it may list servers that this host has
seen leave, and former processes of servers that have restarted. A server that
left isn't used unless its entry proves to be renewed: it changes, or outlives
the time after which the store removes entries without heartbeats.
"""

from crocuskeel.core.entry import draining
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core import revisions

__all__ = ["current_entries", "forget_removed", "is_restore",
           "note_changed", "note_removed", "returns_removed"]

# The store removes an entry after three heartbeat intervals without one. One
# more covers the time until hosts learn of it.
EXPIRY_HEARTBEATS = 4
# Removed servers are remembered for this long, s: longer than a copy is old.
RETENTION_S = 60.0


def is_restore(host, revision):
    """Return whether a list at a revision is the first of a newer era."""
    return host.servers_loaded and revisions.era(revision) > revisions.era(
        host.servers_revision)


def current_entries(host, servers):
    """Return the entries of a restored list without former processes."""
    return tuple(server for server in servers
                 if not _is_former_process(host, server))


def _is_former_process(host, server):
    known = host.servers.get(server.sid)
    return known is not None and model.started_before(server, known.server)


def note_removed(host, server, revision, now):
    """Record that a server's entry was removed and it is used no more."""
    host.removed[server.sid] = server, revision, now
    host.unconfirmed.pop(server.sid, None)


def returns_removed(host, sid, event, now):
    """Return whether an entry may be back only by a restore, and note that."""
    former, revision, _ = host.removed.pop(sid, (None, 0, 0.0))
    if former is None or revisions.era(event.revision) <= revisions.era(
            revision):
        return False
    draining.note_listed(host, (former,), now)
    host.unconfirmed[sid] = now + EXPIRY_HEARTBEATS * host.cfg.heartbeat_s
    return True


def note_changed(host, sid, event):
    """Use a server again whose entry this host read as changed.

    A list, or another host's changes, may contain it as it was in the copy.
    """
    if isinstance(event, events.ServersChanged) and event.lapsing is None:
        host.unconfirmed.pop(sid, None)


def forget_removed(host, now):
    """Forget removed servers, and use those that outlived an expiry."""
    for sid, (_, _, at) in list(host.removed.items()):
        if at < now - RETENTION_S:
            del host.removed[sid]
    for sid, until in list(host.unconfirmed.items()):
        if until <= now:
            del host.unconfirmed[sid]
