"""Configuration in force and registered backend servers.

The last known data stays in force while the store is unavailable. Server
entries expire when the store gets no heartbeat for some seconds, so a store
outage may remove healthy servers. They stay in use for a grace period of two
seconds in which they can register again, and are dropped after that.
"""

import math

from crocuskeel.core.entry import address_owners
from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import crash_store
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import draining
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import gossip
from crocuskeel.core.entry import key_owners
from crocuskeel.core.entry import moved_routes
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import restarting
from crocuskeel.core.entry import restores
from crocuskeel.core.entry import state as states
from crocuskeel.core.entry import version_history
from crocuskeel.core.entry import version_records
from crocuskeel.core import revisions
from crocuskeel.core.scheduling import services
from crocuskeel.core.scheduling import settings as scheduling_settings

__all__ = ["catalog_seen", "drop_expired", "grace_periods",
           "is_newer_catalog", "servers_changed", "servers_listed",
           "store_back", "store_lost", "store_reading_stopped"]

# Grace period of expired entries, s. Servers register again within some 2 s
# of the store's return. A server that left instead must get nothing 2 s
# after its entry was removed, so the last request must have reached it by
# then.
GRACE_S = 1.6
# If at least this share of a service is removed at once, not counting
# draining servers, the entries expired and the servers didn't leave.
MIN_EXPIRED_SHARE = 0.5


def catalog_seen(host, event, now):
    """Put a configuration in force unless it is older than the current."""
    catalog = event.catalog
    if not is_newer_catalog(host, catalog):
        return []
    former, host.catalog = host.catalog, catalog
    host.catalog_applied_at = now
    host.catalog_behind_at = None
    key_owners.note(host, catalog)
    note = effects.LogEvent("catalog", {
        "version": catalog.version, "revision": catalog.revision,
        "routes": sum(map(len, catalog.routes.values())),
        "keys": None if catalog.api_keys is None else len(catalog.api_keys)})
    replaced = []
    if former is None or former.services.keys() != catalog.services.keys():
        replaced = address_owners.mark(host, host.servers, (), now)
    return [note, *replaced, *moved_routes.note_catalog(host, former, now),
            *_unknown_names(host, catalog),
            *version_records.catalog_applied(host, now),
            *gossip.broadcast_change(host, now)]


def _unknown_names(host, catalog):
    """Warn of names in the scheduling settings that are not configured.

    They are no reason to stop serving: a configuration may remove a class
    or a workspace before the operator's file does.
    """
    route_names = {route.name for routes in catalog.routes.values()
                   for route in routes}
    workspace_names = {workspace.name for workspace
                       in (catalog.api_keys or {}).values()}
    names = scheduling_settings.unknown_names(
        host.scheduling, route_names, workspace_names)
    if not names:
        return []
    return [effects.LogEvent("scheduling_unknown_names", {
        "version": catalog.version, "names": names})]


def is_newer_catalog(host, catalog):
    """Return whether a configuration is newer than the one in force.

    The operator's version decides: the store's revision also rises when an
    older configuration is restored.
    """
    return host.catalog is None or catalog.version > host.catalog.version


def servers_listed(host, event, now):
    """Apply the full list; missing servers left or their entries expired."""
    if event.lapsing is None and restores.is_restore(host, event.revision):
        # Servers that registered after the copy was taken register again.
        host.store_up_since = now
    may_hide_versions = _may_list_hide_versions(host, event, now)
    out = [] if host.servers_loaded else crash_store.begin(host, now)
    host.servers_loaded = True
    listed = {server.sid for server in event.servers}
    listed.update(event.unreadable)
    missing = tuple(sid for sid in host.servers if sid not in listed)
    grace_ends = _grace_ends(host, event, missing, now)
    return out + _apply_list(host, event, event.servers, missing, grace_ends,
                             may_hide_versions, now)


def _may_list_hide_versions(host, event, now):
    """Return whether versions may have served unseen before a full list.

    A host that reads the store itself misses nothing if it gets the list from
    another one, too.
    """
    if not host.servers_loaded:
        return True
    follows = event.lapsing is not None and (
        host.store_down_since is None and fleet.reads_store(host, now))
    return not follows and not restores.is_restore(host, event.revision)


