"""Event handler of the dispatcher."""

from crocuskeel.core import backends
from crocuskeel.core.dispatch import engine_selection
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
MIN_START_MARGIN_S = 0.02
MIN_TARGET_SHARE = 0.3
_TICK = ("dispatch", "tick")


def handle(daemon, event, now):
    """Handle one event; return effects."""
    match event:
        case events.Started():
            return [effects.SetTimer(_TICK, TICK_S)]
        case events.TimerFired(key=key) if key == _TICK:
            return [effects.SetTimer(_TICK, TICK_S), *_tick(daemon, now)]
        case events.HostListSeen():
            return (ownership.refresh(daemon, now)
                    + _process_queues(daemon, now))
        case events.EngineLoadSeen():
            return _load_reported(daemon, event, now)
        case events.EngineCacheSeen():
            _cache_reported(daemon, event)
        case events.Received():
            return _received(daemon, event, now)
    return []


def _received(daemon, event, now):
    match event.message:
        case messages.Enqueue() as request:
            return _enqueue(daemon, event.sender, request, now)
        case messages.Withdraw() as withdrawal:
            return _withdraw(daemon, withdrawal, now)
        case messages.Reregister() as registration:
            return _reregister(daemon, event.sender, registration, now)
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
    _apply_max_limits(daemon)
    out += quarantine.judge_overdue(daemon, now)
    for cell in daemon.dispatch.cells.values():
        queue.purge(cell)
        out += ownership.reclaim_dead(daemon, cell, now)
    out += _verdicts_changed(daemon, now)
    return out + _gauges(daemon)


def _apply_max_limits(daemon):
    generation = follower.generation(daemon)
    if generation == daemon.dispatch.generation:
        return
    daemon.dispatch.generation = generation
    for view in daemon.dispatch.engines.values():
        limits.apply_max_limit(daemon, view)


def _gauges(daemon):
    out = []
    for cell in daemon.dispatch.cells.values():
        name = cell.name.replace("/", ".")
        out.append(effects.Measure(
            f"dispatch.waiting.{name}", queue.size(cell), "g"))
        out.append(effects.Measure(
            f"dispatch.running.{name}", len(cell.running), "g"))
    return out


def _process_queues(daemon, now):
    out = []
    for cell in daemon.dispatch.cells.values():
        out += granting.process_queue(daemon, cell, now)
    return out


def _verdicts_changed(daemon, now):
    """Requeue waiting attempts by their current verdicts, then grant."""
    out = []
    for cell in daemon.dispatch.cells.values():
        for key, waiting in [*cell.waiting.items(),
                             *cell.suspects.items()]:
            fingerprint = waiting.request.fingerprint
            if fingerprint:
                out += _apply_verdict(daemon, cell, key, fingerprint, now)
    return out + _process_queues(daemon, now)


def _apply_verdict(daemon, cell, key, fingerprint, now):
    verdict = quarantine.verdict(daemon, fingerprint)
    if verdict == "quarantined":
        return shedding.refuse(
            daemon, cell, key, problems.Reason.QUARANTINED, now)
    if (verdict == "suspect") != (key in cell.suspects):
        waiting = queue.remove(cell, key)
        queue.add(cell, waiting, verdict == "suspect")
    return []


# Messages of entry hosts.

def _enqueue(daemon, entry_host, request, now):
    cell, out = ownership.acquire_cell(daemon, request.cell, now)
    if cell is None:
        return [effects.Send(
            entry_host, messages.NotDispatcher(request.cell, request.rid))]
    out += _admit(daemon, cell, entry_host, request, now)
    return out + granting.process_queue(daemon, cell, now)


