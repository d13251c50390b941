"""Grants: who gets which engine, and giving slots back."""

from crocuskeel.core import backends
from crocuskeel.core.dispatch import choice
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

__all__ = ["add_slot", "drop_slot", "pump"]

MAX_SUSPECT_ENGINES = 1 / 3
# Copies of one request that may run before one has finished.
MAX_UNPROVEN = 2


def pump(daemon, cell, now):
    """Refuse what is hopeless and grant what can be; return effects."""
    out = shedding.expire(daemon, cell, now)
    for waiting in list(queue.make_late(cell, now)):
        if shedding.is_hopeless(daemon, cell, waiting, now):
            out += shedding.refuse(
                daemon, cell, waiting.key, problems.Reason.DEADLINE, now)
    if cell.lost_at is not None:
        return out
    out += _grant_suspects(daemon, cell, now)
    return out + _grant_all(daemon, cell, now)


# Ordinary grants.

def _grant_all(daemon, cell, now):
    out = []
    blocked = set()
    while cell.waiting:
        free = _free(daemon, cell, now)
        if not free:
            break
        key, reason = _next(daemon, cell, free, blocked, now)
        if key is None:
            break
        out += _try(daemon, cell, key, reason, list(free), blocked, now)
    return out


def _free(daemon, cell, now):
    free = {}
    for name in choice.usable(daemon, cell):
        count = choice.free_slots(daemon, cell, name, now)
        if count:
            free[name] = count
    return free


def _next(daemon, cell, free, blocked, now):
    key = _next_floor(cell, blocked)
    if key is not None:
        return key, "floor"
    total = sum(free.values())
    tiers = sorted({group.tier for group in cell.classes.values()
                    if group.waiting})
    for tier in tiers:
        if tier > headroom.TOP_TIER and (
                total <= headroom.kept(daemon, cell, now)):
            break
        key = fairness.next_key(cell, tier, blocked)
        if key is not None:
            return key, "tier"
    return None, ""


def _next_floor(cell, blocked):
    groups = list(cell.classes.values())
    while groups:
        group = floors.next_class(groups)
        if group is None:
            return None
        key = fairness.floor_key(group, blocked)
        if key is not None:
            return key
        groups.remove(group)
    return None


def _try(daemon, cell, key, reason, names, blocked, now):
    waiting = cell.waiting[key]
    engine = ""
    if not _is_unproven(daemon, cell, waiting.ask):
        engine = choice.pick(daemon, cell, waiting, names, now)
    if not engine:
        blocked.add((waiting.ask.class_name, waiting.ask.workspace))
        return []
    return _grant(daemon, cell, waiting, engine, reason, now)


def _is_unproven(daemon, cell, ask):
    # Many copies of a request that crashes engines would take as many
    # engines down before the first loss is heard of.
    if not ask.fingerprint:
        return False
    known = daemon.dispatch.proven
    copies = cell.in_flight[ask.fingerprint]
    return copies >= MAX_UNPROVEN and ask.fingerprint not in known


def _grant(daemon, cell, waiting, engine, reason, now, alone=False):
    ask = waiting.ask
    if not alone:
        _count_grant(cell, waiting, now)
    queue.remove(cell, waiting.key)
    slot = _new_slot(daemon, cell, waiting, engine, alone, now)
    add_slot(cell, waiting.key, slot)
    waited = round(now - waiting.since, 4)
    headroom.granted(cell, ask, waited)
    record = effects.Record("granted", ask.rid, (
        ("cell", cell.name), ("attempt", ask.attempt),
        ("engine", engine), ("reason", reason), ("tier", ask.tier),
        ("class", ask.class_name), ("workspace", ask.workspace),
        ("waited_s", waited), ("batch", slot.batch)))
    grant = messages.Grant(ask.rid, ask.attempt, cell.name, engine, alone)
    return [record, effects.Send(waiting.door, grant),
            effects.Measure(
                f"dispatch.wait.tier{ask.tier}", waited * 1e3, "ms")]


def _count_grant(cell, waiting, now):
    group = cell.classes[waiting.ask.class_name]
    fairness.charge(cell, waiting)
    floors.earn(cell.classes.values())
    floors.spend(group)
    meter = cell.granted.setdefault(group.tier, meters.new_meter())
    meters.bump(meter, now)


def _new_slot(daemon, cell, waiting, engine, alone, now):
    ask = waiting.ask
    view = limits.engine(daemon, engine)
    return state.Slot(
        waiting.door, engine, ask.class_name, ask.workspace, ask.tier,
        ask.fingerprint, now, now, cost=waiting.cost, alone=alone,
        hit=choice.is_hit(view, ask), prefix=ask.prefix,
        first_by_s=waiting.since + ask.target_ttft_s - now,
        batch=len(cell.by_engine.get(engine, ())) + 1,
        boot_id=view.boot_id)


# Suspects: one to an engine that is otherwise empty.

def _grant_suspects(daemon, cell, now):
    ready = [waiting for waiting in cell.suspects.values()
             if not _must_wait(daemon, cell, waiting.ask)]
    _trim_reserved(daemon, cell, ready)
    ready.sort(key=lambda w: (w.ask.tier, w.due, w.seq))
    out = []
    for waiting in ready:
        if _must_wait(daemon, cell, waiting.ask):
            continue
        engine = choice.empty_engine(daemon, cell, waiting.ask, now)
        if not engine:
            _reserve(daemon, cell, now)
            break
        if len(cell.reserved) >= _most_reserved(daemon, cell) and (
                engine not in cell.reserved):
            break
        cell.reserved[engine] = waiting.key
        out += _grant(daemon, cell, waiting, engine, "suspect", now, True)
    return out


def _must_wait(daemon, cell, ask):
    return (quarantine.is_pending(daemon, ask.fingerprint)
            or cell.in_flight[ask.fingerprint] > 0)


def _most_reserved(daemon, cell):
    count = len(choice.usable(daemon, cell))
    return max(1, int(count * MAX_SUSPECT_ENGINES))


def _trim_reserved(daemon, cell, ready):
    for name, key in list(cell.reserved.items()):
        idle = key is None and not ready
        if idle or not backends.usable(daemon, name):
            del cell.reserved[name]


def _reserve(daemon, cell, now):
    """Let the engine that empties first do so for the next suspect."""
    if len(cell.reserved) >= _most_reserved(daemon, cell):
        return
    names = [name for name in choice.usable(daemon, cell)
             if name not in cell.reserved
             and now >= limits.engine(daemon, name).off_until]
    if names:
        first = min(names, key=lambda name: (
            choice.remaining_s(daemon, cell, name), name))
        cell.reserved[first] = None


# Slots.

def add_slot(cell, key, slot):
    """Count a granted attempt."""
    cell.running[key] = slot
    cell.top_held += slot.tier == headroom.TOP_TIER
    cell.by_engine.setdefault(slot.engine, set()).add(key)
    if slot.fingerprint:
        cell.in_flight[slot.fingerprint] += 1


def drop_slot(cell, key):
    """Free a slot; returns it, None if it was not counted."""
    slot = cell.running.pop(key, None)
    if slot is None:
        return None
    cell.top_held -= slot.tier == headroom.TOP_TIER
    held = cell.by_engine[slot.engine]
    held.discard(key)
    if not held:
        del cell.by_engine[slot.engine]
    if slot.fingerprint:
        cell.in_flight[slot.fingerprint] -= 1
        if not cell.in_flight[slot.fingerprint]:
            del cell.in_flight[slot.fingerprint]
    if cell.reserved.get(slot.engine) == key:
        cell.reserved[slot.engine] = None
    return slot
