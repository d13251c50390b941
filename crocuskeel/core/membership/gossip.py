"""Dissemination: updates ride on probes and acks, a bounded number each.

An update is sent ``pace.max_sends`` times by each host, the least sent
first. News that can't wait (suspicion, its denial, death, leaving) also
goes to some hosts at once in acks of no probe (``seq`` 0).
"""

import dataclasses
import itertools

from crocuskeel.core import effects
from crocuskeel.core import follower
from crocuskeel.core.membership import params
from crocuskeel.core.membership import state as st
from crocuskeel.core import messages

__all__ = ["compact", "enqueue", "gossip_more", "of_me", "own", "pack",
           "repeat", "shout", "start_sync", "sync_more", "told"]

# Upper bounds of an update's encoded bytes without its strings.
_FULL_BYTES = 50
_COMPACT_BYTES = 36
_NO_LABELS = {"address": "", "peer_port": 0, "door_port": 0,
              "domain": "", "region": ""}
REPEAT = "repeat"


def compact(update):
    """Return an update without address and labels."""
    return dataclasses.replace(update, **_NO_LABELS)


def of_me(daemon):
    """Return the whole update of this host with its generation."""
    state = daemon.members
    generation = follower.generation(daemon)
    if state.me.generation != generation:
        state.me = dataclasses.replace(state.me, generation=generation)
    return state.me


def own(daemon):
    """Return the short update that this host sends with each ack."""
    return compact(of_me(daemon))


def told(daemon, host):
    """Return what a host must hear of itself: that it is not alive.

    Without it a suspect that missed the news could not deny it.
    """
    member = daemon.members.members.get(host)
    if member is None or member.update.status not in (st.SUSPECT, st.DEAD):
        return ()
    return (_to_tell(member),)


def enqueue(daemon, host):
    """Spread the newest update of a host from now on."""
    daemon.members.queue[host] = 0


def _to_tell(member):
    # Hosts that know a member keep its labels, so a suspicion goes
    # without. Kept, as a lost failure domain is told of many times.
    if member.update.status not in (st.SUSPECT, st.DEAD):
        return member.update
    if member.short is None:
        member.short = dataclasses.replace(
            member.update, load=0.0, generation=0, **_NO_LABELS)
    return member.short


def _bytes(update):
    fixed = _FULL_BYTES if update.address else _COMPACT_BYTES
    return (fixed + len(update.host) + len(update.status)
            + len(update.address) + len(update.domain)
            + len(update.region))


def _newest(daemon, host):
    state = daemon.members
    if host == state.me.host:
        return of_me(daemon)
    member = state.members.get(host)
    return None if member is None else _to_tell(member)


def pack(daemon, first=()):
    """Return ``first`` and as many queued updates as fit a datagram."""
    state = daemon.members
    room = params.UPDATES_BYTES - sum(_bytes(u) for u in first)
    out = list(first)
    named = {update.host for update in first}
    limit = params.max_sends(len(st.peers(state)) + 1)
    for host in sorted(state.queue, key=state.queue.get):
        update = _newest(daemon, host)
        if host in named and update is not None:
            continue
        if update is None or state.queue[host] >= limit:
            del state.queue[host]
            continue
        room -= _bytes(update)
        if room < 0:
            break
        out.append(update)
        state.queue[host] += 1
    return tuple(out)


def _carry(daemon, host, first):
    return effects.Send(host, messages.ProbeAck(0, pack(daemon, first)))


def _some_peers(daemon, count):
    others = st.peers(daemon.members)
    return daemon.rng.sample(others, min(count, len(others)))


def shout(daemon, about, also=()):
    """Send news of a host at once to some hosts, and soon again.

    A lost datagram would else leave a host without the news until it
    happens to be reached, perhaps after a suspect's time is up.
    """
    enqueue(daemon, about)
    key = ("members", REPEAT, about)
    return [*_shouted(daemon, about, also),
            effects.SetTimer(key, params.REPEAT_S)]


def repeat(daemon, about):
    """Send the news a second time."""
    return _shouted(daemon, about, ())


def _shouted(daemon, about, also):
    update = _newest(daemon, about)
    if update is None:
        return []
    hosts = dict.fromkeys((*also, *_some_peers(daemon, params.FANOUT)))
    return [_carry(daemon, host, (update,)) for host in hosts]


def gossip_more(daemon):
    """Send extra datagrams while many updates wait (a split heals)."""
    waiting = sum(_bytes(update) for update in (
        _newest(daemon, host) for host in daemon.members.queue)
        if update is not None)
    if waiting <= params.UPDATES_BYTES:
        return []
    return [_carry(daemon, host, ())
            for host in _some_peers(daemon, params.EXTRA_GOSSIP)]


def start_sync(daemon, host):
    """Tell a host that joins of all others, some datagrams a period."""
    state = daemon.members
    if len(state.syncs) >= params.MAX_SYNCS:
        return []
    names = [name for name in st.peers(state) if name != host]
    daemon.rng.shuffle(names)
    state.syncs[host] = names
    return _sync_one(daemon, host)


def sync_more(daemon):
    """Go on telling hosts that join."""
    syncs = daemon.members.syncs
    out = []
    turns = itertools.cycle(list(syncs))
    for host in itertools.islice(turns, params.SYNC_DATAGRAMS):
        if host in syncs:
            out += _sync_one(daemon, host)
    return out


def _sync_one(daemon, host):
    state = daemon.members
    names = state.syncs[host]
    room = params.UPDATES_BYTES
    updates = []
    while names and room > 0:
        update = _newest(daemon, names[-1])
        room -= 0 if update is None else _bytes(update)
        if room < 0:
            break
        names.pop()
        if update is not None and update.address:
            updates.append(update)
    if not names:
        del state.syncs[host]
    if not updates:
        return []
    return [effects.Send(host, messages.ProbeAck(0, tuple(updates)))]
