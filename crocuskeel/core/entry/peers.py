"""Which other entry hosts live, and what they know that is newer."""

import zlib

from crocuskeel.core.entry import choosing
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import state as states

__all__ = ["addresses", "gone", "heard", "is_ready", "seen", "tell"]

# A host that was silent for this long is not named to callers, s: four
# of its datagrams are missing.
SILENT_S = 1.3
# One silent for this long is forgotten, s.
FORGOTTEN_S = 30.0
# Crashes are told again for this long, s: a datagram may be lost.
RETOLD_S = 2.0
# One peer is asked for a newer configuration at a time, each, s.
FETCH_S = 0.5
ADDRESSES_MOST = 64
# Servers that were heard within this are told of, s.
LOADS_S = 1.0
# Parts sent to engines are told for this long, s: in two datagrams.
PARTS_S = 0.6


def seen(host, event, now):
    """Learn of hosts from the store; they count once they are heard."""
    for peer in event.peers:
        if peer.name == host.me.name:
            continue
        host.peers.setdefault(peer.name, states.PeerState(peer, now))
    return tell(host, now)


def heard(host, event, now):
    """Take what another host says of itself."""
    peer = event.peer
    known = host.peers.get(peer.name)
    if peer.name == host.me.name:
        return []
    out = []
    if known is None or known.peer.boot != peer.boot:
        known = states.PeerState(peer, now)
        host.peers[peer.name] = known
        out.append(effects.Note("peer_up", {"peer": peer.name}))
        out.append(effects.Tell(peer, _state(host, now)))
    known.heard_at = now
    known.ready = event.ready
    known.leaving = event.leaving
    known.catalog_revision = event.catalog_revision
    known.servers_revision = event.servers_revision
    for digest, sid in event.crashed:
        quarantine.learn(host, digest, sid, now)
    _take_loads(host, event, now)
    return out + _catch_up(host, known, now)


def _take_loads(host, event, now):
    """Learn what another host has under way at each server."""
    for sid, count, tokens, silent_ms in event.loads:
        state = host.servers.get(sid)
        if state is None:
            continue
        state.others[event.peer.name] = (count, tokens, now)
        state.heard_at = max(state.heard_at, now - silent_ms / 1000)
    for sid, part, tokens in event.parts:
        state = host.servers.get(sid)
        if state is not None:
            choosing.remember(state, part, tokens,
                              _memory(host, state.server.service))


def _memory(host, service):
    known = host.catalog.services.get(service) if host.catalog else None
    if known is None or known.engine is None:
        return 0
    return known.engine.memory


def _catch_up(host, known, now):
    """Ask a peer whose configuration is newer than this host's."""
    mine = host.catalog.revision if host.catalog else 0
    if known.catalog_revision <= mine and host.servers_known:
        return []
    if known.catalog_revision == 0 or now < host.fetch_at:
        return []
    host.fetch_at = now + FETCH_S
    return [effects.FetchCatalog(known.peer)]


def gone(host, event, now):
    """Forget a host that refuses connections."""
    host.peers.pop(event.name, None)
    return []


def tell(host, now):
    """Tell every peer this host's state; forget long silent ones."""
    for name, known in list(host.peers.items()):
        if now - known.heard_at > FORGOTTEN_S:
            del host.peers[name]
    state = _state(host, now)
    return [effects.Tell(known.peer, state)
            for known in host.peers.values()]


def _state(host, now):
    return events.Heard(
        peer=host.me, ready=is_ready(host),
        leaving=host.stop_at is not None,
        catalog_revision=host.catalog.revision if host.catalog else 0,
        servers_revision=host.servers_revision,
        crashed=quarantine.pairs(host, now, RETOLD_S),
        loads=_loads(host, now), parts=_parts(host, now))


def _loads(host, now):
    return tuple(
        (state.server.sid, len(state.mine), sum(state.mine.values()),
         int(min(LOADS_S, now - state.heard_at) * 1000))
        for state in host.servers.values()
        if state.mine or state.heard_at > now - LOADS_S)


def _parts(host, now):
    while host.placed and host.placed[0][0] < now - PARTS_S:
        host.placed.popleft()
    return tuple({row[1:]: None for row in host.placed})


def is_ready(host):
    """Say whether this host can serve callers."""
    return (host.catalog is not None and host.servers_known
            and host.stop_at is None)


def addresses(host, now):
    """Return the front addresses of hosts that callers may use."""
    found = []
    if is_ready(host):
        found.append((host.me.name, host.me.front))
    for name, known in host.peers.items():
        if known.ready and now - known.heard_at <= SILENT_S:
            found.append((name, known.peer.front))
    if len(found) > ADDRESSES_MOST:
        # Each host leaves out others, so that all get their callers.
        found.sort(key=lambda row: zlib.crc32(
            (host.me.name + row[0]).encode()))
    return [front for _, front in found[:ADDRESSES_MOST]]
