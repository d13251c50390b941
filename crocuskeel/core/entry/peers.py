"""Which other entry hosts live, and what they know that is newer.

Callers are sent to the hosts with the most capacity, the carriers. They
tell each other their state several times a second. Any other host tells
a few of them, and hears theirs in reply: what a host sends and reads
doesn't grow with the fleet. In a large fleet a few carriers read the
store, and the others fetch from them what is newer.
"""

from crocuskeel.core.entry import choosing
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import health
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import state as states

__all__ = ["addresses", "carriers", "heard", "is_large",
           "is_ready", "load_heard", "loads_due", "note_changes",
           "reads_store", "seen", "tell", "tell_news"]

# A host that was silent for this long is not named to callers, s: four
# of its datagrams are missing.
SILENT_S = 1.3
# Crashes are told again for this long, s: a datagram may be lost.
RETOLD_S = 2.0
# One peer is asked for newer state at a time, each, s.
FETCH_S = 0.25
# A host that follows the store fetches from a peer when it is behind for
# this long, s: the store tells of a change in some ms.
BEHIND_S = 0.4
ADDRESSES_MOST = 64
# Servers that were heard within this are told of, s.
LOADS_S = 1.0
# What changes at engines is told this often at most, s: a host with 30
# requests a second changes them 90 times, and each change went to nine
# hosts; an engine takes 100 ms and more to read a prompt.
LOADS_GAP_S = 0.03
# Parts sent to engines are told for this long, s: in two datagrams.
PARTS_S = 0.6
# At least so many hosts carry callers, so that one that fails takes a
# fifth of the requests under way; and all that have half of the largest's
# capacity.
CARRIERS_LEAST = 5
CAPACITY_SHARE = 0.5
# Up to so many carriers tell each other everything; of more, each tells
# so many at a time, drawn anew.
MESH_MOST = 12
# Carriers that another host tells its state, and how often, s.
CONTACTS = 3
CONTACT_S = 0.6
# A silent host that had the capacity to carry callers is told again after
# so many seconds, so many at a time.
LOST_S = 1.0
LOST_MOST = 2
# Up to so many hosts all read the store; of more, so many carriers.
ALL_READ_MOST = 12
READERS = 3
# A host that heard no reader for this long reads itself, s.
UNTOLD_S = 1.5


def seen(host, event, now):
    """Learn of hosts from the store; they count as heard for a moment."""
    host.seen_at = now
    for peer in event.peers:
        if peer.name != host.me.name:
            host.peers.setdefault(peer.name, states.PeerState(peer, now))
    return tell(host, now)


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
        out.append(effects.Note("peer_up", {"peer": peer.name}))
    known.heard_at = now
    known.ready = event.ready
    known.leaving = event.leaving
    known.catalog_revision = event.catalog_revision
    known.servers_revision = event.servers_revision
    known.reads_store = event.reads_store
    for digest, sid in event.crashed:
        quarantine.learn(host, digest, sid, now)
    _take_loads(host, event, now)
    _take_carriers(host, event, now)
    out += _reply(host, known, now)
    return out + _catch_up(host, known, now)


def _reply(host, known, now):
    """Answer a host that is not told otherwise."""
    if now < known.told_at + CONTACT_S / 2:
        return []
    if known.peer.name in {peer.name for peer in _contacts(host, now)}:
        return []
    known.told_at = now
    return [effects.Tell(known.peer, _state(host, now, False))]


def _take_loads(host, event, now):
    """Learn what another host has under way at each server."""
    _take_rows(host, event.peer.name, event.loads, now)
    for sid, part, tokens in event.parts:
        state = host.servers.get(sid)
        if state is not None:
            choosing.remember(state, part, tokens,
                              _memory(host, state.server.service))


def _take_rows(host, name, rows, now):
    for sid, count, tokens, reading, silent_ms in rows:
        state = host.servers.get(sid)
        if state is None:
            continue
        state.others.put(name, count, tokens, reading, now)
        state.heard_at = max(state.heard_at, now - silent_ms / 1000)


def _memory(host, service):
    known = host.catalog.services.get(service) if host.catalog else None
    if known is None or known.engine is None:
        return 0
    return known.engine.memory


def _take_carriers(host, event, now):
    for name in event.carriers:
        known = host.peers.get(name)
        if known is not None:
            known.vouched_at = now


def _catch_up(host, known, now):
    """Fetch what a peer knows that is newer."""
    mine = host.catalog.revision if host.catalog else 0
    newer = (known.catalog_revision > mine
             or known.servers_revision > host.servers_revision)
    if not newer:
        return []
    if host.behind_at is None:
        host.behind_at = now
    if known.catalog_revision == 0 or now < host.fetch_at:
        return []
    reads = reads_store(host, now) and host.store_lost_at is None
    if reads and mine and now < host.behind_at + BEHIND_S:
        # The store tells this host itself, in a moment. It does not if
        # this host's watch fell silent: the wait is bounded.
        return []
    host.fetch_at = now + FETCH_S
    return [effects.FetchCatalog(known.peer)]


def carriers(host, now):
    """Return the peers and this host that callers are sent to."""
    live = [host.me] if host.stop_at is None else []
    live += [known.peer for known in host.peers.values()
             if _may_carry(known, now)]
    live.sort(key=lambda peer: (
        -peer.capacity, routing.unit_hash(peer.name, "carrier")))
    if not live:
        return []
    least = live[0].capacity * CAPACITY_SHARE
    return [peer for place, peer in enumerate(live)
            if place < CARRIERS_LEAST or peer.capacity >= least]


