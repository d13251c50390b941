"""Queueing at dispatchers, and changes of dispatcher.

A dispatcher's state is rebuilt from the entry hosts. Whenever messages
may have been lost or another host becomes the dispatcher, an entry host
sends all its requests of the cell, which replaces what the dispatcher
had recorded for this host.
"""

from crocuskeel.core import backends
from crocuskeel.core import effects
from crocuskeel.core.frontend import completion
from crocuskeel.core.frontend import reporting
from crocuskeel.core.frontend import state
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement
from crocuskeel.core import problems

__all__ = ["assign_cell", "enqueue", "flush_progress", "get_cell_state",
           "move_from_removed_cells", "not_dispatcher", "peer_down", "peer_up",
           "refused", "requeue", "reregister", "reregister_requested",
           "reregister_unreachable", "update_dispatchers"]

LATE_DEADLINE_FACTOR = 4.0
REREGISTER_INTERVAL_S = 0.5
RETRY_AFTER_S = 1.0


def assign_cell(daemon, service, arrival):
    """Return the cell for a request, "" if no server is known.

    Requests with the same prefix share a cell, for cache hits at the
    engines. Without a prefix the fingerprint assigns a resent request
    to the dispatcher that already knows it.
    """
    key = str(arrival.prefix) if arrival.prefix else arrival.fingerprint
    return backends.assign_cell(daemon, service, key)


def get_cell_state(daemon, cell, now):
    """Return this host's state of the cell, created if missing."""
    found = daemon.frontend.cells.get(cell)
    if found is None:
        dispatcher = placement.owner(cell, membership.live(daemon))
        found = state.CellState(dispatcher)
        if not dispatcher or dispatcher in daemon.frontend.unreachable_hosts:
            _mark_unreachable(found, now)
        daemon.frontend.cells[cell] = found
    return found


def enqueue(daemon, req, now):
    """Enqueue the request's current attempt at the dispatcher."""
    req.stage = state.Stage.WAITING
    cell_state = get_cell_state(daemon, req.cell, now)
    cell_state.waiting[req.rid] = None
    out = [_deadline_timer(req, now),
           reporting.record(req, "enqueued", now,
                            dispatcher=cell_state.dispatcher)]
    if cell_state.dispatcher:
        message = _enqueue_message(req, now)
        out.append(effects.Send(cell_state.dispatcher, message))
    return out


def _deadline_timer(req, now):
    """Return the timer that bounds a request's total wait.

    For a class that drops late requests an answer is worthless after
    the deadline. Other classes may be late, but each caller's wait is
    still bounded. Each attempt sets the timer, because it may have fired
    while an earlier one was open.
    """
    timeout_s = req.policy.deadline_s
    if req.policy.late != "drop":
        timeout_s *= LATE_DEADLINE_FACTOR
    left_s = max(0.0, req.arrived_at + timeout_s - now)
    return effects.SetTimer(("door", "deadline", req.rid), left_s)


def requeue(daemon, req, now):
    """Enqueue the next attempt with a new attempt number.

    Messages of the earlier attempt that are still in transit can't be
    mistaken for messages of the new one.
    """
    req.attempt += 1
    return enqueue(daemon, req, now)


def _enqueue_message(req, now):
    policy = req.policy
    arrival = req.arrival
    wanted = arrival.max_tokens or policy.max_tokens
    return messages.Enqueue(
        rid=req.rid, attempt=req.attempt, cell=req.cell,
        service=policy.service, class_name=policy.name,
        workspace=req.caller.workspace, tier=policy.tier,
        weight=policy.weight, floor=policy.floor,
        target_ttft_s=policy.target_ttft_s,
        deadline_in_s=req.deadline_at - now,
        waited_s=now - req.arrived_at,
        late_drop=policy.late == "drop",
        repeatable=req.repeatable,
        queue_limit=policy.queue_limit,
        prompt_tokens=arrival.prompt_tokens,
        max_tokens=min(wanted, policy.max_tokens),
        prefix=arrival.prefix, fingerprint=arrival.fingerprint,
        avoid=req.avoid, generation=policy.generation)


def _running_message(req, now):
    return messages.Running(
        rid=req.rid, attempt=req.attempt, cell=req.cell,
        engine=req.engine, class_name=req.policy.name,
        workspace=req.caller.workspace, tier=req.policy.tier,
        fingerprint=req.arrival.fingerprint, tokens=req.tokens,
        age_s=now - req.granted_at, alone=req.alone)


def reregister(daemon, cell, now):
    """Send the dispatcher all requests of this host in the cell."""
    cell_state = daemon.frontend.cells.get(cell)
    if cell_state is None or not cell_state.dispatcher:
        return []
    requests = daemon.frontend.requests
    waiting = tuple(_enqueue_message(requests[rid], now)
                    for rid in cell_state.waiting)
    running = tuple(_running_message(requests[rid], now)
                    for rid in cell_state.slots)
    message = messages.Reregister(cell, waiting, running)
    return [effects.Send(cell_state.dispatcher, message)]


def reregister_requested(daemon, sender, cell, now):
    """Answer a dispatcher that asks for this host's requests.

    A host without requests in the cell sends an empty registration;
    otherwise slots that the dispatcher attributes to it would stay
    occupied.
    """
    cell_state = daemon.frontend.cells.get(cell)
    if cell_state is None:
        return [effects.Send(sender, messages.Reregister(cell))]
    if cell_state.dispatcher != sender:
        return []
    return reregister(daemon, cell, now)


