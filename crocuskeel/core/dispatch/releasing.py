"""Released slots, and what they show about the engine and the request."""

from crocuskeel.core.dispatch import engine_selection
from crocuskeel.core.dispatch import estimates
from crocuskeel.core.dispatch import granting
from crocuskeel.core.dispatch import headroom
from crocuskeel.core.dispatch import limits
from crocuskeel.core.dispatch import meters
from crocuskeel.core.dispatch import state as states
from crocuskeel.core import events
from crocuskeel.core import quarantine

__all__ = ["expected_cost", "progressed", "release"]

TOKENS_PER_COST = 128.0
BASE_COST = 0.25
LOST = frozenset((events.AttemptEnd.CONNECTION_LOST,
                  events.AttemptEnd.STREAM_UNKNOWN))
UNAVAILABLE = frozenset((events.AttemptEnd.REFUSED,
                         events.AttemptEnd.TIMED_OUT,
                         events.AttemptEnd.UNREADY))
MAX_KNOWN_GOOD = 4096
SMOOTHING = 0.1


def expected_cost(daemon, cell, request):
    """Return an attempt's expected cost, 1 for an ordinary request."""
    if engine_selection.is_plain(daemon, cell):
        return 1.0
    tokens = estimates.mean(
        daemon.dispatch.lengths, cell.service, request.class_name,
        request.workspace, request.max_tokens)
    return BASE_COST + tokens / TOKENS_PER_COST


def progressed(daemon, cell, items, now):
    """Record the progress of running attempts; return effects."""
    out = []
    for item in items:
        slot = cell.running.get((item.rid, item.attempt))
        if slot is None:
            continue
        new_tokens = item.tokens - slot.tokens
        if new_tokens > 0 and slot.tokens:
            view = limits.engine_view(daemon, slot.engine)
            latency = (now - slot.updated_at) / new_tokens
            out += limits.progressed(daemon, cell, view, latency, now)
        slot.tokens = max(slot.tokens, item.tokens)
        slot.updated_at = now
    return out


def release(daemon, cell, released, now):
    """Free a slot and learn from how its attempt ended.

    A duplicate or late report of the same attempt frees nothing. A loss
    that it reports still counts, since an earlier dispatcher may have
    granted the slot.
    """
    key = (released.rid, released.attempt)
    fingerprints = _fingerprints(cell, released)
    slot = granting.drop_slot(cell, key)
    view = limits.engine_view(daemon, released.engine)
    if released.end in LOST:
        return _attempt_lost(
            daemon, view, slot, released, fingerprints, now)
    if released.end in UNAVAILABLE:
        return limits.attempt_failed(daemon, view, now, _granted_at(slot))
    if released.end == events.AttemptEnd.BUSY:
        running = len(cell.running_by_engine.get(released.engine, ()))
        limits.mark_busy(view, running, now)
    if slot is None or released.end != events.AttemptEnd.DONE:
        return []
    meters.count_events(cell.completions, now)
    return _attempt_done(daemon, cell, view, slot, released, now)


def _granted_at(slot):
    return slot.granted_at if slot is not None else None


def _fingerprints(cell, released):
    keys = cell.running_by_engine.get(released.engine, ())
    found = {cell.running[key].fingerprint for key in keys}
    return found | {released.fingerprint}


def _attempt_lost(daemon, view, slot, released, fingerprints, now):
    fingerprint = released.fingerprint
    if slot is not None and slot.fingerprint:
        fingerprint = slot.fingerprint
    exclusive = (fingerprint if slot is not None and slot.exclusive
                 else "")
    out = limits.connection_lost(daemon, view, now, _granted_at(slot))
    if fingerprint:
        # Compared with the boot id at the grant: the restarted engine's
        # load report may arrive before the loss is reported, and then
        # the engine would seem not to have crashed.
        boot_id = slot.boot_id if slot is not None else ""
        out += quarantine.attempt_lost(
            daemon, view.name, boot_id or view.boot_id, fingerprints,
            exclusive, now)
    return out


def _attempt_done(daemon, cell, view, slot, released, now):
    state = daemon.dispatch
    if released.tokens:
        estimates.learn(state.lengths, cell.service, slot.class_name,
                        slot.workspace, released.tokens)
    _correct_charge(cell, slot, released)
    if limits.has_first_token_time(daemon, view.name, released):
        _learn_prefix(state, view, slot, released)
        headroom.observe_first_token(cell, slot, released.ttft_s)
    out = limits.attempt_done(daemon, cell, view, slot, released, now)
    if slot.fingerprint:
        state.known_good[slot.fingerprint] = True
        if len(state.known_good) > MAX_KNOWN_GOOD:
            state.known_good.popitem(last=False)
        out += quarantine.attempt_done(
            daemon, view.name, slot.fingerprint, now)
    return out


def _correct_charge(cell, slot, released):
    class_queue = cell.class_queues.get(slot.class_name)
    flow = class_queue.flows.get(slot.workspace) if class_queue else None
    if flow is None or not released.tokens:
        return
    actual = BASE_COST + released.tokens / TOKENS_PER_COST
    flow.virtual_time += (actual - slot.cost) / flow.weight


def _learn_prefix(state, view, slot, released):
    if not slot.prefix or not released.ttft_s:
        return
    states.add_prefix(view, slot.prefix)
    if slot.cache_hit:
        state.hit_ttft = _smooth(state.hit_ttft, released.ttft_s)
    else:
        state.miss_ttft = _smooth(state.miss_ttft, released.ttft_s)


def _smooth(old, new):
    return new if old == 0.0 else old + SMOOTHING * (new - old)
