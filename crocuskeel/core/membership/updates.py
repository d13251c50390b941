"""Judges what is said of a host against what is known of it.

Order of updates of one host: greater incarnation, then greater count of
refutations, then the worse status. Only the host itself starts an
incarnation or a refutation, so an old message never overrides a newer.
"""

import dataclasses

from crocuskeel.core import effects
from crocuskeel.core.membership import gossip
from crocuskeel.core.membership import params
from crocuskeel.core.membership import state as st

__all__ = ["DECLARE", "apply", "declare_dead", "newer", "suspect"]

DECLARE = "declare"
_RANK = {st.ALIVE: 0, st.LEAVING: 1, st.SUSPECT: 2, st.DEAD: 3}
_LABELS = ("address", "peer_port", "door_port", "domain", "region",
           "load", "generation")


def _order(update):
    return (update.incarnation, update.refutations,
            _RANK[update.status])


def newer(update, known):
    """Tell whether an update overrides what is known."""
    return _order(update) > _order(known)


def apply(daemon, update, sender, now):
    """Take one update in; return effects."""
    state = daemon.members
    if update.status not in _RANK:
        # Of a later version of this program.
        return []
    if update.host == state.me.host:
        return _of_me(daemon, update, sender)
    member = state.members.get(update.host)
    if member is None:
        return _join(daemon, update, now)
    known = member.update
    if update.incarnation > known.incarnation and not update.address:
        # The new incarnation may have another address; wait for it.
        return []
    if newer(update, known):
        update = _doubted(update, member, now)
    if newer(update, known):
        return _change(daemon, member, update, now)
    if update.incarnation == known.incarnation:
        _refresh(state, member, update, sender)
    return []


def _doubted(update, member, now):
    # After a split each side still tells of the other's death. Taken at
    # its word it would kill live hosts on their own side; as suspicion
    # it can be denied. Only of a host that has been a suspect here for
    # a while is the death believed.
    believed = (member.update.status == st.SUSPECT
                and now >= member.believe_from)
    if update.status == st.DEAD and not believed:
        return dataclasses.replace(update, status=st.SUSPECT)
    return update


def _of_me(daemon, update, sender):
    state = daemon.members
    me = state.me
    if update.incarnation > me.incarnation:
        return _superseded(state)
    stale = (update.incarnation < me.incarnation
             or update.refutations < me.refutations
             or update.status not in (st.SUSPECT, st.DEAD))
    if stale:
        return []
    # Said to be gone while running: a lost datagram, a pause or a
    # split. Only a greater count makes the others take it back.
    state.me = dataclasses.replace(
        me, refutations=update.refutations + 1)
    state.doubt = min(state.doubt + 1, params.MAX_DOUBT)
    record = effects.Record("suspicion_refuted", "", (
        ("by", sender), ("refutations", state.me.refutations)))
    also = (sender,) if sender in state.members else ()
    return [record, *gossip.shout(daemon, me.host, also)]


def _superseded(state):
    # Two processes with one host name: the others hold to the later
    # incarnation, so this one only disturbs if it goes on.
    if state.superseded:
        return []
    state.superseded = True
    st.changed(state)
    return [effects.Record("host_superseded", "",
                           (("host", state.me.host),))]


def _join(daemon, update, now):
    if update.status not in (st.ALIVE, st.LEAVING) or not update.address:
        return []
    state = daemon.members
    state.members[update.host] = st.Member(
        update, leaving=update.status == st.LEAVING, heard_at=now)
    _enter_round(daemon, update.host)
    st.changed(state)
    gossip.enqueue(daemon, update.host)
    return [_record("member_joined", update)]


def _enter_round(daemon, host):
    # At a random place, so that a newcomer is probed within one round.
    order = daemon.members.round
    order.insert(daemon.rng.randint(0, len(order)), host)


def _change(daemon, member, update, now):
    state = daemon.members
    known = member.update
    if update.incarnation > known.incarnation:
        member.leaving = False
        member.missed = 0
    if not update.address:
        update = dataclasses.replace(
            update, **{name: getattr(known, name) for name in _LABELS})
    member.update = update
    member.short = None
    member.leaving = member.leaving or update.status == st.LEAVING
    if _moves(known, update):
        st.changed(state)
    gossip.enqueue(daemon, update.host)
    if update.status == st.SUSPECT:
        return [_record("member_suspect", update),
                _give_time(daemon, member, now)]
    if update.status == st.DEAD:
        member.died_at = now
        kind = "member_left" if member.leaving else "member_dead"
        return [_record(kind, update)]
    return [_record("member_" + update.status, update)]


def _moves(known, update):
    # A suspicion changes neither who is live nor the ring.
    return (update.status in (st.DEAD, st.LEAVING)
            or known.status == st.DEAD
            or update.incarnation > known.incarnation)


def _refresh(state, member, update, sender):
    known = member.update
    if sender == update.host:
        # Load and generation move all the time; only the host itself
        # tells them, and they aren't worth a dissemination.
        member.update = dataclasses.replace(
            known, load=update.load, generation=update.generation)
    elif known.status == st.DEAD and update.status == st.ALIVE:
        # Others hold it alive: after a split it has to hear from us
        # that we don't, so that it can deny it.
        state.contested[update.host] = None


def _record(kind, update):
    return effects.Record(kind, "", (
        ("host", update.host), ("incarnation", update.incarnation),
        ("refutations", update.refutations)))


def _give_time(daemon, member, now):
    state = daemon.members
    hosts = len(st.peers(state)) + 1
    span = params.suspicion_span(hosts, state.doubt)
    member.deadline = now + span
    member.believe_from = now + span * params.BELIEVED_SHARE
    key = ("members", DECLARE, member.update.host)
    return effects.SetTimer(key, span)


def suspect(daemon, member, now):
    """Start to suspect a host that answered no probe."""
    update = dataclasses.replace(member.update, status=st.SUSPECT)
    out = _change(daemon, member, update, now)
    return out + gossip.shout(daemon, update.host, (update.host,))


def declare_dead(daemon, host, now):
    """Declare a suspect dead whose time is up."""
    member = daemon.members.members.get(host)
    if member is None or member.update.status != st.SUSPECT:
        return []
    left = member.deadline - now
    if left > 0:
        key = ("members", DECLARE, host)
        return [effects.SetTimer(key, left)]
    update = dataclasses.replace(member.update, status=st.DEAD)
    out = _change(daemon, member, update, now)
    return out + gossip.shout(daemon, host)
