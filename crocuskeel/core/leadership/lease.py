"""The lease: one object of the store, renewed by its holder.

The fencing number is the object's version right after the acquisition,
and stays so through all renewals. Versions only grow, and an acquisition
is a conditional update of the newest version: so the number is higher
than every version that any earlier holder saw.

The object also carries a record of the holder's own, which the next one
takes over: as each write is conditional, records follow one another.

Clocks of hosts are never compared. The holder counts its span from
before it sent a write; a candidate counts from after it read that
write's version. So the holder's span ends first, and ``margin_s``, once
on either side, covers clocks that run at different rates.
"""

import dataclasses
import json

import typing

from crocuskeel.core.leadership import effects
from crocuskeel.core.leadership import events
from crocuskeel.core.leadership import state as states

__all__ = ["ends_at", "fresh", "hear", "lapses_at", "notice_clock",
           "on_read", "on_written", "release", "seen_fence", "step",
           "step_down"]

_NONCE_BITS = 128
_UNKNOWN_SPAN_S = 60.0
Status = events.Status


@dataclasses.dataclass(frozen=True, slots=True)
class _Stored:
    """The lease object; ``nonce`` is empty once it was released."""

    holder: str
    nonce: str
    renewals: int
    span_s: float
    order_s: float
    record: typing.Any = None


def _encode(stored):
    return json.dumps(dataclasses.asdict(stored)).encode()


def _decode(body):
    try:
        doc = json.loads(body)
        return _Stored(
            str(doc["holder"]), str(doc["nonce"]), int(doc["renewals"]),
            float(doc["span_s"]), float(doc["order_s"]),
            doc.get("record"))
    except (KeyError, TypeError, ValueError):
        # Whoever wrote this may believe in its lease: wait long.
        return _Stored("?", "?", 0, _UNKNOWN_SPAN_S, _UNKNOWN_SPAN_S)


def fresh(state, now):
    """Say whether this process may act as the holder now."""
    lease = state.lease
    return (lease.holding and lease.confirmed_at >= lease.doubted_at
            and now < ends_at(state))


def ends_at(state):
    """Return until when the holder may act, unless it renews."""
    cfg = state.cfg
    return state.lease.confirmed_at + cfg.span_s - cfg.margin_s


def hear(state, version, now):
    """Take another process's word for the version of the object.

    The write that gave it this version was sent before that was told, so
    its holder's span ends no later than a span after now.
    """
    lease = state.lease
    if not lease.holding and version > lease.seen_version:
        lease.seen_version = version
        lease.seen_at = now


def lapses_at(state):
    """Return when the holder's span is over that was seen last."""
    lease, cfg = state.lease, state.cfg
    return lease.seen_at + max(cfg.span_s, lease.span_s) + cfg.margin_s


def notice_clock(state, now):
    """See a pause before anything else is done, and doubt the lease.

    A holder that was paused wakes still believing. Its lease may look
    unexpired when the pause was short, or when the clock stood still
    for part of it: until a renewal sent after it is confirmed, no order
    goes out.
    """
    last, state.last_step = state.last_step, now
    if last is None or 0 <= now - last <= state.cfg.jump_s:
        return []
    state.lease.due_at = now
    if not state.lease.holding:
        return []
    state.lease.doubted_at = now
    return [_record("clock_jump", ("jump_s", round(now - last, 3)))]


def step(state, now):
    """Make the next call of the lease, if one is due."""
    lease = state.lease
    effs = _note_lapse(state, now)
    if lease.open_call or now < lease.due_at:
        return effs
    lease.due_at = now + state.cfg.renew_s
    lease.open_call = True
    if not lease.holding or lease.unsettled:
        return effs + [effects.ReadLease()]
    return effs + [_renewal(state, now)]


def _note_lapse(state, now):
    lease = state.lease
    lapsed = lease.holding and not fresh(state, now)
    changed, lease.lapsed = lapsed != lease.lapsed, lapsed
    if not (changed and lapsed):
        return []
    return [_record("lease_lapsed", ("fence", lease.fence))]


