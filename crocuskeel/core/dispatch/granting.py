"""Granting engine slots to waiting attempts, and counting slots in use."""

from crocuskeel.core import backends
from crocuskeel.core.dispatch import engine_selection
from crocuskeel.core.dispatch import fairness
from crocuskeel.core.dispatch import floors
from crocuskeel.core.dispatch import headroom
from crocuskeel.core.dispatch import limits
from crocuskeel.core.dispatch import meters
from crocuskeel.core.dispatch import queue
from crocuskeel.core.dispatch import shedding
from crocuskeel.core.dispatch import state
from crocuskeel.core import effects
from crocuskeel.core import messages
from crocuskeel.core import problems
from crocuskeel.core import quarantine

__all__ = ["add_slot", "drop_slot", "process_queue"]

MAX_SUSPECT_ENGINE_SHARE = 1 / 3
# Copies of one request that may run before one has finished.
MAX_UNVERIFIED_COPIES = 2


def process_queue(daemon, cell, now):
    """Refuse attempts that can't start in time, then grant free slots.

    Returns effects.
    """
    out = shedding.refuse_expired(daemon, cell, now)
    for waiting in list(queue.mark_late(cell, now)):
        if shedding.will_miss_deadline(daemon, cell, waiting, now):
            out += shedding.refuse(
                daemon, cell, waiting.key, problems.Reason.DEADLINE, now)
    if cell.ownership_lost_at is not None:
        return out
    out += _grant_suspects(daemon, cell, now)
    return out + _grant_all(daemon, cell, now)


# Ordinary grants.

def _grant_all(daemon, cell, now):
    out = []
    blocked = set()
    while cell.waiting:
        free = _free_by_engine(daemon, cell, now)
        if not free:
            break
        key, reason = _next_key(daemon, cell, free, blocked, now)
        if key is None:
            break
        out += _try_grant(
            daemon, cell, key, reason, list(free), blocked, now)
    return out


def _free_by_engine(daemon, cell, now):
    free = {}
    for name in engine_selection.usable_engines(daemon, cell):
        count = engine_selection.free_slots(daemon, cell, name, now)
        if count:
            free[name] = count
    return free


def _next_key(daemon, cell, free, blocked, now):
    key = _next_floor_key(cell, blocked)
    if key is not None:
        return key, "floor"
    total = sum(free.values())
    tiers = sorted({class_queue.tier
                    for class_queue in cell.class_queues.values()
                    if class_queue.waiting_count})
    for tier in tiers:
        if tier > headroom.TOP_TIER and (
                total <= headroom.reserved_slots(daemon, cell, now)):
            break
        key = fairness.next_key(cell, tier, blocked)
        if key is not None:
            return key, "tier"
    return None, ""


def _next_floor_key(cell, blocked):
    class_queues = list(cell.class_queues.values())
    while class_queues:
        class_queue = floors.next_class(class_queues)
        if class_queue is None:
            return None
        key = fairness.floor_key(class_queue, blocked)
        if key is not None:
            return key
        class_queues.remove(class_queue)
    return None


def _try_grant(daemon, cell, key, reason, names, blocked, now):
    waiting = cell.waiting[key]
    engine = ""
    if not _exceeds_copy_limit(daemon, cell, waiting.request):
        engine = engine_selection.pick_engine(
            daemon, cell, waiting, names, now)
    if not engine:
        blocked.add((waiting.request.class_name, waiting.request.workspace))
        return []
    return _grant(daemon, cell, waiting, engine, reason, now)


def _exceeds_copy_limit(daemon, cell, request):
    # Many copies of a request that crashes engines could crash as many
    # engines before the first loss is reported.
    if not request.fingerprint:
        return False
    known = daemon.dispatch.known_good
    copies = cell.running_by_fingerprint[request.fingerprint]
    return (copies >= MAX_UNVERIFIED_COPIES
            and request.fingerprint not in known)


def _grant(daemon, cell, waiting, engine, reason, now, exclusive=False):
    request = waiting.request
    if not exclusive:
        _count_grant(cell, waiting, now)
    queue.remove(cell, waiting.key)
    slot = _new_slot(daemon, cell, waiting, engine, exclusive, now)
    add_slot(cell, waiting.key, slot)
    waited = round(now - waiting.enqueued_at, 4)
    headroom.observe_grant(cell, request, waited)
    record = effects.Record("granted", request.rid, (
        ("cell", cell.name), ("attempt", request.attempt),
        ("engine", engine), ("reason", reason), ("tier", request.tier),
        ("class", request.class_name), ("workspace", request.workspace),
        ("waited_s", waited), ("batch", slot.batch_size)))
    grant = messages.Grant(
        request.rid, request.attempt, cell.name, engine, exclusive)
    return [record, effects.Send(waiting.entry_host, grant),
            effects.Measure(
                f"dispatch.wait.tier{request.tier}", waited * 1e3, "ms")]


