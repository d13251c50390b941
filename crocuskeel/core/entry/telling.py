"""What a host tells others of itself, to whom and how often.

Carriers tell each other their state several times a second, and what
changes at engines at once. Any other host tells a few of them, and hears
theirs in reply: what a host sends and reads doesn't grow with the fleet.
"""

import math

from crocuskeel.core.duties import truetime
from crocuskeel.core.entry import carrying
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import leaving
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import serverload

__all__ = ["loads_due", "note_changes", "reply", "tell",
           "tell_hints", "tell_lease", "tell_news"]

# Crashes are told again for this long, s: a datagram may be lost.
RETOLD_S = 2.0
# Of so many at the most in one datagram, which holds 64 kB: a row with
# streams takes up to 100 bytes.
LOADS_MOST = 400
# News are told this often at most, s, else with the next state: while
# 3,000 servers register, each host that reads the store told 12 others
# its whole state for each change, 250 times a second.
NEWS_GAP_S = 0.1
# What changes at engines is told this often at most, s: a host with 30
# requests a second changes them 90 times, and each change went to nine
# hosts; an engine takes 100 ms and more to read a prompt.
LOADS_GAP_S = 0.03
# Parts sent to engines are told for this long, s: in two datagrams.
PARTS_S = 0.6
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


def tell(host, now):
    """Tell contacts this host's state, as often as they need it."""
    contacts = _contacts(host, now)
    carries = fleet.is_carrier(host, now)
    if carries:
        carrying.note_own(host, len(fleet.carriers(host, now)), now)
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
    if now < host.told_news_at + NEWS_GAP_S:
        # The next state tells it.
        return []
    host.told_news_at = now
    return _tell_contacts(host, now)


def tell_lease(host, now):
    """Tell all contacts at once what this host knows of the lease.

    A holder that was killed before it told of its last renewal was
    followed 7 s later, with this 4 s: others count from what they know.
    """
    return _tell_contacts(host, now)


def tell_hints(host, now):
    """Tell all contacts at once what servers name in their answers."""
    news = events.HintsHeard(
        host.me.name, _some(host, ratelimits.rows(host, now)),
        _some(host, leaving.rows(host)))
    return [effects.Tell(peer, news) for peer in _contacts(host, now)]


def _some(host, rows):
    """Return what a datagram holds of rows, drawn anew each time."""
    if len(rows) <= LOADS_MOST:
        return rows
    return tuple(host.rng.sample(rows, LOADS_MOST))


def _tell_contacts(host, now):
    state = _state(host, now, False)
    return [effects.Tell(peer, state) for peer in _contacts(host, now)]


def note_changes(host, now):
    """Tell other carriers what changed at engines, at once or soon.

    An engine reads a prompt in a tenth of a second: hosts that heard of
    each other's sends only with their next state would all send to the
    same idle engine.
    """
    due_at = host.told_load_at + _loads_gap_s(host, now)
    if now >= due_at:
        return _tell_loads(host, now)
    if host.load_is_due:
        return []
    host.load_is_due = True
    return [effects.TellLoads(due_at)]


def _loads_gap_s(host, now):
    """Return how often this host tells what changes at engines, s.

    Of many carriers a change reaches a part only, and fewer requests
    come for each engine: 72 that told 12 others each 30 ms would send and
    read 800 datagrams a second each.
    """
    others = len(fleet.carriers(host, now)) - 1
    return LOADS_GAP_S * max(1.0, others / MESH_MOST)


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


def reply(host, known, now):
    """Answer a host that is not told otherwise."""
    if now < known.told_at + CONTACT_S / 2:
        return []
    if known.peer.name in {peer.name for peer in _contacts(host, now)}:
        return []
    known.told_at = now
    return [effects.Tell(known.peer, _state(host, now, False))]


def _contacts(host, now):
    """Return the peers that this host tells its state unasked."""
    found = fleet.carriers(host, now)
    others = [peer for peer in found if peer.name != host.me.name]
    if len(others) == len(found):
        others.sort(key=lambda peer: routing.name_hash(
            host.me.name, peer.name))
        return others[:CONTACTS]
    if len(others) > MESH_MOST:
        return host.rng.sample(others, MESH_MOST)
    return others


def _lost(host, now, contacts):
    """Return a silent host that should be a contact: it may be back."""
    least = min((peer.capacity for peer in contacts), default=0.0)
    silent = [known.peer for known in host.peers.values()
              if now - known.heard_at > fleet.SILENT_S
              and now - known.vouched_at > fleet.SILENT_S
              and known.peer.capacity >= least
              and now >= known.told_at + LOST_S]
    return host.rng.sample(silent, min(len(silent), LOST_MOST))


def _state(host, now, whole):
    """Return this host's state; with what its requests do if ``whole``."""
    reads = fleet.reads_store(host, now) and host.store_lost_at is None
    return events.Heard(
        peer=host.me, ready=fleet.is_ready(host),
        leaving=host.stop_at is not None,
        catalog_revision=host.catalog.revision if host.catalog else 0,
        servers_revision=host.servers_revision,
        crashed=quarantine.pairs(host, now, RETOLD_S),
        loads=_loads(host, now) if whole else (),
        parts=_parts(host, now) if whole else (),
        reads_store=reads and host.servers_known,
        carriers=_known_carriers(host, now),
        informed_s=fleet.informed_s(host, now),
        wanted=carrying.told(host, now),
        rate_limits=_some(host, ratelimits.rows(host, now)),
        servers_leaving=_some(host, leaving.rows(host)),
        **_of_duties(host, now))


def _of_duties(host, now):
    duties = host.duties
    if duties is None:
        return {}
    return {"wall": truetime.own(duties.offsets, host.me.name, now),
            "leader": duties.leader}


def _known_carriers(host, now):
    """Return the names of the carriers that this host hears itself.

    In a small fleet each host does. Only carriers tell them: a host that
    carries nobody sends and reads 3.3 kB a second of datagrams among 300,
    3.7 with the names in all states.
    """
    if not fleet.is_large(host) or not fleet.is_carrier(host, now):
        return ()
    return tuple(peer.name for peer in fleet.carriers(host, now)
                 if peer.name != host.me.name
                 and fleet.is_heard(host.peers[peer.name], now))


def _loads(host, now):
    """Return rows of servers with work of this host, or heard lately.

    Of many carriers each tells of its own work only: what others said of
    2,000 engines was passed on by 72 hosts, 400 rows a state.
    Its own come first where not all have room: with 3,000 servers just
    listed a state was 66 kB, more than a datagram holds, and told nobody
    anything (9 kB now).
    """
    since = now - serverload.HEARD_S
    if len(fleet.carriers(host, now)) > MESH_MOST + 1:
        since = math.inf
    told = [state for state in map(host.servers.get, host.working)
            if state.mine or state.heard_at > since]
    if len(told) > LOADS_MOST:
        told.sort(key=lambda state: (not state.mine, -state.heard_at))
    return tuple(_load_row(state, now) for state in told[:LOADS_MOST])


def _load_row(state, now):
    tokens = state.mine.values()
    return (state.server.sid, len(state.mine), sum(tokens),
            sum(count > 0 for count in tokens),
            int(min(serverload.HEARD_S, now - state.heard_at) * 1000),
            tuple((*kind, streams)
                  for kind, streams in state.gaps.items()),
            state.memory)


def _parts(host, now):
    while host.placed and host.placed[0][0] < now - PARTS_S:
        host.placed.popleft()
    return tuple({row[1:]: None for row in host.placed})
