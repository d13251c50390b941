"""Configuration in force and registered backend servers.

What is known stays in force while the store is away. Servers' entries
lapse when the store doesn't hear them for some seconds, so an outage may
remove servers that are well: they are used on for the two seconds in
which they register again, and are gone after that.
"""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import peers
from crocuskeel.core.entry import state as states

__all__ = ["catalog_seen", "expire", "servers_changed", "servers_listed",
           "store_back", "store_lost"]

# Lapsed servers register again within some 2 s of the store's return. One
# that left instead must get nothing 2 s after its entry went, so what is
# sent last must have reached it by then: s.
BACK_S = 1.6
# At least this share of a service removed at once is a lapse of entries
# and not servers that leave, if none of them said that it drains.
LAPSE_SHARE = 0.5


def catalog_seen(host, event, now):
    """Put a configuration in force, unless a newer one is."""
    catalog = event.catalog
    if host.catalog and catalog.revision <= host.catalog.revision:
        return []
    host.catalog = catalog
    host.behind_at = None
    line = effects.Note("catalog", {
        "version": catalog.version, "revision": catalog.revision,
        "routes": sum(map(len, catalog.routes.values()))})
    return [line, *peers.tell_news(host, now)]


def servers_listed(host, event, now):
    """Take the whole list; entries that are missing left or lapsed."""
    host.servers_known = True
    listed = {server.sid for server in event.servers}
    missing = tuple(sid for sid in host.servers if sid not in listed)
    return _apply(host, event.servers, missing, event.revision, now)


def servers_changed(host, event, now):
    """Take changes of the list."""
    return _apply(host, event.changed, event.removed, event.revision, now)


def _apply(host, changed, removed, revision, now):
    host.servers_revision = max(host.servers_revision, revision)
    host.behind_at = None
    out = []
    for server in changed:
        out += _put(host, server, now)
    lapsing = _lapsing(host, removed, now)
    for sid in removed:
        if sid not in host.servers:
            continue
        if sid in lapsing:
            _lapse(host, sid, now)
        else:
            _drop(host, sid)
        out.append(effects.Note("server_removed", {
            "server": sid, "revision": revision,
            "lapse": sid in lapsing}))
    _index(host)
    return out + peers.tell_news(host, now)


def _put(host, server, now):
    known = host.servers.get(server.sid)
    if known is None:
        host.servers[server.sid] = states.new_server(server, now)
        return [effects.Note("server_added", {
            "server": server.sid, "service": server.service,
            "draining": server.draining})]
    was = known.server
    known.server = server
    known.lapses_at = None
    if was.draining == server.draining:
        return []
    return [effects.Note("server_state", {
        "server": server.sid, "draining": server.draining})]


def _lapsing(host, removed, now):
    """Return the removed servers that may only have lapsed."""
    gone = [host.servers[sid] for sid in removed if sid in host.servers
            and not host.servers[sid].server.draining]
    if _store_was_away(host, now):
        return {state.server.sid for state in gone}
    lapsed = set()
    for service in {state.server.service for state in gone}:
        here = [state.server.sid for state in gone
                if state.server.service == service]
        whole = len(host.by_service.get(service, ()))
        if len(here) > 1 and len(here) >= whole * LAPSE_SHARE:
            lapsed.update(here)
    return lapsed


def _store_was_away(host, now):
    if host.store_lost_at is not None:
        return True
    back = host.store_back_at
    return back is not None and now < back + BACK_S


def _lapse(host, sid, now):
    back = host.store_back_at
    if back is None or now >= back + BACK_S:
        back = now
    state = host.servers[sid]
    if state.lapses_at is None:
        state.lapses_at = back + BACK_S


def _drop(host, sid):
    host.servers.pop(sid, None)


def _index(host):
    host.by_service = {}
    for state in host.servers.values():
        host.by_service.setdefault(
            state.server.service, []).append(state)


def expire(host, now):
    """Drop servers that did not register again in time."""
    if host.store_lost_at is not None:
        return []
    late = [sid for sid, state in host.servers.items()
            if state.lapses_at is not None and state.lapses_at <= now]
    for sid in late:
        _drop(host, sid)
    if late:
        _index(host)
    return [effects.Note("server_gone", {"server": sid}) for sid in late]


def store_lost(host, event, now):
    """Note that the store does not answer."""
    if host.store_lost_at is not None:
        return []
    host.store_lost_at = now
    return [effects.Note("store_lost", {"why": event.reason})]


def store_back(host, event, now):
    """Note that the store answers again."""
    if host.store_lost_at is None:
        return []
    away = now - host.store_lost_at
    host.store_lost_at = None
    host.store_back_at = now
    for state in host.servers.values():
        if state.lapses_at is not None:
            state.lapses_at = now + BACK_S
    return [effects.Note("store_back", {"away_s": round(away, 2)})]