def _count_grant(cell, waiting, now):
    class_queue = cell.class_queues[waiting.request.class_name]
    fairness.charge(cell, waiting)
    floors.add_credit(cell.class_queues.values())
    floors.spend_credit(class_queue)
    meter = cell.grants_by_tier.setdefault(
        class_queue.tier, meters.new_meter())
    meters.count_events(meter, now)


def _new_slot(daemon, cell, waiting, engine, exclusive, now):
    request = waiting.request
    view = limits.engine_view(daemon, engine)
    return state.Slot(
        waiting.entry_host, engine, request.class_name, request.workspace,
        request.tier, request.fingerprint, now, now, cost=waiting.cost,
        exclusive=exclusive,
        cache_hit=engine_selection.has_prefix_cached(view, request),
        prefix=request.prefix,
        ttft_budget_s=waiting.enqueued_at + request.target_ttft_s - now,
        batch_size=len(cell.running_by_engine.get(engine, ())) + 1,
        boot_id=view.boot_id)


# Suspects: each runs alone on an engine.

def _grant_suspects(daemon, cell, now):
    ready = [waiting for waiting in cell.suspects.values()
             if not _must_wait(daemon, cell, waiting.request)]
    _trim_reserved(daemon, cell, ready)
    ready.sort(key=lambda w: (w.request.tier, w.due, w.seq))
    out = []
    for waiting in ready:
        if _must_wait(daemon, cell, waiting.request):
            continue
        engine = engine_selection.pick_empty_engine(
            daemon, cell, waiting.request, now)
        if not engine:
            _reserve_engine(daemon, cell, now)
            break
        if len(cell.reserved) >= _max_reserved(daemon, cell) and (
                engine not in cell.reserved):
            break
        cell.reserved[engine] = waiting.key
        out += _grant(daemon, cell, waiting, engine, "suspect", now, True)
    return out


def _must_wait(daemon, cell, request):
    return (quarantine.must_wait(daemon, request.fingerprint)
            or cell.running_by_fingerprint[request.fingerprint] > 0)


def _max_reserved(daemon, cell):
    count = len(engine_selection.usable_engines(daemon, cell))
    return max(1, int(count * MAX_SUSPECT_ENGINE_SHARE))


def _trim_reserved(daemon, cell, ready):
    for name, key in list(cell.reserved.items()):
        unneeded = key is None and not ready
        if unneeded or not backends.is_usable(daemon, name):
            del cell.reserved[name]


def _reserve_engine(daemon, cell, now):
    """Reserve the engine that should empty first for the next suspect."""
    if len(cell.reserved) >= _max_reserved(daemon, cell):
        return
    names = [name for name in engine_selection.usable_engines(daemon, cell)
             if name not in cell.reserved
             and now >= limits.engine_view(daemon, name).paused_until]
    if names:
        first = min(names, key=lambda name: (
            engine_selection.time_to_empty_s(daemon, cell, name), name))
        cell.reserved[first] = None


# Slots.

def add_slot(cell, key, slot):
    """Count a granted attempt."""
    cell.running[key] = slot
    cell.top_tier_running += slot.tier == headroom.TOP_TIER
    cell.running_by_engine.setdefault(slot.engine, set()).add(key)
    if slot.fingerprint:
        cell.running_by_fingerprint[slot.fingerprint] += 1


def drop_slot(cell, key):
    """Free a slot and return it; None if it was not counted."""
    slot = cell.running.pop(key, None)
    if slot is None:
        return None
    cell.top_tier_running -= slot.tier == headroom.TOP_TIER
    on_engine = cell.running_by_engine[slot.engine]
    on_engine.discard(key)
    if not on_engine:
        del cell.running_by_engine[slot.engine]
    if slot.fingerprint:
        cell.running_by_fingerprint[slot.fingerprint] -= 1
        if not cell.running_by_fingerprint[slot.fingerprint]:
            del cell.running_by_fingerprint[slot.fingerprint]
    if cell.reserved.get(slot.engine) == key:
        cell.reserved[slot.engine] = None
    return slot
