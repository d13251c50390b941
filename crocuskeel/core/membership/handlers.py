"""Reduces events into the membership state."""

import dataclasses

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.membership import gossip
from crocuskeel.core.membership import probing
from crocuskeel.core.membership import state as st
from crocuskeel.core.membership import updates
from crocuskeel.core import messages

__all__ = ["handle", "hear"]

_PREFIX = "members"


def handle(daemon, event, now):
    """Reduce one event; return effects."""
    match event:
        case events.Started():
            return probing.start(daemon, now)
        case events.TimerFired(key=key) if key[0] == _PREFIX:
            probing.notice_pause(daemon.members, now)
            return _timer(daemon, key, now)
        case events.Received():
            return _received(daemon, event, now)
        case events.HostListSeen(entries=entries):
            _listed(daemon.members, entries)
        case events.DrainAsked():
            return _leave(daemon)
    return []


def _timer(daemon, key, now):
    match key:
        case (_, "tick"):
            return probing.tick(daemon, now)
        case (_, probing.DIRECT, seq):
            return probing.unanswered(daemon, seq)
        case (_, probing.FAILED, seq):
            return probing.failed(daemon, seq, now)
        case (_, updates.DECLARE, host):
            return updates.declare_dead(daemon, host, now)
        case (_, gossip.REPEAT, about):
            return gossip.repeat(daemon, about)
    return []


def hear(daemon, event, now):
    """Note a sign of life; any message of a peer is one."""
    state = daemon.members
    member = state.members.get(event.sender)
    if member is None:
        return
    if event.incarnation == member.update.incarnation:
        member.heard_at = now
        state.heard_at = now


def _received(daemon, event, now):
    state = daemon.members
    if state.superseded or event.sender == state.me.host:
        return []
    hear(daemon, event, now)
    member = state.members.get(event.sender)
    if member and event.incarnation < member.update.incarnation:
        return _outdated(event, member)
    out = []
    for update in event.message.updates:
        out += updates.apply(daemon, update, event.sender, now)
    newcomer = member is None and event.sender in state.members
    return out + _answer(daemon, event, newcomer, now)


def _answer(daemon, event, newcomer, now):
    sender = event.sender
    match event.message:
        case messages.Probe(seq=seq):
            out = [_ack(daemon, sender, seq)]
            if newcomer:
                out += gossip.start_sync(daemon, sender)
            return out
        case messages.ProbeAck(seq=seq) if seq:
            return probing.acked(daemon, seq)
        case messages.ProbeVia() as ask:
            return probing.probe_for(daemon, sender, ask, now)
    return []


def _ack(daemon, host, seq):
    if seq == 0:
        # A first contact: the sender may not know this host yet.
        mine = gossip.of_me(daemon)
    else:
        mine = gossip.own(daemon)
    first = (mine, *gossip.told(daemon, host))
    return effects.Send(
        host, messages.ProbeAck(seq, gossip.pack(daemon, first)))


def _outdated(event, member):
    # A second process runs under this host's name and started earlier.
    # Told so at its own address, it stops.
    for update in event.message.updates:
        if update.host == event.sender and update.address:
            reply = messages.ProbeAck(0, (member.update,))
            return [effects.Send(event.sender, reply, update.address,
                                 update.peer_port)]
    return []


def _listed(state, entries):
    state.listed = {
        entry.host: (entry.address, entry.peer_port)
        for entry in entries
        if entry.address and entry.status != st.LEAVING}


def _leave(daemon):
    state = daemon.members
    state.me = dataclasses.replace(state.me, status=st.LEAVING)
    st.changed(state)
    return gossip.shout(daemon, state.me.host)
