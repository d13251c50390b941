"""Configuration in force and registered backend servers.

What is known stays in force while the store is away. Servers' entries
lapse when the store doesn't hear them for some seconds, so an outage may
remove servers that are well: they are used on for the two seconds in
which they register again, and are gone after that.
"""

import math

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import leaving
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import restarting
from crocuskeel.core.entry import state as states
from crocuskeel.core.entry import telling

__all__ = ["catalog_seen", "expire", "lapsing", "servers_changed",
           "servers_listed", "store_back", "store_left", "store_lost"]

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
    host.catalog_behind_at = None
    line = effects.Note("catalog", {
        "version": catalog.version, "revision": catalog.revision,
        "routes": sum(map(len, catalog.routes.values()))})
    return [line, *telling.tell_news(host, now)]


def servers_listed(host, event, now):
    """Take the whole list; entries that are missing left or lapsed."""
    host.servers_known = True
    listed = {server.sid for server in event.servers}
    listed.update(event.unreadable)
    missing = tuple(sid for sid in host.servers if sid not in listed)
    kept = _kept(host, event, missing, now)
    return _apply(host, event, event.servers, missing, kept, now)


def servers_changed(host, event, now):
    """Take changes of the list."""
    kept = _kept(host, event, event.removed, now)
    return _apply(host, event, event.changed, event.removed, kept, now)


def _kept(host, event, removed, now):
    """Return until when removed servers are kept, by their ids."""
    if event.lapsing is None:
        return _lapses(host, removed, now)
    # That host read the store, this one did not: what it saw leave has
    # left, also if this host was cut off meanwhile.
    return {sid: now + left_s for sid, left_s in event.lapsing}


def _apply(host, event, changed, removed, kept, now):
    """Take changes; ``kept`` maps lapsed servers to when they go."""
    host.servers_revision = max(host.servers_revision, event.revision)
    host.servers_behind_at = None
    out = []
    anew = restarting.started_again(host, changed)
    addresses = {}
    if any(server.sid not in host.servers for server in changed):
        addresses = _by_address(host)
    for server in changed:
        out += _put(host, server, addresses, now)
    for sid in removed:
        out += _remove(host, sid, kept, event.revision, now)
    for sid in event.unreadable:
        # Its entry names no server. That says nothing of a crash.
        if sid in host.servers:
            _drop(host, sid)
            out.append(effects.Note("server_unreadable", {"server": sid}))
    _index(host)
    out += restarting.end_former_runs(host, anew, now)
    return out + telling.tell_news(host, now)


def _remove(host, sid, kept, revision, now):
    if sid not in host.servers:
        return []
    if not leaving.is_leaving(host, host.servers[sid].server):
        quarantine.note_gone(host, sid, now)
    if sid not in kept:
        _drop(host, sid)
    elif host.servers[sid].lapses_at is None:
        host.servers[sid].lapses_at = kept[sid]
        host.lapsing[sid] = None
    return [effects.Note("server_removed", {
        "server": sid, "revision": revision, "lapse": sid in kept})]


def _put(host, server, addresses, now):
    host.lapsing.pop(server.sid, None)
    known = host.servers.get(server.sid)
    if known is None:
        _end_former(host, server, addresses)
        state = states.new_server(server, now)
        host.servers[server.sid] = state
        addresses.setdefault(server.address, []).append(state)
        return [effects.Note("server_added", {
            "server": server.sid, "service": server.service,
            "draining": server.draining})]
    was = known.server
    if restarting.is_restart(was, server):
        return restarting.begin_anew(host, server, now)
    known.server = server
    known.lapses_at = None
    if was != server:
        known.misdirects = False
    if was.draining == server.draining:
        return []
    return [effects.Note("server_state", {
        "server": server.sid, "draining": server.draining})]


def _end_former(host, server, addresses):
    """Note that a new server has an address that was another's.

    Not by the word of an entry whose service is not configured: that is
    no server of this system, and may name any address.
    """
    if host.catalog and server.service not in host.catalog.services:
        return
    for state in addresses.get(server.address, ()):
        state.misdirects = True


def _by_address(host):
    """Return the servers by their addresses.

    3,000 servers that register one after the other were each compared
    with all others: 0.95 s of a processor, with this 0.01 s.
    """
    found = {}
    for state in host.servers.values():
        found.setdefault(state.server.address, []).append(state)
    return found


def _lapses(host, removed, now):
    """Return until when removed servers are kept that may have lapsed."""
    if host.store_lost_at is not None:
        ends = math.inf
    elif _was_away(host, now):
        ends = host.store_back_at + BACK_S
    else:
        ends = now + BACK_S
    return dict.fromkeys(_lapsed(host, removed, now), ends)


def _lapsed(host, removed, now):
    gone = [host.servers[sid] for sid in removed if sid in host.servers
            and not leaving.is_leaving(host, host.servers[sid].server)]
    if host.store_lost_at is not None or _was_away(host, now):
        return {state.server.sid for state in gone}
    lapsed = set()
    for service in {state.server.service for state in gone}:
        here = [state.server.sid for state in gone
                if state.server.service == service]
        whole = len(host.by_service.get(service, ()))
        if len(here) > 1 and len(here) >= whole * LAPSE_SHARE:
            lapsed.update(here)
    return lapsed


def _was_away(host, now):
    back = host.store_back_at
    return back is not None and now < back + BACK_S


def lapsing(host, now):
    """Return (server id, seconds) of entries that lapsed and are kept."""
    return tuple(
        (state.server.sid, max(0.0, min(BACK_S, state.lapses_at - now)))
        for state in _lapsing(host))


def _lapsing(host):
    return [host.servers[sid] for sid in host.lapsing]


def _drop(host, sid):
    host.servers.pop(sid, None)
    host.working.pop(sid, None)
    host.lapsing.pop(sid, None)


def _index(host):
    host.by_service = {}
    host.rings = {}
    for state in host.servers.values():
        host.by_service.setdefault(
            state.server.service, []).append(state)


def expire(host, now):
    """Drop servers that did not register again in time."""
    late = [state.server.sid for state in _lapsing(host)
            if state.lapses_at <= now]
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
    for state in _lapsing(host):
        # What has not registered again can't do so now.
        state.lapses_at = math.inf
    return [effects.Note("store_lost", {"why": event.reason})]


def store_back(host, event, now):
    """Note that the store answers again."""
    if host.store_lost_at is None:
        return []
    away = now - host.store_lost_at
    host.store_back_at = now
    _wait_no_more(host, now)
    return [effects.Note("store_back", {"away_s": round(away, 2)})]


def store_left(host, event, now):
    """Go by what other hosts say: they read the store, this one not.

    A host that waited on for a store that it no longer asks would keep
    servers that have left for good.
    """
    if host.store_lost_at is None:
        return []
    _wait_no_more(host, now)
    return [effects.Note("store_left", {})]


def _wait_no_more(host, now):
    host.store_lost_at = None
    for state in _lapsing(host):
        state.lapses_at = min(state.lapses_at, now + BACK_S)