def servers_changed(host, event, now):
    """Apply changes of the list."""
    may_hide_versions = _may_changes_hide_versions(host, event)
    grace_ends = _grace_ends(host, event, event.removed, now)
    return _apply_list(host, event, event.changed, event.removed, grace_ends,
                       may_hide_versions, now)


def _apply_list(host, event, changed, removed, grace_ends, may_hide_versions,
                now):
    """Apply changes, before which versions may have served unseen."""
    if not may_hide_versions:
        return _apply(host, event, changed, removed, grace_ends, now)
    out = version_history.begin(host, now)
    out += _apply(host, event, changed, removed, grace_ends, now)
    version_history.list_applied(host)
    return out


def _may_changes_hide_versions(host, event):
    """Return whether versions may have served between changes unseen.

    Changes that come at once hold the last one of each server only: one that
    joined and left is merely removed, and a version whose servers were all
    replaced may have been away meanwhile.
    """
    removed = set(event.removed)
    if not removed <= host.servers.keys():
        return True
    joined = {(server.service, server.version) for server in event.changed
              if server.sid not in host.servers}
    for service, version in joined:
        known = {state.server.sid for state in host.by_service.get(service, ())
                 if state.server.version == version}
        if known and known <= removed:
            return True
    return False


def _grace_ends(host, event, removed, now):
    """Return the ends of grace periods by the ids of removed servers."""
    if event.lapsing is None:
        return _own_grace_ends(host, removed, now)
    # The sender read the store and this host did not: servers that the
    # sender saw leave have left, even if this host was cut off meanwhile.
    return {sid: now + left_s for sid, left_s in event.lapsing}


def _apply(host, event, changed, removed, grace_ends, now):
    """Apply changes; ``grace_ends`` maps expired servers to drop times."""
    if restores.is_restore(host, event.revision):
        draining.note_listed(
            host, [state.server for state in host.servers.values()], now)
        changed = restores.current_entries(host, changed)
        host.store_restored_at = now
    host.servers_revision = max(host.servers_revision, event.revision)
    host.servers_behind_at = None
    out = []
    restarted = restarting.restarted_servers(host, changed)
    registered = address_owners.registrations(host, changed, event.revision)
    arrived = {sid for sid in registered if sid not in host.servers}
    for server in changed:
        out += _add_or_update(host, server, event, arrived, now)
        address_owners.note_created(
            host.servers[server.sid], server, event.revision)
    out += address_owners.mark(host, registered, arrived, now)
    for sid in removed:
        out += _remove(host, sid, grace_ends, event.revision, now)
    for sid in event.unreadable:
        # An unreadable entry is no sign of a crash.
        if sid in host.servers:
            _delete(host, sid)
            out.append(effects.LogEvent("server_unreadable", {"server": sid}))
    out += _rebuild_index(host, now)
    out += restarting.end_orphaned_attempts(host, restarted, now)
    return out + gossip.broadcast_change(host, now)


def _remove(host, sid, grace_ends, revision, now):
    if sid not in host.servers:
        return []
    out = []
    if sid not in grace_ends:
        out = _drop(host, sid, revision, now)
    elif host.servers[sid].lapses_at is None:
        host.servers[sid].lapses_at = grace_ends[sid]
        host.lapsing[sid] = None
    out.append(effects.LogEvent("server_removed", {
        "server": sid, "revision": revisions.number(revision),
        "lapse": sid in grace_ends}))
    return out


def _add_or_update(host, server, event, arrived, now):
    host.lapsing.pop(server.sid, None)
    known = host.servers.get(server.sid)
    if known is None:
        if restores.returns_removed(host, server.sid, event, now):
            arrived.discard(server.sid)
        host.servers[server.sid] = states.new_server(server, now)
        return [effects.LogEvent("server_added", {
            "server": server.sid, "service": server.service,
            "draining": server.draining})]
    restores.note_changed(host, server.sid, event)
    former = known.server
    if restarting.is_restart(former, server):
        return restarting.reset_server(host, server, now)
    server = known.server = restarting.with_latest_start(former, server)
    known.lapses_at = None
    if former != server:
        known.address_reused = False
    if former.draining == server.draining:
        return []
    return [effects.LogEvent("server_state", {
        "server": server.sid, "draining": server.draining})]


