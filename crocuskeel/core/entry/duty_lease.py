"""The lease on the duties, held by one of the hosts that serve callers.

It is designed for hosts that are killed, paused, cut off from the store
or stopped, also several at the same time, and for a platform that checks
no fencing token. A holder acts only while its lease is certainly valid,
and its calls are aborted at the lease's end. Other hosts wait for a whole
span after the last known renewal. Hosts tell each other of renewals, so
that in normal operation only the holder calls the store.
"""

from crocuskeel.core.duties import counting
from crocuskeel.core.duties import handover as handovers
from crocuskeel.core.duties import state as states
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import gossip
from crocuskeel.core import leadership
from crocuskeel.core.leadership import effects as lease_effects
from crocuskeel.core.leadership import events as lease_events
from crocuskeel.core.leadership import lease as leases
from crocuskeel.core import revisions

__all__ = ["acts_until", "config", "is_holder", "leader_received",
           "lease_read", "lease_record", "lease_written", "may_act", "step",
           "stop", "store_era_seen"]

# Shares of the deployment's lease span. With a renewal every third of it,
# two renewals may be lost. A margin of an eighth, some 0.4 s, covers delays in
# the network and clocks that run at different rates.
RENEW_SHARE = 1 / 3
MARGIN_SHARE = 1 / 8
# A host that finds the lease free or expired waits this long for each host
# ahead of it in the order, s: longer than a read and a write of the store.
STAGGER_S = 0.5
# A host that has just started waits this long to learn who holds the
# lease, s: other hosts send two datagrams in that time.
DISCOVERY_S = 1.0
# A step that comes later than this after the previous one indicates a
# pause, s: steps are 0.3 s apart, and a slow host delays them by less.
JUMP_S = 1.0


def config(host_name, lease_s):
    """Return the settings of a lease whose span is ``lease_s``.

    A host that was the holder does not acquire the lease again for a span
    and a margin, which also covers its last call. So another holder can't
    act in between and be followed by the first one within a span.
    """
    margin_s = lease_s * MARGIN_SHARE
    return leadership.Config(
        host_name, span_s=lease_s, margin_s=margin_s,
        renew_s=lease_s * RENEW_SHARE, jump_s=JUMP_S, order_s=lease_s,
        cooldown_s=lease_s + margin_s)


def is_holder(duties):
    """Return whether this host holds the lease, as far as it knows."""
    return duties.lease_state.lease.holding and not duties.releasing


def may_act(duties, now):
    """Return whether this host may do the duties now."""
    return is_holder(duties) and leases.is_valid(duties.lease_state, now)


def acts_until(duties):
    """Return the time by which a call made now must have ended."""
    return leases.ends_at(duties.lease_state)


def lease_record(duties):
    """Return the record that this holder hands over to the next one."""
    return handovers.write(duties.handover, duties.tables)


def step(host, now):
    """Renew the lease, or try to acquire it when it is this host's turn."""
    duties = host.duties
    out = leases.detect_pause(duties.lease_state, now)
    lease = duties.lease_state.lease
    if duties.lease_state.stopping and not lease.write_uncertain:
        return _log_records(out + _release(duties, now))
    if lease.holding or lease.write_uncertain or _is_its_turn(host, now):
        out += leases.step(duties.lease_state, now)
    return _log_records(out)


def _is_its_turn(host, now):
    """Return whether this host should read the lease, and acquire it."""
    duties = host.duties
    candidate = duties.lease_state
    if now < candidate.cooldown_until and candidate.lease.seen_version >= 0:
        return False
    position = _position(host, now)
    if position is None:
        return False
    if candidate.lease.seen_version < 0:
        since = duties.begun_at + DISCOVERY_S
    elif duties.free_at is not None:
        since = duties.free_at
    else:
        since = leases.lapses_at(candidate)
    return now >= since + position * STAGGER_S


def _position(host, now):
    """Return this host's position among those that may hold the lease."""
    names = [peer.name for peer in fleet.serving_hosts(host, now)]
    if host.self_peer.name not in names:
        return None
    return names.index(host.self_peer.name)


