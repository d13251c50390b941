"""Slots that come back, and what they say of engine and request."""

from crocuskeel.core.dispatch import choice
from crocuskeel.core.dispatch import estimates
from crocuskeel.core.dispatch import granting
from crocuskeel.core.dispatch import headroom
from crocuskeel.core.dispatch import limits
from crocuskeel.core.dispatch import meters
from crocuskeel.core.dispatch import state as states
from crocuskeel.core import events
from crocuskeel.core import quarantine

__all__ = ["cost_of", "progressed", "release"]

COST_TOKENS = 128.0
COST_BASE = 0.25
LOST = frozenset((events.AttemptEnd.BROKEN, events.AttemptEnd.GONE))
AWAY = frozenset((events.AttemptEnd.REFUSED, events.AttemptEnd.SILENT,
                  events.AttemptEnd.UNREADY))
MAX_PROVEN = 4096
SMOOTHING = 0.1


def cost_of(daemon, cell, ask):
    """Return an attempt's expected work, 1 for an ordinary request."""
    if choice.is_plain(daemon, cell):
        return 1.0
    tokens = estimates.mean(
        daemon.dispatch.lengths, cell.service, ask.class_name,
        ask.workspace, ask.max_tokens)
    return COST_BASE + tokens / COST_TOKENS


def progressed(daemon, cell, items, now):
    """Take progress of running attempts in; return effects."""
    out = []
    for item in items:
        slot = cell.running.get((item.rid, item.attempt))
        if slot is None:
            continue
        made = item.tokens - slot.tokens
        if made > 0 and slot.tokens:
            view = limits.engine(daemon, slot.engine)
            pace = (now - slot.heard_at) / made
            out += limits.progressed(daemon, cell, view, pace, now)
        slot.tokens = max(slot.tokens, item.tokens)
        slot.heard_at = now
    return out


def release(daemon, cell, released, now):
    """Free a slot and learn from how its attempt ended.

    A second or late report of the same attempt frees nothing, but a
    loss that it tells of still counts: the slot may have been granted
    by an earlier dispatcher.
    """
    key = (released.rid, released.attempt)
    together = _fingerprints(cell, released)
    slot = granting.drop_slot(cell, key)
    view = limits.engine(daemon, released.engine)
    if released.end in LOST:
        return _lost(daemon, view, slot, released, together, now)
    if released.end in AWAY:
        return limits.failed(daemon, view, now, _granted_at(slot))
    if released.end == events.AttemptEnd.BUSY:
        held = len(cell.by_engine.get(released.engine, ()))
        limits.make_busy(view, held, now)
    if slot is None or released.end != events.AttemptEnd.DONE:
        return []
    meters.bump(cell.drain, now)
    return _done(daemon, cell, view, slot, released, now)


def _granted_at(slot):
    return slot.granted_at if slot is not None else None


def _fingerprints(cell, released):
    keys = cell.by_engine.get(released.engine, ())
    found = {cell.running[key].fingerprint for key in keys}
    return found | {released.fingerprint}


def _lost(daemon, view, slot, released, together, now):
    fingerprint = released.fingerprint
    if slot is not None and slot.fingerprint:
        fingerprint = slot.fingerprint
    alone = fingerprint if slot is not None and slot.alone else ""
    out = limits.doubted(daemon, view, now, _granted_at(slot))
    if fingerprint:
        # Against the boot id at the grant: the restarted engine's
        # report may come before the loss is told of, and the engine
        # would seem never to have gone down.
        boot_id = slot.boot_id if slot is not None else ""
        out += quarantine.lost(
            daemon, view.name, boot_id or view.boot_id, together, alone,
            now)
    return out


def _done(daemon, cell, view, slot, released, now):
    state = daemon.dispatch
    if released.tokens:
        estimates.learn(state.lengths, cell.service, slot.class_name,
                        slot.workspace, released.tokens)
    _correct_charge(cell, slot, released)
    if limits.tells_first(daemon, view.name, released):
        _learn_prefix(state, view, slot, released)
        headroom.finished(cell, slot, released.ttft_s)
    out = limits.done(daemon, cell, view, slot, released, now)
    if slot.fingerprint:
        state.proven[slot.fingerprint] = True
        if len(state.proven) > MAX_PROVEN:
            state.proven.popitem(last=False)
        out += quarantine.finished(
            daemon, view.name, slot.fingerprint, now)
    return out


def _correct_charge(cell, slot, released):
    group = cell.classes.get(slot.class_name)
    flow = group.flows.get(slot.workspace) if group else None
    if flow is None or not released.tokens:
        return
    actual = COST_BASE + released.tokens / COST_TOKENS
    flow.virtual += (actual - slot.cost) / flow.weight


def _learn_prefix(state, view, slot, released):
    if not slot.prefix or not released.ttft_s:
        return
    states.keep_prefix(view, slot.prefix)
    if slot.hit:
        state.hit_ttft = _smooth(state.hit_ttft, released.ttft_s)
    else:
        state.miss_ttft = _smooth(state.miss_ttft, released.ttft_s)


def _smooth(old, new):
    return new if old == 0.0 else old + SMOOTHING * (new - old)
