"""Applies updates about members to the membership state.

Updates about one host are ordered by incarnation, then by the count of
refutations, then by severity of the status. Only the host itself starts
an incarnation or a refutation, so an old message never overrides a newer
one.
"""

import dataclasses

from crocuskeel.core import effects
from crocuskeel.core.membership import gossip
from crocuskeel.core.membership import params
from crocuskeel.core.membership import state as st

__all__ = ["DECLARE_DEAD", "apply", "declare_dead", "overrides", "suspect"]

DECLARE_DEAD = "declare"
_SEVERITY = {st.ALIVE: 0, st.LEAVING: 1, st.SUSPECT: 2, st.DEAD: 3}
_FULL_FIELDS = ("address", "peer_port", "door_port", "domain", "region",
                "load", "generation")


def _precedence(update):
    return (update.incarnation, update.refutations,
            _SEVERITY[update.status])


def overrides(update, known):
    """Return whether an update overrides the known one."""
    return _precedence(update) > _precedence(known)


def apply(daemon, update, sender, now):
    """Apply one update; return effects."""
    state = daemon.membership
    if update.status not in _SEVERITY:
        # Sent by a later version of this program.
        return []
    if update.host == state.own_update.host:
        return _apply_to_self(daemon, update, sender)
    member = state.members.get(update.host)
    if member is None:
        return _join(daemon, update, now)
    known = member.update
    if update.incarnation > known.incarnation and not update.address:
        # The new incarnation may have another address; wait for an
        # update that has it.
        return []
    if overrides(update, known):
        update = _downgrade_death(update, member, now)
    if overrides(update, known):
        return _change(daemon, member, update, now)
    if update.incarnation == known.incarnation:
        _refresh(state, member, update, sender)
    return []


def _downgrade_death(update, member, now):
    # After a partition each side still reports the deaths of the other
    # side. Accepting these would declare hosts dead on their own side; a
    # suspicion can be refuted. So a reported death is accepted only for
    # a host that has been suspect here for some time.
    accepted = (member.update.status == st.SUSPECT
                and now >= member.accept_death_from)
    if update.status == st.DEAD and not accepted:
        return dataclasses.replace(update, status=st.SUSPECT)
    return update


def _apply_to_self(daemon, update, sender):
    state = daemon.membership
    own = state.own_update
    if update.incarnation > own.incarnation:
        return _mark_superseded(state)
    stale = (update.incarnation < own.incarnation
             or update.refutations < own.refutations
             or update.status not in (st.SUSPECT, st.DEAD))
    if stale:
        return []
    # Reported suspect or dead while running, after lost datagrams, a
    # pause or a partition. Only a greater refutation count overrides the
    # report at the other hosts.
    state.own_update = dataclasses.replace(
        own, refutations=update.refutations + 1)
    state.health_score = min(state.health_score + 1, params.MAX_HEALTH_SCORE)
    record = effects.Record("suspicion_refuted", "", (
        ("by", sender), ("refutations", state.own_update.refutations)))
    extra_hosts = (sender,) if sender in state.members else ()
    return [record, *gossip.send_urgent(daemon, own.host, extra_hosts)]


def _mark_superseded(state):
    # Two processes share one host name. The others follow the later
    # incarnation, so this process must stop taking part.
    if state.superseded:
        return []
    state.superseded = True
    st.invalidate_caches(state)
    return [effects.Record("host_superseded", "",
                           (("host", state.own_update.host),))]


def _join(daemon, update, now):
    if update.status not in (st.ALIVE, st.LEAVING) or not update.address:
        return []
    state = daemon.membership
    state.members[update.host] = st.Member(
        update, leaving=update.status == st.LEAVING, last_contact_at=now)
    _add_to_round(daemon, update.host)
    st.invalidate_caches(state)
    gossip.enqueue(daemon, update.host)
    return [_record("member_joined", update)]


def _add_to_round(daemon, host):
    # At a random position, so that a new host is probed within a round.
    order = daemon.membership.round
    order.insert(daemon.rng.randint(0, len(order)), host)


def _change(daemon, member, update, now):
    state = daemon.membership
    known = member.update
    if update.incarnation > known.incarnation:
        member.leaving = False
        member.failed_probes = 0
    if not update.address:
        update = dataclasses.replace(
            update, **{name: getattr(known, name) for name in _FULL_FIELDS})
    member.update = update
    member.compact_update = None
    member.leaving = member.leaving or update.status == st.LEAVING
    if _affects_live_hosts(known, update):
        st.invalidate_caches(state)
    gossip.enqueue(daemon, update.host)
    if update.status == st.SUSPECT:
        return [_record("member_suspect", update),
                _start_suspicion_timer(daemon, member, now)]
    if update.status == st.DEAD:
        member.died_at = now
        kind = "member_left" if member.leaving else "member_dead"
        return [_record(kind, update)]
    return [_record("member_" + update.status, update)]


def _affects_live_hosts(known, update):
    # A suspicion changes neither the live hosts nor the ring.
    return (update.status in (st.DEAD, st.LEAVING)
            or known.status == st.DEAD
            or update.incarnation > known.incarnation)


def _refresh(state, member, update, sender):
    known = member.update
    if sender == update.host:
        # Load and generation change all the time. They are taken only
        # from the host itself and are not disseminated.
        member.update = dataclasses.replace(
            known, load=update.load, generation=update.generation)
    elif known.status == st.DEAD and update.status == st.ALIVE:
        # Other members consider it alive. After a partition, this host
        # must tell it that it is considered dead here, so that it can
        # refute that.
        state.contested[update.host] = None


def _record(kind, update):
    return effects.Record(kind, "", (
        ("host", update.host), ("incarnation", update.incarnation),
        ("refutations", update.refutations)))


def _start_suspicion_timer(daemon, member, now):
    state = daemon.membership
    hosts = len(st.peers(state)) + 1
    span = params.suspicion_timeout(hosts, state.health_score)
    member.deadline = now + span
    member.accept_death_from = now + span * params.DEATH_ACCEPTANCE_SHARE
    key = ("members", DECLARE_DEAD, member.update.host)
    return effects.SetTimer(key, span)


def suspect(daemon, member, now):
    """Mark a host as suspect after a failed probe."""
    update = dataclasses.replace(member.update, status=st.SUSPECT)
    out = _change(daemon, member, update, now)
    return out + gossip.send_urgent(daemon, update.host, (update.host,))


def declare_dead(daemon, host, now):
    """Declare a suspect dead once its suspicion timeout is over."""
    member = daemon.membership.members.get(host)
    if member is None or member.update.status != st.SUSPECT:
        return []
    time_left = member.deadline - now
    if time_left > 0:
        key = ("members", DECLARE_DEAD, host)
        return [effects.SetTimer(key, time_left)]
    update = dataclasses.replace(member.update, status=st.DEAD)
    out = _change(daemon, member, update, now)
    return out + gossip.send_urgent(daemon, host)