def lease_read(host, event, now):
    """Handle the response to a read of the lease object."""
    return _handle_result(host, leases.on_read, event, now)


def lease_written(host, event, now):
    """Handle the response to a write of the lease object."""
    duties = host.duties
    if duties is not None and duties.releasing:
        return _released(duties, event) + gossip.broadcast_lease(host, now)
    return _handle_result(host, leases.on_written, event, now)


def _handle_result(host, handler, event, now):
    duties = host.duties
    if duties is None:
        return []
    candidate = duties.lease_state
    out = leases.detect_pause(candidate, now)
    fence = candidate.lease.fence
    out += handler(candidate, event, now)
    if candidate.lease.fence != fence:
        out += _holder_changed(host, now)
    known_version = duties.leader.version
    _update_leader(duties, now)
    if duties.leader.version != known_version:
        out += gossip.broadcast_lease(host, now)
    return _log_records(out)


def _holder_changed(host, now):
    """Take over the last holder's record, or drop this holder's state."""
    duties = host.duties
    lease = duties.lease_state.lease
    duties.calls = {}
    duties.handover = handovers.HandoverState()
    if not lease.holding:
        return []
    try:
        duties.handover, tables = handovers.read(lease.record)
    except ValueError as exc:
        return [effects.LogEvent("bad_record", {"why": str(exc)})]
    for name, boot, rows in tables:
        counting.merge(duties.tables.setdefault((name, boot), {}), rows)
    if lease.record_era < revisions.era(lease.version):
        # Other holders may have decided more, or otherwise, before the store
        # was restored. The next write is of the new era.
        duties.handover.done = None
        duties.handover.decided = {}
        lease.record = lease_record(duties)
        return [effects.LogEvent("reports_begin_anew", {
            "era": revisions.era(lease.version)})]
    return []


def _update_leader(duties, now):
    """Record what this host itself knows of the lease, for other hosts."""
    candidate = duties.lease_state
    lease = candidate.lease
    if lease.holding:
        leader = states.Leader(
            lease.version, candidate.cfg.host, lease.fence)
    else:
        leader = states.Leader(
            max(lease.seen_version, lease.read_version), lease.holder)
    _set_leader(duties, leader, now)


def _set_leader(duties, leader, now):
    if leader.version <= duties.leader.version:
        return
    duties.leader = leader
    is_free = leader.version > 0 and not leader.host
    duties.free_at = now if is_free else None


def leader_received(duties, leader, now):
    """Update the state from another host's state.Leader."""
    leases.note_era(duties.lease_state, revisions.era(leader.version), now)
    if leader.version > duties.leader.version:
        _set_leader(duties, leader, now)
        leases.note_version(duties.lease_state, leader.version, now)


def stop(host, now):
    """Release the lease and acquire it no more: the host is stopping."""
    if host.duties is None:
        return []
    host.duties.lease_state.stopping = True
    return step(host, now)


def _release(duties, now):
    """Release the lease once no call of a duty is in progress."""
    candidate = duties.lease_state
    lease = candidate.lease
    if duties.releasing or lease.call_in_progress or not leases.is_valid(
            candidate, now):
        return []
    if any(call.in_progress for call in duties.calls.values()):
        return []
    duties.releasing = True
    lease.record = lease_record(duties)
    return [leases.release(candidate, now)]


def _released(duties, event):
    """Record that the lease is free if the release took effect."""
    if event.status is lease_events.Status.WRITTEN:
        duties.leader = states.Leader(event.version)
    duties.lease_state.lease = leadership.Lease()
    return [effects.LogEvent("lease_released", {
        "status": event.status.value, "version": event.version})]


def _log_records(lease_effs):
    """Return the effects with Record effects turned into log lines."""
    return [effects.LogEvent(effect.kind, dict(effect.fields))
            if isinstance(effect, lease_effects.Record) else effect
            for effect in lease_effs]


def store_era_seen(host, event, now):
    """Record the store's era; the holder reads its lease again."""
    if host.duties is not None:
        leases.note_era(host.duties.lease_state, event.era, now)
    return []