def refused(daemon, sender, refusal, now):
    """Answer a waiting request that its dispatcher refused.

    An earlier attempt may have run, so the outcome is that of the whole
    request and not of the refused attempt.
    """
    req = daemon.frontend.requests.get(refusal.rid)
    if not _is_current(daemon, req, sender, refusal):
        return []
    daemon.frontend.cells[req.cell].unreachable_since = None
    completion.remove_from_queue(daemon, req)
    out = [reporting.record(req, "refused", now, reason=refusal.reason)]
    reason = _reason(refusal.reason)
    return out + completion.fail(daemon, req, reason, now, refusal.detail,
                                 refusal.retry_after_s)


def _is_current(daemon, req, sender, message):
    return (req is not None
            and req.stage is state.Stage.WAITING
            and req.attempt == message.attempt
            and daemon.frontend.cells[req.cell].dispatcher == sender)


def _reason(name):
    try:
        return problems.Reason(name)
    except ValueError:
        # A peer with a newer version may send an unknown reason.
        return problems.Reason.OVERLOAD


def not_dispatcher(daemon, sender, message, now):
    """Schedule a retry: the two hosts' views of the membership differ."""
    cell_state = daemon.frontend.cells.get(message.cell)
    if cell_state is None or cell_state.dispatcher != sender:
        return []
    _mark_unreachable(cell_state, now)
    return []


def _mark_unreachable(cell_state, now):
    if cell_state.unreachable_since is None:
        cell_state.unreachable_since = now
        cell_state.next_reregister_at = now + REREGISTER_INTERVAL_S


def peer_down(daemon, host, now):
    """Mark the cells of a dispatcher as unreachable."""
    daemon.frontend.unreachable_hosts.add(host)
    for cell_state in daemon.frontend.cells.values():
        if cell_state.dispatcher == host:
            _mark_unreachable(cell_state, now)
    return []


def peer_up(daemon, host, now):
    """Register again at a dispatcher that reconnected.

    Messages may have been lost with the old connection.
    """
    daemon.frontend.unreachable_hosts.discard(host)
    out = []
    for cell, cell_state in daemon.frontend.cells.items():
        if cell_state.dispatcher == host:
            cell_state.unreachable_since = None
            out += reregister(daemon, cell, now)
    return out


def update_dispatchers(daemon, now):
    """Apply membership changes: move cells whose dispatcher changed."""
    live = membership.live(daemon)
    if live == daemon.frontend.live_hosts:
        return []
    daemon.frontend.live_hosts = live
    daemon.frontend.membership_changed_at = now
    daemon.frontend.unreachable_hosts &= set(live)
    out = []
    for cell, cell_state in daemon.frontend.cells.items():
        owner = placement.owner(cell, live)
        if owner != cell_state.dispatcher:
            out += _change_dispatcher(daemon, cell, cell_state, owner, now)
    return out


def _change_dispatcher(daemon, cell, cell_state, owner, now):
    out = []
    if membership.is_live(daemon, cell_state.dispatcher):
        # The former dispatcher is alive. Without this it would continue
        # to grant requests that the new one grants too.
        clear = messages.Reregister(cell)
        out.append(effects.Send(cell_state.dispatcher, clear))
    cell_state.dispatcher = owner
    cell_state.unreachable_since = None
    if not owner or owner in daemon.frontend.unreachable_hosts:
        _mark_unreachable(cell_state, now)
    return out + reregister(daemon, cell, now)


def reregister_unreachable(daemon, now):
    """Register again in cells whose dispatcher was unreachable."""
    out = []
    for cell, cell_state in daemon.frontend.cells.items():
        due = cell_state.unreachable_since is not None
        if due and now >= cell_state.next_reregister_at:
            cell_state.next_reregister_at = now + REREGISTER_INTERVAL_S
            out += reregister(daemon, cell, now)
    return out


def move_from_removed_cells(daemon, now):
    """Move waiting requests out of cells that have no servers left."""
    out = []
    for cell, cell_state in list(daemon.frontend.cells.items()):
        if backends.cell_engines(daemon, cell):
            continue
        for rid in list(cell_state.waiting):
            out += _move_request(daemon, daemon.frontend.requests[rid], now)
    return out


def _move_request(daemon, req, now):
    cell = assign_cell(daemon, req.policy.service, req.arrival)
    if not cell:
        return completion.fail(daemon, req, problems.Reason.NO_BACKEND, now,
                               retry_after_s=RETRY_AFTER_S)
    out = completion.withdraw(daemon, req)
    req.cell = cell
    return out + requeue(daemon, req, now)


def flush_progress(daemon):
    """Report the tokens produced since the last report."""
    out = []
    for cell, cell_state in daemon.frontend.cells.items():
        if cell_state.unreported_tokens and cell_state.dispatcher:
            requests = daemon.frontend.requests
            items = tuple(
                messages.Progress(rid, requests[rid].attempt, tokens)
                for rid, tokens in cell_state.unreported_tokens.items())
            message = messages.Progressed(cell, items)
            out.append(effects.Send(cell_state.dispatcher, message))
            cell_state.unreported_tokens.clear()
    return out
