"""Routes events to the dispatcher's parts."""

from crocuskeel.core import backends
from crocuskeel.core.dispatch import choice
from crocuskeel.core.dispatch import granting
from crocuskeel.core.dispatch import limits
from crocuskeel.core.dispatch import ownership
from crocuskeel.core.dispatch import queue
from crocuskeel.core.dispatch import releasing
from crocuskeel.core.dispatch import shedding
from crocuskeel.core.dispatch import state
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import messages
from crocuskeel.core import problems
from crocuskeel.core import quarantine

__all__ = ["TICK_S", "handle"]

TICK_S = 0.25
MIN_MARGIN_S = 0.02
MIN_TARGET_SHARE = 0.3
_TICK = ("dispatch", "tick")


def handle(daemon, event, now):
    """Reduce one event; return effects."""
    match event:
        case events.Started():
            return [effects.SetTimer(_TICK, TICK_S)]
        case events.TimerFired(key=key) if key == _TICK:
            return [effects.SetTimer(_TICK, TICK_S), *_tick(daemon, now)]
        case events.HostListSeen():
            return ownership.refresh(daemon, now) + _pump_all(daemon, now)
        case events.EngineLoadSeen():
            return _load_seen(daemon, event, now)
        case events.EngineCacheSeen():
            _cache_seen(daemon, event)
        case events.Received():
            return _received(daemon, event, now)
    return []


def _received(daemon, event, now):
    match event.message:
        case messages.Enqueue() as ask:
            return _enqueue(daemon, event.sender, ask, now)
        case messages.Withdraw() as gone:
            return _withdraw(daemon, gone, now)
        case messages.Reregister() as held:
            return _reregister(daemon, event.sender, held, now)
        case messages.Released() as released:
            return _released(daemon, released, now)
        case messages.Progressed() as progress:
            cell = daemon.dispatch.cells.get(progress.cell)
            if cell is not None:
                return releasing.progressed(
                    daemon, cell, progress.items, now)
        case messages.CrashSeen():
            return _verdicts_changed(daemon, now)
    return []


def _tick(daemon, now):
    out = ownership.refresh(daemon, now)
    _bound_engines(daemon)
    out += quarantine.overdue(daemon, now)
    for cell in daemon.dispatch.cells.values():
        queue.purge(cell)
        out += ownership.reclaim_dead(daemon, cell, now)
    out += _verdicts_changed(daemon, now)
    return out + _gauges(daemon)


def _bound_engines(daemon):
    generation = follower.generation(daemon)
    if generation == daemon.dispatch.generation:
        return
    daemon.dispatch.generation = generation
    for view in daemon.dispatch.engines.values():
        limits.bound(daemon, view)


def _gauges(daemon):
    out = []
    for cell in daemon.dispatch.cells.values():
        name = cell.name.replace("/", ".")
        out.append(effects.Measure(
            f"dispatch.waiting.{name}", queue.size(cell), "g"))
        out.append(effects.Measure(
            f"dispatch.running.{name}", len(cell.running), "g"))
    return out


def _pump_all(daemon, now):
    out = []
    for cell in daemon.dispatch.cells.values():
        out += granting.pump(daemon, cell, now)
    return out


def _verdicts_changed(daemon, now):
    """Sort waiting work anew by what is known of it; then grant."""
    out = []
    for cell in daemon.dispatch.cells.values():
        for key, waiting in [*cell.waiting.items(),
                             *cell.suspects.items()]:
            fingerprint = waiting.ask.fingerprint
            if fingerprint:
                out += _resort(daemon, cell, key, fingerprint, now)
    return out + _pump_all(daemon, now)


def _resort(daemon, cell, key, fingerprint, now):
    verdict = quarantine.verdict(daemon, fingerprint)
    if verdict == "quarantined":
        return shedding.refuse(
            daemon, cell, key, problems.Reason.QUARANTINED, now)
    if (verdict == "suspect") != (key in cell.suspects):
        waiting = queue.remove(cell, key)
        queue.add(cell, waiting, verdict == "suspect")
    return []


# Doors.

def _enqueue(daemon, door, ask, now):
    cell, out = ownership.serve(daemon, ask.cell, now)
    if cell is None:
        return [effects.Send(
            door, messages.NotDispatcher(ask.cell, ask.rid))]
    out += _admit(daemon, cell, door, ask, now)
    return out + granting.pump(daemon, cell, now)


