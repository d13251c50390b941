"""Who holds the duties: the lease among the hosts that carry callers.

The load that this answers: hosts that are killed, paused, cut off from
the store or stopped in turn, some at the same moment, beside a platform
that checks no fencing number. A holder acts only while its lease is
certain, and what it sends is given up at the lease's end. Others wait for
the whole span after the last sign of it, which hosts tell each other, so
that in calm only the holder calls the store.
"""

from crocuskeel.core.duties import book as books
from crocuskeel.core.duties import counting
from crocuskeel.core.duties import state as states
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import telling
from crocuskeel.core import leadership
from crocuskeel.core.leadership import effects as lease_effects
from crocuskeel.core.leadership import events as lease_events
from crocuskeel.core.leadership import lease as leases

__all__ = ["acts_until", "config", "heard", "is_holder", "lease_read",
           "lease_written", "may_act", "record", "step", "stop"]

# Shares of the deployment's lease span: with a renewal at each third two
# may be lost; an eighth, some 0.4 s, covers what the network holds back
# and clocks that run apart.
RENEW_SHARE = 1 / 3
MARGIN_SHARE = 1 / 8
# A host that finds the lease free or silent waits so long for each host
# that goes before it, s: more than a read and a write of the store take.
TURN_S = 0.5
# A host that has just begun hears first who holds the lease, s: it takes
# others two of their datagrams.
HEAR_S = 1.0
# A step so much later than the one before shows a pause, s: steps come
# each 0.3 s and are late by less on a slow host.
JUMP_S = 1.0


def config(host_name, lease_s):
    """Return the settings of the lease for a span of so many seconds.

    A host that was the holder rests for a span and what its last call
    may take: no other holder can act in between and be followed by it
    within a span.
    """
    margin_s = lease_s * MARGIN_SHARE
    return leadership.Config(
        host_name, span_s=lease_s, margin_s=margin_s,
        renew_s=lease_s * RENEW_SHARE, jump_s=JUMP_S, order_s=lease_s,
        rest_s=lease_s + margin_s)


def is_holder(duties):
    """Say whether this host holds the lease, as far as it knows."""
    return duties.candidate.lease.holding and not duties.releasing


def may_act(duties, now):
    """Say whether this host may do the duties now."""
    return is_holder(duties) and leases.fresh(duties.candidate, now)


def acts_until(duties):
    """Return when a call that is made now must have ended."""
    return leases.ends_at(duties.candidate)


def record(duties):
    """Return what this holder leaves to the next one."""
    return books.write(duties.book, duties.tables)


def step(host, now):
    """Hold the lease, or try to when it is this host's turn."""
    duties = host.duties
    out = leases.notice_clock(duties.candidate, now)
    lease = duties.candidate.lease
    if duties.candidate.stopping and not lease.unsettled:
        return _notes(out + _release(duties, now))
    if lease.holding or lease.unsettled or _is_its_turn(host, now):
        out += leases.step(duties.candidate, now)
    return _notes(out)


def _is_its_turn(host, now):
    """Say whether this host should look at the lease, and take it."""
    duties = host.duties
    candidate = duties.candidate
    if now < candidate.rests_until and candidate.lease.seen_version >= 0:
        return False
    place = _place(host, now)
    if place is None:
        return False
    if candidate.lease.seen_version < 0:
        since = duties.begun_at + HEAR_S
    elif duties.free_at is not None:
        since = duties.free_at
    else:
        since = leases.lapses_at(candidate)
    return now >= since + place * TURN_S


def _place(host, now):
    """Return this host's place among those that may hold the lease."""
    names = [peer.name for peer in fleet.carriers(host, now)]
    if host.me.name not in names:
        return None
    return names.index(host.me.name)


def lease_read(host, event, now):
    """Take the lease object as read."""
    return _took(host, leases.on_read, event, now)


def lease_written(host, event, now):
    """Take the answer to a write of the lease object."""
    duties = host.duties
    if duties is not None and duties.releasing:
        return _released(duties, event) + telling.tell_lease(host, now)
    return _took(host, leases.on_written, event, now)


def _took(host, take, event, now):
    duties = host.duties
    if duties is None:
        return []
    candidate = duties.candidate
    out = leases.notice_clock(candidate, now)
    fence = candidate.lease.fence
    out += take(candidate, event, now)
    if candidate.lease.fence != fence:
        out += _begin_or_end(duties, now)
    known = duties.leader.version
    _learn(duties, now)
    if duties.leader.version != known:
        out += telling.tell_lease(host, now)
    return _notes(out)


def _begin_or_end(duties, now):
    """Take over what the last holder left, or forget what was held."""
    lease = duties.candidate.lease
    duties.calls = {}
    duties.book = books.Book()
    if not lease.holding:
        return []
    try:
        duties.book, tables = books.read(lease.record)
    except ValueError as exc:
        return [effects.Note("bad_record", {"why": str(exc)})]
    for name, boot, rows in tables:
        counting.merge(duties.tables.setdefault((name, boot), {}), rows)
    return []


def _learn(duties, now):
    """Note what this host itself knows of the lease, to tell others."""
    candidate = duties.candidate
    lease = candidate.lease
    if lease.holding:
        found = states.Leader(
            lease.version, candidate.cfg.host, lease.fence)
    else:
        found = states.Leader(
            max(lease.seen_version, lease.read_version), lease.holder)
    _take_leader(duties, found, now)


def _take_leader(duties, found, now):
    if found.version <= duties.leader.version:
        return
    duties.leader = found
    is_free = found.version > 0 and not found.host
    duties.free_at = now if is_free else None


def heard(duties, told, now):
    """Take what another host knows of the lease: a state.Leader."""
    if told.version > duties.leader.version:
        _take_leader(duties, told, now)
        leases.hear(duties.candidate, told.version, now)


def stop(host, now):
    """Hold no lease from here on: the host stops as planned."""
    if host.duties is None:
        return []
    host.duties.candidate.stopping = True
    return step(host, now)


def _release(duties, now):
    """Free the lease, once no call of a duty is under way."""
    candidate = duties.candidate
    lease = candidate.lease
    if duties.releasing or lease.open_call or not leases.fresh(
            candidate, now):
        return []
    if any(known.under_way for known in duties.calls.values()):
        return []
    duties.releasing = True
    lease.record = record(duties)
    return [leases.release(candidate, now)]


def _released(duties, event):
    """Tell others that the lease is free, if it is."""
    if event.status is lease_events.Status.WRITTEN:
        duties.leader = states.Leader(event.version)
    duties.candidate.lease = leadership.Lease()
    return [effects.Note("lease_released", {
        "status": event.status.value, "version": event.version})]


def _notes(found):
    """Return the effects with records as lines of the log."""
    return [effects.Note(effect.kind, dict(effect.fields))
            if isinstance(effect, lease_effects.Record) else effect
            for effect in found]