def _may_carry(known, now):
    signs = max(known.heard_at, known.vouched_at)
    return not known.leaving and now - signs <= SILENT_S


def _contacts(host, now):
    """Return the peers that this host tells its state unasked."""
    found = carriers(host, now)
    others = [peer for peer in found if peer.name != host.me.name]
    if len(others) == len(found):
        others.sort(key=lambda peer: routing.unit_hash(
            host.me.name, peer.name))
        return others[:CONTACTS]
    if len(others) > MESH_MOST:
        return host.rng.sample(others, MESH_MOST)
    return others


def tell(host, now):
    """Tell contacts this host's state, as often as they need it."""
    contacts = _contacts(host, now)
    carries = _is_carrier(host, now)
    contacts += _lost(host, now, contacts)
    state = _state(host, now, carries)
    out = []
    span = 0.0 if carries else CONTACT_S
    for peer in contacts:
        known = host.peers[peer.name]
        if now >= known.told_at + span - 0.01:
            known.told_at = now
            out.append(effects.Tell(peer, state))
    return out


def tell_news(host, now):
    """Tell all contacts at once that something newer is known."""
    state = _state(host, now, _is_carrier(host, now))
    out = []
    for peer in _contacts(host, now):
        host.peers[peer.name].told_at = now
        out.append(effects.Tell(peer, state))
    return out


def note_changes(host, now):
    """Tell other carriers what changed at engines, at once or soon.

    An engine reads a prompt in a tenth of a second: hosts that heard of
    each other's sends only with their next state would all send to the
    same idle engine.
    """
    if now >= host.told_load_at + LOADS_GAP_S:
        return _tell_loads(host, now)
    if host.load_is_due:
        return []
    host.load_is_due = True
    return [effects.TellLoads(host.told_load_at + LOADS_GAP_S)]


def loads_due(host, event, now):
    """Tell what changed since the last time."""
    host.load_is_due = False
    return _tell_loads(host, now)


def _tell_loads(host, now):
    host.told_load_at = now
    changed, host.changed = host.changed, set()
    refusing, host.refusing = tuple(host.refusing), set()
    rows = tuple(_load_row(host.servers[sid], now) for sid in changed
                 if sid in host.servers)
    if host.me is None or not (rows or refusing):
        return []
    news = events.LoadHeard(host.me.name, rows, refusing)
    return [effects.Tell(peer, news) for peer in _contacts(host, now)]


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


def _lost(host, now, contacts):
    """Return a silent host that should be a contact: it may be back."""
    least = min((peer.capacity for peer in contacts), default=0.0)
    silent = [known.peer for known in host.peers.values()
              if now - known.heard_at > SILENT_S
              and now - known.vouched_at > SILENT_S
              and known.peer.capacity >= least
              and now >= known.told_at + LOST_S]
    return host.rng.sample(silent, min(len(silent), LOST_MOST))


def is_large(host):
    """Say whether the fleet is so large that a few hosts read for all."""
    return len(host.peers) >= ALL_READ_MOST


def _is_carrier(host, now):
    return any(peer.name == host.me.name for peer in carriers(host, now))


def reads_store(host, now):
    """Say whether this host should follow the store itself."""
    if not is_large(host):
        return True
    readers = 0
    for peer in carriers(host, now):
        if peer.name == host.me.name:
            return True
        known = host.peers[peer.name]
        readers += known.reads_store
        if readers >= READERS:
            return False
    told = max((known.heard_at for known in host.peers.values()
                if known.reads_store), default=host.seen_at)
    return now - told > UNTOLD_S


def _state(host, now, whole):
    """Return this host's state; with what its requests do if ``whole``."""
    reads = reads_store(host, now) and host.store_lost_at is None
    return events.Heard(
        peer=host.me, ready=is_ready(host),
        leaving=host.stop_at is not None,
        catalog_revision=host.catalog.revision if host.catalog else 0,
        servers_revision=host.servers_revision,
        crashed=quarantine.pairs(host, now, RETOLD_S),
        loads=_loads(host, now) if whole else (),
        parts=_parts(host, now) if whole else (),
        reads_store=reads and host.servers_known,
        carriers=_known_carriers(host, now))


def _known_carriers(host, now):
    if not is_large(host):
        # Each host hears all others itself.
        return ()
    return tuple(peer.name for peer in carriers(host, now)
                 if peer.name != host.me.name
                 and _is_heard(host.peers[peer.name], now))


def _is_heard(known, now):
    return known.ready and now - known.heard_at <= SILENT_S


def _loads(host, now):
    return tuple(_load_row(state, now) for state in host.servers.values()
                 if state.mine or state.heard_at > now - LOADS_S)


def _load_row(state, now):
    tokens = state.mine.values()
    return (state.server.sid, len(state.mine), sum(tokens),
            sum(count > 0 for count in tokens),
            int(min(LOADS_S, now - state.heard_at) * 1000))


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
    for peer in carriers(host, now):
        if peer.name == host.me.name:
            usable = is_ready(host)
        else:
            known = host.peers[peer.name]
            usable = (_is_heard(known, now)
                      or now - known.vouched_at <= SILENT_S)
        if usable:
            found.append((peer.name, peer.front))
    if len(found) > ADDRESSES_MOST:
        # Each host leaves out others, so that all get their callers.
        found.sort(key=lambda row: routing.unit_hash(
            host.me.name, row[0]))
    return [front for _, front in found[:ADDRESSES_MOST]]
