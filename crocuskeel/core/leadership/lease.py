"""The lease: one object of the store, renewed by its holder.

The fencing token is the object's version right after the acquisition,
and stays the same through all renewals. Versions only grow, and an
acquisition is a conditional update of the newest version, so the token
is higher than every version that any earlier holder saw.

The object also contains a record of the holder, which the next holder
takes over. As each write is conditional, no record is lost or replaced
by one that is based on an older record.

Clocks of hosts are never compared. The holder measures its span from
before it sent a write; a candidate measures from after it read that
write's version. So the holder's span ends first, and ``margin_s``,
applied on both sides, covers clocks that run at different rates.

The store may be restored from a copy in which the object is older or
missing. Versions contain the store's era (core.revisions), so they grow all
the same, and the object contains the era that its record is of. While an
object of a former era stands there, nobody has renewed the lease since the
restore. The holder whose lease is still valid writes its own object again;
any other process waits for a whole span, even if the copy shows the lease as
free.
"""

from crocuskeel.core.leadership import effects
from crocuskeel.core.leadership import events
from crocuskeel.core.leadership import state as states
from crocuskeel.core.leadership import stored_lease
from crocuskeel.core import revisions

__all__ = ["check_fence", "detect_pause", "ends_at", "is_valid", "lapses_at",
           "note_era", "note_version", "on_read", "on_written", "release",
           "step", "step_down"]

_NONCE_BITS = 128
Status = events.Status


def is_valid(state, now):
    """Return whether this process may act as the holder now."""
    lease = state.lease
    return (lease.holding and lease.confirmed_at >= lease.doubted_at
            and now < ends_at(state))


def ends_at(state):
    """Return until when the holder may act unless it renews the lease."""
    cfg = state.cfg
    return state.lease.confirmed_at + cfg.span_s - cfg.margin_s


def note_era(state, era, now):
    """Record an era of the store that an answer or another process shows.

    A holder reads the object before it relies on its version again.
    """
    if era <= state.era:
        return
    state.era = era
    lease = state.lease
    if lease.holding and revisions.era(lease.version) < era:
        lease.write_uncertain = True
        lease.due_at = now


def note_version(state, version, now):
    """Record a version of the object that another process reports.

    The write that created this version was sent before the report, so
    its holder's span ends no later than a span after now.
    """
    lease = state.lease
    if not lease.holding and version > lease.seen_version:
        lease.seen_version = version
        lease.seen_at = now


def lapses_at(state):
    """Return when the span of the last observed holder is over."""
    lease, cfg = state.lease, state.cfg
    return lease.seen_at + max(cfg.span_s, lease.span_s) + cfg.margin_s


def detect_pause(state, now):
    """Detect a pause of this process and stop relying on the lease.

    It has to be called before anything else. After a pause, a holder's
    lease may seem valid because the pause was short, or because the clock
    stood still for part of it. No order is sent until a renewal that was
    sent after the pause is confirmed.
    """
    last, state.last_step_at = state.last_step_at, now
    if last is None or 0 <= now - last <= state.cfg.jump_s:
        return []
    state.lease.due_at = now
    if not state.lease.holding:
        return []
    state.lease.doubted_at = now
    return [_record("clock_jump", ("jump_s", round(now - last, 3)))]


def step(state, now):
    """Read or renew the lease if that is due."""
    lease = state.lease
    effs = _detect_lapse(state, now)
    if lease.call_in_progress or now < lease.due_at:
        return effs
    lease.due_at = now + state.cfg.renew_s
    lease.call_in_progress = True
    if not is_valid(state, now) or lease.write_uncertain:
        # A write with a number that the restored store has again would
        # succeed although another process holds the lease.
        return effs + [effects.ReadLease()]
    return effs + [_renewal(state, now)]


def _detect_lapse(state, now):
    lease = state.lease
    lapsed = lease.holding and not is_valid(state, now)
    changed, lease.lapsed = lapsed != lease.lapsed, lapsed
    if not (changed and lapsed):
        return []
    return [_record("lease_lapsed", ("fence", lease.fence))]


def _renewal(state, now):
    lease = state.lease
    lease.number += 1
    return _write(state, state.cfg.host, lease.nonce, now,
                  revisions.era(lease.version))


def _write(state, holder, nonce, now, era):
    lease, cfg = state.lease, state.cfg
    # A repeated acquisition has the same number: whichever of the two
    # writes took effect, the span is measured from the first sending.
    sent = lease.sent.setdefault(
        lease.number, states.Sent(now, lease.record, era))
    body = stored_lease.encode(stored_lease.StoredLease(
        holder, nonce, lease.number, cfg.span_s, cfg.order_s, sent.record,
        sent.era))
    return effects.WriteLease(
        lease.nonce, lease.number, body, lease.version)


def release(state, now):
    """Return the write that releases the lease at a graceful shutdown."""
    lease = state.lease
    lease.call_in_progress = True
    lease.number += 1
    return _write(state, "", "", now, revisions.era(lease.version))


# Responses of the store.

