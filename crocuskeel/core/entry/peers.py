"""What other hosts say: that they live, what they know, what they do."""

from crocuskeel.core.entry import carrying
from crocuskeel.core.entry import duties
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import health
from crocuskeel.core.entry import leaving
from crocuskeel.core.entry import parts
from crocuskeel.core.entry import pauses
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import serverload
from crocuskeel.core.entry import state as states
from crocuskeel.core.entry import telling

__all__ = ["heard", "load_heard", "seen"]

# One peer is asked for newer state at a time, each, s.
FETCH_S = 0.25
# A host that follows the store fetches from a peer when it is behind for
# this long, s: the store tells of a change in some ms.
BEHIND_S = 0.4


def seen(host, event, now):
    """Learn of hosts from the store; they count as heard for a moment."""
    host.seen_at = now
    fleet.changed(host)
    for peer in event.peers:
        if peer.name != host.me.name:
            host.peers.setdefault(peer.name, states.PeerState(peer, now))
    return telling.tell(host, now)


def heard(host, event, now):
    """Take what another host says of itself."""
    peer = event.peer
    if peer.name == host.me.name:
        return []
    out = []
    known = host.peers.get(peer.name)
    if known is None or known.peer.boot != peer.boot:
        known = states.PeerState(peer, now)
        host.peers[peer.name] = known
        fleet.changed(host)
        out.append(effects.Note("peer_up", {"peer": peer.name}))
    known.heard_at = now
    known.ready = event.ready
    if known.leaving != event.leaving:
        known.leaving = event.leaving
        fleet.changed(host)
    known.catalog_revision = event.catalog_revision
    known.servers_revision = event.servers_revision
    known.reads_store = event.reads_store
    host.told_at = max(
        host.told_at, now - event.informed_s - fleet.HOP_S)
    carrying.hear(host, event.wanted, now)
    duties.heard(host, event, now)
    for digest, incarnation in event.crashed:
        quarantine.learn(host, digest, incarnation, now)
    _take_loads(host, event, now)
    _take_carriers(host, event, now)
    out += ratelimits.heard(host, event.rate_limits, now)
    out += leaving.heard(host, event.servers_leaving, now)
    out += telling.reply(host, known, now)
    return out + _catch_up(host, known, now)


def load_heard(host, event, now):
    """Take another carrier's changes at engines."""
    _take_rows(host, event.name, event.loads, now)
    for sid in event.refused:
        quarantine.note_gone(host, sid, now)
        state = host.servers.get(sid)
        # A host that is cut off from a server finds it refusing, too. One
        # with requests there notices a crash by itself.
        if state is not None and not state.mine:
            health.unreached(state, now)
    return []


def _take_loads(host, event, now):
    """Learn what another host has under way at each server."""
    _take_rows(host, event.peer.name, event.loads, now)
    for sid, part, tokens in event.parts:
        state = host.servers.get(sid)
        if state is not None:
            # The host that sent it there tells what there is to read, too.
            parts.remember(state, part, tokens,
                           _memory(host, state.server.service),
                           now + serverload.ahead_s(state, now))


def _take_rows(host, name, rows, now):
    for sid, count, tokens, reading, silent_ms, gaps, memory in rows:
        state = host.servers.get(sid)
        if state is None:
            continue
        serverload.note_work(host, state)
        state.others.put(name, count, tokens, reading, now, gaps, memory)
        pauses.heard(state, serverload.ahead_s(state, now), now)
        state.heard_at = max(state.heard_at, now - silent_ms / 1000)


def _memory(host, service):
    engine = parts.engine_of(host, service)
    return engine.memory if engine is not None else 0


def _take_carriers(host, event, now):
    for name in event.carriers:
        known = host.peers.get(name)
        if known is not None:
            known.vouched_at = now


def _catch_up(host, known, now):
    """Fetch what a peer knows that is newer."""
    since = _behind_since(host, known, now)
    if since is None:
        return []
    if known.catalog_revision == 0 or now < host.fetch_at:
        return []
    reads = fleet.reads_store(host, now) and host.store_lost_at is None
    if reads and host.catalog and now < since + BEHIND_S:
        # The store tells this host itself, in a moment. It does not if
        # this host's watch fell silent: the wait is bounded.
        return []
    host.fetch_at = now + FETCH_S
    return [effects.FetchCatalog(known.peer)]


def _behind_since(host, known, now):
    """Return since when what a peer knows is newer, or None.

    By kind: changes of servers that go on coming say nothing of the
    configuration.
    """
    found = []
    revision = host.catalog.revision if host.catalog else 0
    if known.catalog_revision > revision:
        if host.catalog_behind_at is None:
            host.catalog_behind_at = now
        found.append(host.catalog_behind_at)
    if known.servers_revision > host.servers_revision:
        if host.servers_behind_at is None:
            host.servers_behind_at = now
        found.append(host.servers_behind_at)
    return min(found, default=None)
