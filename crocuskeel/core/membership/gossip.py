"""Dissemination: updates are piggybacked on probes and acks.

Each message carries a bounded number of updates. Each host sends an
update ``params.retransmit_limit`` times, the least sent first. Urgent
updates (suspicion, refutation, death, leaving) are also sent to some
hosts immediately, in acks that answer no probe (``seq`` 0).
"""

import dataclasses
import itertools

from crocuskeel.core import effects
from crocuskeel.core import follower
from crocuskeel.core.membership import params
from crocuskeel.core.membership import state as st
from crocuskeel.core import messages

__all__ = [
    "compact", "continue_syncs", "enqueue", "own_compact_update", "own_update",
    "pack", "repeat_urgent", "send_extra", "send_urgent", "start_sync",
    "suspicion_notice",
]

# Upper bounds of the encoded size of an update without its strings.
_FULL_BYTES = 50
_COMPACT_BYTES = 36
_COMPACT_FIELDS = {"address": "", "peer_port": 0, "door_port": 0,
                   "domain": "", "region": ""}
REPEAT_URGENT = "repeat"


def compact(update):
    """Return an update without address, ports, domain and region."""
    return dataclasses.replace(update, **_COMPACT_FIELDS)


def own_update(daemon):
    """Return the full update of this host with its generation."""
    state = daemon.membership
    generation = follower.generation(daemon)
    if state.own_update.generation != generation:
        state.own_update = dataclasses.replace(
            state.own_update, generation=generation)
    return state.own_update


def own_compact_update(daemon):
    """Return the compact update that this host sends with each ack."""
    return compact(own_update(daemon))


def suspicion_notice(daemon, host):
    """Return the update that says a host is suspect or dead, if any.

    It is sent to the host itself, which could not refute a suspicion
    that it never received.
    """
    member = daemon.membership.members.get(host)
    if member is None or member.update.status not in (st.SUSPECT, st.DEAD):
        return ()
    return (_disseminated_form(member),)


def enqueue(daemon, host):
    """Queue the newest update of a host for dissemination."""
    daemon.membership.pending_updates[host] = 0


def _disseminated_form(member):
    # Hosts that know a member keep its address, domain and region, so a
    # suspicion omits them. The compact update is cached because the loss
    # of a failure domain causes many messages.
    if member.update.status not in (st.SUSPECT, st.DEAD):
        return member.update
    if member.compact_update is None:
        member.compact_update = dataclasses.replace(
            member.update, load=0.0, generation=0, **_COMPACT_FIELDS)
    return member.compact_update


def _encoded_bytes(update):
    fixed = _FULL_BYTES if update.address else _COMPACT_BYTES
    return (fixed + len(update.host) + len(update.status)
            + len(update.address) + len(update.domain)
            + len(update.region))


def _newest_update(daemon, host):
    state = daemon.membership
    if host == state.own_update.host:
        return own_update(daemon)
    member = state.members.get(host)
    return None if member is None else _disseminated_form(member)


def pack(daemon, first=()):
    """Return ``first`` and as many queued updates as fit a datagram."""
    state = daemon.membership
    bytes_left = params.MAX_UPDATE_BYTES - sum(
        _encoded_bytes(update) for update in first)
    out = list(first)
    included = {update.host for update in first}
    limit = params.retransmit_limit(len(st.peers(state)) + 1)
    for host in sorted(state.pending_updates, key=state.pending_updates.get):
        update = _newest_update(daemon, host)
        if host in included and update is not None:
            continue
        if update is None or state.pending_updates[host] >= limit:
            del state.pending_updates[host]
            continue
        bytes_left -= _encoded_bytes(update)
        if bytes_left < 0:
            break
        out.append(update)
        state.pending_updates[host] += 1
    return tuple(out)


def _send_updates(daemon, host, first):
    return effects.Send(host, messages.ProbeAck(0, pack(daemon, first)))


def _random_peers(daemon, count):
    others = st.peers(daemon.membership)
    return daemon.rng.sample(others, min(count, len(others)))


def send_urgent(daemon, subject, extra_hosts=()):
    """Send the update of a host to some hosts now, and soon again.

    Without the repetition a lost datagram would delay the update until
    regular gossip reaches the host, perhaps after the suspicion timeout.
    """
    enqueue(daemon, subject)
    key = ("members", REPEAT_URGENT, subject)
    return [*_urgent_sends(daemon, subject, extra_hosts),
            effects.SetTimer(key, params.URGENT_REPEAT_S)]


def repeat_urgent(daemon, subject):
    """Send an urgent update a second time."""
    return _urgent_sends(daemon, subject, ())


def _urgent_sends(daemon, subject, extra_hosts):
    update = _newest_update(daemon, subject)
    if update is None:
        return []
    hosts = dict.fromkeys((
        *extra_hosts, *_random_peers(daemon, params.URGENT_FANOUT)))
    return [_send_updates(daemon, host, (update,)) for host in hosts]


def send_extra(daemon):
    """Send extra datagrams while many updates are queued.

    This happens when a partition heals.
    """
    queued_bytes = sum(_encoded_bytes(update) for update in (
        _newest_update(daemon, host)
        for host in daemon.membership.pending_updates)
        if update is not None)
    if queued_bytes <= params.MAX_UPDATE_BYTES:
        return []
    return [_send_updates(daemon, host, ())
            for host in _random_peers(daemon, params.EXTRA_GOSSIP_TARGETS)]


def start_sync(daemon, host):
    """Start to send a joining host all members, over some periods."""
    state = daemon.membership
    if len(state.syncs) >= params.MAX_SYNCS:
        return []
    names = [name for name in st.peers(state) if name != host]
    daemon.rng.shuffle(names)
    state.syncs[host] = names
    return _sync_one(daemon, host)


def continue_syncs(daemon):
    """Continue the syncs of joining hosts."""
    syncs = daemon.membership.syncs
    out = []
    turns = itertools.cycle(list(syncs))
    for host in itertools.islice(turns, params.SYNC_DATAGRAMS):
        if host in syncs:
            out += _sync_one(daemon, host)
    return out


def _sync_one(daemon, host):
    state = daemon.membership
    names = state.syncs[host]
    bytes_left = params.MAX_UPDATE_BYTES
    updates = []
    while names and bytes_left > 0:
        update = _newest_update(daemon, names[-1])
        bytes_left -= 0 if update is None else _encoded_bytes(update)
        if bytes_left < 0:
            break
        names.pop()
        if update is not None and update.address:
            updates.append(update)
    if not names:
        del state.syncs[host]
    if not updates:
        return []
    return [effects.Send(host, messages.ProbeAck(0, tuple(updates)))]
