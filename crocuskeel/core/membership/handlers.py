"""Applies events to the membership state."""

import dataclasses

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.membership import gossip
from crocuskeel.core.membership import probing
from crocuskeel.core.membership import state as st
from crocuskeel.core.membership import updates
from crocuskeel.core import messages

__all__ = ["handle", "record_contact"]

_PREFIX = "members"


def handle(daemon, event, now):
    """Handle one event; return effects."""
    match event:
        case events.Started():
            return probing.start(daemon, now)
        case events.TimerFired(key=key) if key[0] == _PREFIX:
            probing.detect_pause(daemon.membership, now)
            return _timer(daemon, key, now)
        case events.Received():
            return _received(daemon, event, now)
        case events.HostListSeen(entries=entries):
            _update_listed(daemon.membership, entries)
        case events.DrainAsked():
            return _start_leaving(daemon)
    return []


def _timer(daemon, key, now):
    match key:
        case (_, "tick"):
            return probing.tick(daemon, now)
        case (_, probing.DIRECT_TIMEOUT, seq):
            return probing.direct_probe_timed_out(daemon, seq)
        case (_, probing.PROBE_FAILED, seq):
            return probing.probe_failed(daemon, seq, now)
        case (_, updates.DECLARE_DEAD, host):
            return updates.declare_dead(daemon, host, now)
        case (_, gossip.REPEAT_URGENT, subject):
            return gossip.repeat_urgent(daemon, subject)
    return []


def record_contact(daemon, event, now):
    """Record contact with a member; any of its messages counts."""
    state = daemon.membership
    member = state.members.get(event.sender)
    if member is None:
        return
    if event.incarnation == member.update.incarnation:
        member.last_contact_at = now
        state.last_contact_at = now


def _received(daemon, event, now):
    state = daemon.membership
    if state.superseded or event.sender == state.own_update.host:
        return []
    record_contact(daemon, event, now)
    member = state.members.get(event.sender)
    if member and event.incarnation < member.update.incarnation:
        return _reject_old_incarnation(event, member)
    out = []
    for update in event.message.updates:
        out += updates.apply(daemon, update, event.sender, now)
    newcomer = member is None and event.sender in state.members
    return out + _reply(daemon, event, newcomer, now)


def _reply(daemon, event, newcomer, now):
    sender = event.sender
    match event.message:
        case messages.Probe(seq=seq):
            out = [_ack(daemon, sender, seq)]
            if newcomer:
                out += gossip.start_sync(daemon, sender)
            return out
        case messages.ProbeAck(seq=seq) if seq:
            return probing.ack_received(daemon, seq)
        case messages.ProbeVia() as request:
            return probing.probe_on_behalf(daemon, sender, request, now)
    return []


def _ack(daemon, host, seq):
    if seq == 0:
        # First contact: the sender may not know this host yet.
        own = gossip.own_update(daemon)
    else:
        own = gossip.own_compact_update(daemon)
    first = (own, *gossip.suspicion_notice(daemon, host))
    return effects.Send(
        host, messages.ProbeAck(seq, gossip.pack(daemon, first)))


def _reject_old_incarnation(event, member):
    # An older process still runs under this host name. A reply to its
    # own address makes it stop taking part.
    for update in event.message.updates:
        if update.host == event.sender and update.address:
            reply = messages.ProbeAck(0, (member.update,))
            return [effects.Send(event.sender, reply, update.address,
                                 update.peer_port)]
    return []


def _update_listed(state, entries):
    state.listed = {
        entry.host: (entry.address, entry.peer_port)
        for entry in entries
        if entry.address and entry.status != st.LEAVING}


def _start_leaving(daemon):
    state = daemon.membership
    state.own_update = dataclasses.replace(state.own_update, status=st.LEAVING)
    st.invalidate_caches(state)
    return gossip.send_urgent(daemon, state.own_update.host)
