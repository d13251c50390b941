"""Handlers of what other hosts send: their state, load and data versions."""

from crocuskeel.core.entry import brittle
from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import crash_reports
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import draining
from crocuskeel.core.entry import duties
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import gossip
from crocuskeel.core.entry import health
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import prefill_pauses
from crocuskeel.core.entry import prefix_cache
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import server_load
from crocuskeel.core.entry import serving
from crocuskeel.core.entry import state as states
from crocuskeel.core.entry import version_history
from crocuskeel.core import revisions

__all__ = ["handle_crash_reports", "handle_peer_list", "handle_peer_loads",
           "handle_peer_state"]

# Minimum interval between fetches of newer data from a peer, s.
FETCH_INTERVAL_S = 0.25
# A host that reads the store fetches from a peer only if it has been behind
# for this long, s: the store reports a change within some ms.
STORE_DELAY_S = 0.4


def handle_peer_list(host, event, now):
    """Add hosts that the store lists; they count as just heard."""
    host.peers_read_at = host.peers_read_at or now
    host.hosts_listed = True
    fleet.invalidate_serving_hosts(host)
    for peer in event.peers:
        if peer.name != host.self_peer.name:
            host.peers.setdefault(peer.name, states.PeerState(peer, now))
    return gossip.send_state(host, now)


def handle_peer_state(host, event, now):
    """Handle the state of another host."""
    peer = event.peer
    if peer.name == host.self_peer.name:
        return []
    out = []
    known = host.peers.get(peer.name)
    if known is None or known.peer.boot != peer.boot:
        known = states.PeerState(peer, now)
        host.peers[peer.name] = known
        fleet.invalidate_serving_hosts(host)
        out.append(effects.LogEvent("peer_up", {"peer": peer.name}))
    known.last_seen_at = now
    known.ready = event.ready
    if known.leaving != event.leaving:
        known.was_serving = known.peer in fleet.serving_hosts(host, now)
        known.leaving = event.leaving
        fleet.invalidate_serving_hosts(host)
    known.catalog_revision = event.catalog_revision
    known.catalog_version = event.catalog_version
    known.servers_revision = event.servers_revision
    if event.catalog_version is None:
        known.servers_revision = revisions.in_era_of(
            host.servers_revision, event.servers_revision)
    known.reads_store = event.reads_store
    known.cut_off = frozenset(event.cut_off)
    host.informed_at = max(
        host.informed_at, now - event.store_data_age_s - fleet.HOP_DELAY_S)
    serving.merge(host, event.serving_demand, now)
    duties.peer_state_received(host, event, now)
    known.takes_crash_reports = event.crash_reports is not None
    known.takes_origins = event.former_versions is not None
    known.takes_demand = event.takes_demand
    known.writes_records = event.recorded_versions is not None
    out += origins.merge_former(host, event.former_versions, now)
    out += version_history.hear(host, event, now)
    out += crash_reports.merge(
        host, peer.name, _crash_rows(event), now)
    _apply_loads(host, event, now)
    _apply_serving_hosts(host, event, now)
    out += ratelimits.merge(host, event.rate_limits, now)
    out += brittle.merge(host, event.brittle, now)
    out += draining.merge(host, event.servers_leaving, now)
    out += gossip.reply(host, known, now)
    return out + _fetch_if_behind(host, known, now)


def handle_peer_loads(host, event, now):
    """Handle load changes that another serving host reports."""
    _apply_load_rows(host, event.name, event.loads, now)
    out = []
    sender = host.peers.get(event.name)
    for sid in event.refused:
        state = host.servers.get(sid)
        if (sender is not None and state is not None
                and state.server.service in sender.cut_off):
            continue
        out += crashes.note_down(host, sid, crash_records.Sign.REFUSED, now)
        # A host that is cut off from a server sees it refuse connections,
        # too. A host with requests there detects a crash by itself.
        if state is not None and not state.own_attempts:
            health.record_connection_failure(state, now)
    return out


def handle_crash_reports(host, event, now):
    """Handle reports on crashes from another host."""
    return crash_reports.merge(host, event.name, event.reports, now)


def _crash_rows(event):
    """Return the reports of a state, also of the former version's."""
    if event.crash_reports is not None:
        return event.crash_reports
    return tuple((str(crash_records.Kind.CRASHED), 0, digest, "", incarnation,
                  str(crash_records.Sign.REFUSED), 0)
                 for digest, incarnation in event.crashes)


def _apply_loads(host, event, now):
    """Record what another host has in progress at each server."""
    _apply_load_rows(host, event.peer.name, event.loads, now)
    for sid, part, tokens in event.parts:
        state = host.servers.get(sid)
        if state is not None:
            # The sender's load rows include the tokens yet to be read.
            prefix_cache.add_part(state, part, tokens,
                                  _engine_memory(host, state.server.service),
                                  now + server_load.queued_prefill_s(state,
                                                                     now))


def _apply_load_rows(host, name, rows, now):
    for sid, count, tokens, reading, silent_ms, gaps, memory in rows:
        state = host.servers.get(sid)
        if state is None:
            continue
        server_load.note_work(host, state)
        state.peer_loads.update(name, count, tokens, reading, now, gaps,
                                memory)
        prefill_pauses.note_prefill(
            state, server_load.queued_prefill_s(state, now), now)
        state.last_seen_at = max(state.last_seen_at, now - silent_ms / 1000)


def _engine_memory(host, service):
    engine = prefix_cache.engine_config(host, service)
    return engine.memory if engine is not None else 0


def _apply_serving_hosts(host, event, now):
    for name in event.serving_hosts:
        known = host.peers.get(name)
        if known is not None:
            known.confirmed_ready_at = now


def _fetch_if_behind(host, known, now):
    """Fetch data from a peer that has a newer revision."""
    since = _behind_since(host, known, now)
    if since is None:
        return []
    if known.catalog_revision == 0 or now < host.next_fetch_at:
        return []
    reads = fleet.reads_store(host, now) and host.store_down_since is None
    if reads and host.catalog and now < since + STORE_DELAY_S:
        # The store is expected to report the change shortly. The wait is
        # bounded, as it doesn't if this host's watch is stalled.
        return []
    host.next_fetch_at = now + FETCH_INTERVAL_S
    return [effects.FetchCatalog(known.peer)]


def _has_newer_catalog(known, catalog):
    if catalog is None:
        return known.catalog_revision > 0
    if known.catalog_version is None:
        return known.catalog_revision > catalog.revision
    return known.catalog_version > catalog.version


def _behind_since(host, known, now):
    """Return since when a peer has had newer data, or None.

    Configuration and servers are tracked separately: a steady stream of
    server changes doesn't show that the configuration is up to date.
    """
    times = []
    if _has_newer_catalog(known, host.catalog):
        if host.catalog_behind_at is None:
            host.catalog_behind_at = now
        times.append(host.catalog_behind_at)
    if known.servers_revision > host.servers_revision:
        if host.servers_behind_at is None:
            host.servers_behind_at = now
        times.append(host.servers_behind_at)
    return min(times, default=None)