def _renewal(state, now):
    lease = state.lease
    lease.number += 1
    return _write(state, state.cfg.host, lease.nonce, now)


def _write(state, holder, nonce, now):
    lease, cfg = state.lease, state.cfg
    # A repeat of an acquisition has the same number: whichever of the
    # two took effect, its span counts from the first sending.
    sent = lease.sent.setdefault(
        lease.number, states.Sent(now, lease.record))
    body = _encode(_Stored(
        holder, nonce, lease.number, cfg.span_s, cfg.order_s, sent.record))
    return effects.WriteLease(
        lease.nonce, lease.number, body, lease.version)


def release(state, now):
    """Return the write that frees the lease at a planned stop."""
    lease = state.lease
    lease.open_call = True
    lease.number += 1
    return _write(state, "", "", now)


# Answers.

def on_read(state, event, now):
    """Take the object's version, and who holds the lease."""
    lease = state.lease
    lease.open_call = False
    if event.status not in (Status.FOUND, Status.NOT_FOUND):
        return []
    stored = _Stored("", "", 0, 0.0, 0.0)
    if event.status is Status.FOUND:
        stored = _decode(event.body)
    mine = lease.nonce and stored.nonce == lease.nonce
    if mine and stored.renewals in lease.sent:
        return _confirm(state, event.version, stored.renewals, now)
    if lease.holding:
        # The own nonce is gone: another holder, or a removed object.
        return _lose(state, "lease_lost", now) + _observe(
            state, event.version, stored, now)
    return _observe(state, event.version, stored, now)


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
        # An own write on an older version can no longer take effect.
        lease.nonce = ""
    released = version > 0 and not stored.nonce
    if not released and now < lapses_at(state):
        return []
    if state.stopping or now < state.rests_until:
        return []
    return _acquire(state, version, now)


def _acquire(state, version, now):
    lease = state.lease
    if not lease.nonce:
        lease.nonce = f"{state.rng.getrandbits(_NONCE_BITS):032x}"
        lease.number = 0
        lease.sent = {}
    lease.version = version
    lease.open_call = True
    return [_write(state, state.cfg.host, lease.nonce, now)]


def on_written(state, event, now):
    """Take the answer of an acquisition, renewal or release."""
    lease = state.lease
    lease.open_call = False
    if event.nonce != lease.nonce:
        return []
    if event.status is Status.WRITTEN:
        return _confirm(state, event.version, event.number, now)
    if event.status is Status.UNAVAILABLE:
        return []
    # Refused or lost: only the object itself tells who holds it. An
    # own write whose answer was lost shows there by its nonce.
    lease.unsettled = True
    lease.due_at = now
    return []


def _confirm(state, version, number, now):
    lease = state.lease
    lease.version = version
    lease.unsettled = False
    lease.confirmed_at = lease.sent[number].at
    lease.kept = lease.sent[number].record
    lease.number = max(lease.number, number)
    for old in [each for each in lease.sent if each < number]:
        del lease.sent[old]
    if lease.holding:
        return []
    lease.holding = True
    lease.lapsed = False
    lease.fence = version
    lease.acquired_at = now
    return [_record("lease_acquired", ("fence", version))]


# Losing.

def seen_fence(state, fence, now):
    """Step down where an engine has seen a newer holder's number."""
    if state.lease.holding and fence > state.lease.fence:
        return step_down(state, fence, now)
    return []


def step_down(state, fence, now):
    """Stop being the holder: an engine refused the fencing number.

    The lease object is watched from here on like anybody's: if it is
    still the own one, it is acquired anew after its whole span, which
    gives a higher number.
    """
    return _lose(state, "lease_stepped_down", now, ("seen", fence))


def _lose(state, kind, now, *fields):
    lease = state.lease
    fence = lease.fence
    state.lease = states.Lease(open_call=lease.open_call, due_at=now)
    state.rests_until = now + state.cfg.rest_s
    return [_record(kind, ("fence", fence), *fields)]


def _record(kind, *fields):
    return effects.Record(kind, fields)