def _admit(daemon, cell, entry_host, request, now):
    key = (request.rid, request.attempt)
    if queue.is_waiting(cell, key) or key in cell.running:
        return []
    verdict = quarantine.verdict(daemon, request.fingerprint)
    if verdict == "quarantined":
        return shedding.refuse_arrival(
            daemon, cell, entry_host, request,
            problems.Reason.QUARANTINED, now)
    if not any(backends.is_usable(daemon, name) for name
               in backends.cell_engines(daemon, cell.name)):
        return shedding.refuse_arrival(
            daemon, cell, entry_host, request,
            problems.Reason.NO_BACKEND, now)
    if shedding.must_refuse(daemon, cell, request, now):
        out = shedding.shed_lower_tiers(daemon, cell, request.tier, now)
        return [*out, *shedding.refuse_arrival(
            daemon, cell, entry_host, request,
            problems.Reason.OVERLOAD, now)]
    waiting = _new_waiting(daemon, cell, entry_host, request, now)
    queue.add(cell, waiting, verdict == "suspect")
    return shedding.apply_queue_limits(
        daemon, cell, waiting, daemon.limits.max_queue_per_cell, now)


def _new_waiting(daemon, cell, entry_host, request, now):
    cell.seq += 1
    enqueued_at = now - request.waited_s
    ttft = limits.ttft_upper_estimate(daemon, cell)
    due = enqueued_at + max(request.target_ttft_s - ttft,
                            MIN_TARGET_SHARE * request.target_ttft_s)
    # An answer that is worthless after the deadline must start well
    # before it. If it can't, it is refused here rather than at the entry
    # host, because here refusals follow the order of tiers.
    margin = MIN_START_MARGIN_S
    if request.late_drop:
        margin = max(margin,
                     engine_selection.expected_duration(daemon, cell, request))
    return state.WaitingAttempt(
        request, entry_host, enqueued_at, due,
        now + request.deadline_in_s - margin,
        releasing.expected_cost(daemon, cell, request), cell.seq, due < now)


def _withdraw(daemon, withdrawal, now):
    cell = daemon.dispatch.cells.get(withdrawal.cell)
    if cell is None:
        return []
    key = (withdrawal.rid, withdrawal.attempt)
    queue.remove(cell, key)
    # A grant may already have been sent. The entry host answers one it no
    # longer wants with a release, which then finds no slot to free.
    granting.drop_slot(cell, key)
    return granting.process_queue(daemon, cell, now)


def _reregister(daemon, entry_host, registration, now):
    cell, out = ownership.acquire_cell(daemon, registration.cell, now)
    if cell is None:
        return [effects.Send(
            entry_host, messages.NotDispatcher(registration.cell))]
    _forget_host(cell, entry_host)
    for running in registration.running:
        granting.add_slot(
            cell, (running.rid, running.attempt),
            _slot(entry_host, running, now))
    cell.unreported_hosts.discard(entry_host)
    cell.state_requested_at.pop(entry_host, None)
    for request in registration.waiting:
        out += _admit(daemon, cell, entry_host, request, now)
    return out + granting.process_queue(daemon, cell, now)


def _forget_host(cell, entry_host):
    for key in [key for key, slot in cell.running.items()
                if slot.entry_host == entry_host]:
        granting.drop_slot(cell, key)
    for key in [*cell.waiting, *cell.suspects]:
        if queue.entry(cell, key).entry_host == entry_host:
            queue.remove(cell, key)


def _slot(entry_host, running, now):
    return state.Slot(
        entry_host, running.engine, running.class_name, running.workspace,
        running.tier, running.fingerprint, now - running.age_s, now,
        tokens=running.tokens, exclusive=running.alone)


def _released(daemon, released, now):
    cell = daemon.dispatch.cells.get(released.cell)
    if cell is None:
        cell = state.new_cell(released.cell, "", now, ())
    out = releasing.release(daemon, cell, released, now)
    if released.end in releasing.LOST:
        return out + _verdicts_changed(daemon, now)
    return out + granting.process_queue(daemon, cell, now)


# Reports of engines.

def _load_reported(daemon, report, now):
    view = limits.engine_view(daemon, report.engine)
    if not report.ok:
        return limits.report_missed(daemon, view, now)
    limits.report_received(daemon, view, report)
    out = quarantine.load_reported(
        daemon, report.engine, report.boot_id, now)
    return out + (_verdicts_changed(daemon, now) if out else [])


def _cache_reported(daemon, report):
    view = limits.engine_view(daemon, report.engine)
    for prefix in report.stored:
        state.add_prefix(view, prefix)
    for prefix in report.removed:
        view.prefixes.pop(prefix, None)