def _admit(daemon, cell, door, ask, now):
    key = (ask.rid, ask.attempt)
    if queue.is_waiting(cell, key) or key in cell.running:
        return []
    verdict = quarantine.verdict(daemon, ask.fingerprint)
    if verdict == "quarantined":
        return shedding.turn_away(
            daemon, cell, door, ask, problems.Reason.QUARANTINED, now)
    if not any(backends.usable(daemon, name) for name
               in backends.cell_engines(daemon, cell.name)):
        return shedding.turn_away(
            daemon, cell, door, ask, problems.Reason.NO_BACKEND, now)
    if shedding.is_shut(daemon, cell, ask, now):
        out = shedding.cut_below(daemon, cell, ask.tier, now)
        return [*out, *shedding.turn_away(
            daemon, cell, door, ask, problems.Reason.OVERLOAD, now)]
    waiting = _new_waiting(daemon, cell, door, ask, now)
    queue.add(cell, waiting, verdict == "suspect")
    return shedding.make_room(
        daemon, cell, waiting, daemon.limits.max_queue_per_cell, now)


def _new_waiting(daemon, cell, door, ask, now):
    cell.seq += 1
    since = now - ask.waited_s
    first = limits.first_token(daemon, cell)
    due = since + max(ask.target_ttft_s - first,
                      MIN_TARGET_SHARE * ask.target_ttft_s)
    # What is worthless after its deadline must start a good while
    # before; and here, not at the door, it is given up tier by tier.
    margin = MIN_MARGIN_S
    if ask.late_drop:
        margin = max(margin, choice.duration(daemon, cell, ask))
    return state.Waiting(
        ask, door, since, due, now + ask.deadline_in_s - margin,
        releasing.cost_of(daemon, cell, ask), cell.seq, due < now)


def _withdraw(daemon, gone, now):
    cell = daemon.dispatch.cells.get(gone.cell)
    if cell is None:
        return []
    key = (gone.rid, gone.attempt)
    queue.remove(cell, key)
    # The grant may be under way; the door answers an unwanted one with
    # a release, which then finds nothing left to free.
    granting.drop_slot(cell, key)
    return granting.pump(daemon, cell, now)


def _reregister(daemon, door, held, now):
    cell, out = ownership.serve(daemon, held.cell, now)
    if cell is None:
        return [effects.Send(door, messages.NotDispatcher(held.cell))]
    _forget_door(cell, door)
    for running in held.running:
        granting.add_slot(
            cell, (running.rid, running.attempt), _slot(door, running, now))
    cell.unheard.discard(door)
    cell.asked_at.pop(door, None)
    for ask in held.waiting:
        out += _admit(daemon, cell, door, ask, now)
    return out + granting.pump(daemon, cell, now)


def _forget_door(cell, door):
    for key in [key for key, slot in cell.running.items()
                if slot.door == door]:
        granting.drop_slot(cell, key)
    for key in [*cell.waiting, *cell.suspects]:
        if queue.entry(cell, key).door == door:
            queue.remove(cell, key)


def _slot(door, running, now):
    return state.Slot(
        door, running.engine, running.class_name, running.workspace,
        running.tier, running.fingerprint, now - running.age_s, now,
        tokens=running.tokens, alone=running.alone)


def _released(daemon, released, now):
    cell = daemon.dispatch.cells.get(released.cell)
    if cell is None:
        cell = state.new_cell(released.cell, "", now, ())
    out = releasing.release(daemon, cell, released, now)
    if released.end in releasing.LOST:
        return out + _verdicts_changed(daemon, now)
    return out + granting.pump(daemon, cell, now)


# Engines.

def _load_seen(daemon, seen, now):
    view = limits.engine(daemon, seen.engine)
    if not seen.ok:
        return limits.report_missed(daemon, view, now)
    limits.load_seen(daemon, view, seen)
    out = quarantine.engine_seen(daemon, seen.engine, seen.boot_id, now)
    return out + (_verdicts_changed(daemon, now) if out else [])


def _cache_seen(daemon, seen):
    view = limits.engine(daemon, seen.engine)
    for prefix in seen.stored:
        state.keep_prefix(view, prefix)
    for prefix in seen.removed:
        view.prefixes.pop(prefix, None)