def _own_grace_ends(host, removed, now):
    """Return the ends of grace periods of entries that may have expired."""
    if host.store_down_since is not None:
        ends_at = math.inf
    elif _store_returned_recently(host, now):
        ends_at = host.store_up_since + GRACE_S
    else:
        ends_at = now + GRACE_S
    return dict.fromkeys(_expired_ids(host, removed, now), ends_at)


def _expired_ids(host, removed, now):
    removed_states = [
        host.servers[sid] for sid in removed if sid in host.servers
        and not draining.is_draining(host, host.servers[sid].server)]
    if host.store_down_since is not None or (
            _store_returned_recently(host, now)):
        return {state.server.sid for state in removed_states}
    expired = set()
    for service in {state.server.service for state in removed_states}:
        sids = [state.server.sid for state in removed_states
                if state.server.service == service]
        total = len(host.by_service.get(service, ()))
        if len(sids) > 1 and len(sids) >= total * MIN_EXPIRED_SHARE:
            expired.update(sids)
    return expired


def _store_returned_recently(host, now):
    returned_at = host.store_up_since
    return returned_at is not None and now < returned_at + GRACE_S


def grace_periods(host, now):
    """Return (server id, seconds left) of expired entries in grace."""
    return tuple(
        (state.server.sid, max(0.0, min(GRACE_S, state.lapses_at - now)))
        for state in _expired_servers(host))


def _expired_servers(host):
    return [host.servers[sid] for sid in host.lapsing]


def _drop(host, sid, revision, now):
    """Delete a server that left, or whose entry didn't come back."""
    out = []
    if not draining.is_draining(host, host.servers[sid].server):
        out = crashes.note_down(host, sid, crash_records.Sign.REMOVED, now)
    restores.note_removed(host, host.servers[sid].server, revision, now)
    _delete(host, sid)
    return out


def _delete(host, sid):
    state = host.servers.pop(sid, None)
    if state is not None:
        services.forget_server(host, state.server)
    host.active_servers.pop(sid, None)
    host.lapsing.pop(sid, None)


def _rebuild_index(host, now):
    host.by_service = {}
    host.rings = {}
    for state in host.servers.values():
        host.by_service.setdefault(
            state.server.service, []).append(state)
    return (origins.update_versions(host, now)
            + version_records.ensure(host, now))


def drop_expired(host, now):
    """Drop servers that did not register again in the grace period."""
    overdue = [state.server.sid for state in _expired_servers(host)
               if state.lapses_at <= now]
    out = []
    for sid in overdue:
        out += _drop(host, sid, host.servers_revision, now)
        out.append(effects.LogEvent("server_gone", {"server": sid}))
    if overdue:
        out += _rebuild_index(host, now)
    return out


def store_lost(host, event, now):
    """Record that the store does not answer."""
    if host.store_down_since is not None:
        return []
    host.store_down_since = now
    if host.streams.history.missed_since is None:
        host.streams.history.missed_since = now
    for state in _expired_servers(host):
        # It can't register again until the store is back.
        state.lapses_at = math.inf
    return [effects.LogEvent("store_lost", {"why": event.reason})]


def store_back(host, event, now):
    """Record that the store answers again."""
    if host.store_down_since is None:
        return []
    outage_s = now - host.store_down_since
    host.store_up_since = now
    _end_store_outage(host, now)
    return [effects.LogEvent("store_back", {"away_s": round(outage_s, 2)})]


def store_reading_stopped(host, event, now):
    """Stop waiting for the store, as other hosts read it for this one.

    A host that kept waiting for a store that it no longer calls would never
    drop servers that left.
    """
    if host.store_down_since is None:
        return []
    _end_store_outage(host, now)
    return [effects.LogEvent("store_left", {})]


def _end_store_outage(host, now):
    host.store_down_since = None
    for state in _expired_servers(host):
        state.lapses_at = min(state.lapses_at, now + GRACE_S)
