"""Servers that drain, according to the store or to their responses.

Responses matter when a server begins to drain while the store is unavailable,
or when its entry reaches hosts late. Each response reaches only one host, so
hosts report draining servers to each other. Draining is final for an
incarnation of a server: a host that sends it no requests could not learn of
a change, and a store that is restored from a copy lists it as ready again.
"""

from crocuskeel.core.entry import effects

__all__ = ["is_draining", "merge", "note_listed", "note_response",
           "remove_unlisted", "rows"]

# A draining server that is no longer listed is kept for this long, s: its
# entry may have expired and come back.
RETENTION_S = 60.0


def note_response(host, attempt, now):
    """Record that the response to an attempt says its server is draining."""
    return _mark_draining(host, attempt.sid, attempt.incarnation, now)


def merge(host, received, now):
    """Merge rows of another host: (server id, incarnation)."""
    out = []
    for sid, incarnation in received:
        out += _mark_draining(host, sid, incarnation, now)
    return out


def note_listed(host, servers, now):
    """Record the draining ones of servers, as the store may forget it.

    Only after a restore of the store, as each record costs time with each
    request.
    """
    for server in servers:
        if server.draining:
            host.leaving[server.incarnation] = server.sid, now


def _mark_draining(host, sid, incarnation, now):
    if incarnation in host.leaving:
        return []
    host.leaving[incarnation] = sid, now
    return [effects.LogEvent("server_leaving", {"server": sid})]


def is_draining(host, server):
    """Return whether a server is draining and must get no new requests.

    So must one that may have left before the store was restored.
    """
    if server.draining or server.sid in host.unconfirmed:
        return True
    return bool(host.leaving) and server.incarnation in host.leaving


def rows(host):
    """Return rows for other hosts, of servers that the store lists as ready.

    The store has told all hosts about the others.
    """
    return tuple((sid, incarnation)
                 for incarnation, (sid, _) in host.leaving.items()
                 if _is_listed_as_ready(host, sid, incarnation))


def _is_listed_as_ready(host, sid, incarnation):
    state = host.servers.get(sid)
    return (state is not None and not state.server.draining
            and state.server.incarnation == incarnation)


def remove_unlisted(host, now):
    """Remove servers that have not been listed for RETENTION_S."""
    for incarnation, (sid, at) in list(host.leaving.items()):
        if sid not in host.servers and at < now - RETENTION_S:
            del host.leaving[incarnation]