def on_read(state, event, now):
    """Handle a read: update the known version and holder of the lease."""
    lease = state.lease
    lease.call_in_progress = False
    if event.status not in (Status.FOUND, Status.NOT_FOUND):
        return []
    stored = stored_lease.StoredLease("", "", 0, 0.0, 0.0)
    if event.status is Status.FOUND:
        stored = stored_lease.decode(event.body)
    note_era(state, revisions.era(event.version), now)
    valid = is_valid(state, now)
    restored = _is_of_former_era(lease, event.version)
    is_own = lease.nonce and stored.nonce == lease.nonce
    if (is_own and stored.renewals in lease.sent
            and (valid or not restored)):
        return _confirm_own(state, event.version, stored.renewals, now)
    if restored and valid and _precedes_restore(stored, event):
        return _resume(state, event.version, now)
    if lease.holding:
        # Another process acquired the lease, or the object was removed.
        return _lose(state, "lease_lost", now) + _observe(
            state, event.version, stored, now)
    return _observe(state, event.version, stored, now)


def _confirm_own(state, version, number, now):
    """Confirm a write that was read, and renew the lease if it lapsed."""
    effs = _confirm(state, version, number, now)
    if is_valid(state, now) or state.stopping:
        return effs
    state.lease.call_in_progress = True
    return effs + [_renewal(state, now)]


def _precedes_restore(stored, event):
    """Return whether nobody wrote the object since the store's restore."""
    if event.status is Status.NOT_FOUND:
        return True
    return stored.era is not None and stored.era < revisions.era(
        event.version)


def _resume(state, version, now):
    """Write the valid lease again, over an older object or none."""
    lease = state.lease
    lease.version = version
    lease.write_uncertain = False
    lease.call_in_progress = True
    return [_record("lease_resumed", ("fence", lease.fence)),
            _renewal(state, now)]


def _observe(state, version, stored, now):
    lease, cfg = state.lease, state.cfg
    if version != lease.seen_version:
        lease.seen_version = version
        lease.seen_at = now
    if version != lease.read_version:
        lease.read_version = version
        lease.holder = stored.holder
        lease.span_s = max(cfg.span_s, stored.span_s)
        lease.order_s = max(cfg.order_s, stored.order_s)
        lease.record = stored.record
        lease.record_era = revisions.era(version)
        if stored.era is not None:
            lease.record_era = min(lease.record_era, stored.era)
        # A write of our own to an older version can't take effect any more.
        lease.nonce = ""
    released = (
        revisions.number(version) > 0 and not stored.nonce
        and lease.record_era == revisions.era(version))
    if not released and now < lapses_at(state):
        return []
    if state.stopping or now < state.cooldown_until:
        return []
    return _acquire(state, version, now)


def _acquire(state, version, now):
    lease = state.lease
    if not lease.nonce:
        lease.nonce = f"{state.rng.getrandbits(_NONCE_BITS):032x}"
        lease.number = 0
        lease.sent = {}
    lease.version = version
    lease.call_in_progress = True
    return [_write(state, state.cfg.host, lease.nonce, now,
                   lease.record_era)]


def on_written(state, event, now):
    """Handle the response to an acquisition, renewal or release."""
    lease = state.lease
    lease.call_in_progress = False
    if event.nonce != lease.nonce:
        return []
    if event.status is Status.WRITTEN:
        if _is_of_former_era(lease, event.version) and not is_valid(
                state, now):
            return _discard_write(state, event.version, now)
        return _confirm(state, event.version, event.number, now)
    if event.status is Status.UNAVAILABLE:
        return []
    # The write was refused, or its response was lost: read the object to
    # find out who holds the lease. If our write took effect, the object
    # contains our nonce.
    lease.write_uncertain = True
    lease.due_at = now
    return []


def _is_of_former_era(lease, version):
    """Return whether the store was restored since the known version."""
    return revisions.era(version) > revisions.era(lease.version)


def _discard_write(state, version, now):
    """Wait for a span after a write that was done after a restore.

    Its number was valid again, though another process had acquired the lease
    since the copy was taken.
    """
    effs = []
    if state.lease.holding:
        effs = _lose(state, "lease_lost", now)
    lease = state.lease
    lease.nonce = ""
    lease.seen_version = version
    lease.seen_at = now
    return effs


def _confirm(state, version, number, now):
    lease = state.lease
    lease.version = version
    lease.write_uncertain = False
    if lease.sent[number].era < revisions.era(version):
        # Others can't tell the object from an older one of the copy.
        lease.due_at = now
    lease.confirmed_at = lease.sent[number].at
    lease.committed_record = lease.sent[number].record
    lease.number = max(lease.number, number)
    for older in [each for each in lease.sent if each < number]:
        del lease.sent[older]
    if lease.holding:
        return []
    lease.holding = True
    lease.lapsed = False
    lease.fence = version
    lease.acquired_at = now
    return [_record("lease_acquired", ("fence", version))]


# Loss of the lease.

def check_fence(state, fence, now):
    """Step down if an engine has seen the token of a newer holder."""
    if state.lease.holding and fence > state.lease.fence:
        return step_down(state, fence, now)
    return []


def step_down(state, fence, now):
    """Stop acting as the holder because an engine refused the token.

    From here on the lease object is treated like that of another holder.
    If it still contains our own lease, that is acquired again once its
    whole span is over, which gives a higher token.
    """
    return _lose(state, "lease_stepped_down", now, ("seen", fence))


def _lose(state, kind, now, *fields):
    lease = state.lease
    fence = lease.fence
    state.lease = states.Lease(
        call_in_progress=lease.call_in_progress, due_at=now)
    state.cooldown_until = now + state.cfg.cooldown_s
    return [_record(kind, ("fence", fence), *fields)]


def _record(kind, *fields):
    return effects.Record(kind, fields)
