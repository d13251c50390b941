"""Waiting: entries with dispatchers, and changes of dispatcher.

A dispatcher's knowledge is rebuilt from the doors: whenever messages
may have been lost or another host becomes the dispatcher, the door
sends all it holds in the cell, which replaces what was known of it.
"""

from crocuskeel.core import backends
from crocuskeel.core.door import ending
from crocuskeel.core.door import reporting
from crocuskeel.core.door import state
from crocuskeel.core import effects
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement
from crocuskeel.core import problems

__all__ = ["business_of", "cell_for", "enqueue", "flush_progress",
           "follow", "move_lost_cells", "not_dispatcher", "peer_down",
           "peer_up", "refused", "requeue", "reregister",
           "reregister_asked", "try_unsettled"]

REREGISTER_EVERY_S = 0.5
DEFAULT_RETRY_AFTER_S = 1.0


def cell_for(daemon, service, arrival):
    """Return the cell for a request, "" if no server is known.

    Equal prefixes go together for the engines' caches; without one the
    fingerprint brings a resent request to the dispatcher that knows it.
    """
    key = str(arrival.prefix) if arrival.prefix else arrival.fingerprint
    return backends.cell_for(daemon, service, key)


def business_of(daemon, cell, now):
    """Return what the host has in the cell, made if there is none."""
    found = daemon.door.cells.get(cell)
    if found is None:
        dispatcher = placement.owner(cell, membership.live(daemon))
        found = state.Business(dispatcher)
        if not dispatcher or dispatcher in daemon.door.down:
            _unsettle(found, now)
        daemon.door.cells[cell] = found
    return found


def enqueue(daemon, req, now):
    """Register the request's current attempt with the dispatcher."""
    req.stage = state.Stage.WAITING
    business = business_of(daemon, req.cell, now)
    business.waiting[req.rid] = None
    out = [reporting.record(req, "enqueued", now,
                            dispatcher=business.dispatcher)]
    if business.dispatcher:
        entry = _entry(req, now)
        out.append(effects.Send(business.dispatcher, entry))
    return out


def requeue(daemon, req, now):
    """Enqueue the next attempt under a number of its own.

    Messages of the earlier attempt that are still on their way can't be
    taken for the new one's.
    """
    req.attempt += 1
    return enqueue(daemon, req, now)


def _entry(req, now):
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


def _running(req, now):
    return messages.Running(
        rid=req.rid, attempt=req.attempt, cell=req.cell,
        engine=req.engine, class_name=req.policy.name,
        workspace=req.caller.workspace, tier=req.policy.tier,
        fingerprint=req.arrival.fingerprint, tokens=req.tokens,
        age_s=now - req.granted_at, alone=req.alone)


def reregister(daemon, cell, now):
    """Send the dispatcher all that this host holds in the cell."""
    business = daemon.door.cells.get(cell)
    if business is None or not business.dispatcher:
        return []
    requests = daemon.door.requests
    waiting = tuple(_entry(requests[rid], now) for rid in business.waiting)
    running = tuple(_running(requests[rid], now)
                    for rid in business.slots)
    message = messages.Reregister(cell, waiting, running)
    return [effects.Send(business.dispatcher, message)]


def reregister_asked(daemon, sender, cell, now):
    """Answer a dispatcher that wants to know what is held here.

    A host that holds nothing says so: what the dispatcher believes of
    it would else stay taken.
    """
    business = daemon.door.cells.get(cell)
    if business is None:
        return [effects.Send(sender, messages.Reregister(cell))]
    if business.dispatcher != sender:
        return []
    return reregister(daemon, cell, now)


def refused(daemon, sender, refusal, now):
    """Answer a waiting request that its dispatcher gave up.

    An earlier attempt may have run, so the outcome is that of the whole
    request and not of the refused attempt.
    """
    req = daemon.door.requests.get(refusal.rid)
    if not _is_current(daemon, req, sender, refusal):
        return []
    daemon.door.cells[req.cell].unsettled_at = None
    ending.leave_queue(daemon, req)
    out = [reporting.record(req, "refused", now, reason=refusal.reason)]
    reason = _reason(refusal.reason)
    return out + ending.answer(daemon, req, reason, now, refusal.detail,
                               refusal.retry_after_s)


def _is_current(daemon, req, sender, message):
    return (req is not None
            and req.stage is state.Stage.WAITING
            and req.attempt == message.attempt
            and daemon.door.cells[req.cell].dispatcher == sender)


def _reason(name):
    try:
        return problems.Reason(name)
    except ValueError:
        # A newer peer may know reasons that this host does not.
        return problems.Reason.OVERLOAD


def not_dispatcher(daemon, sender, message, now):
    """The two hosts' views of the fleet differ; ask again in a while."""
    business = daemon.door.cells.get(message.cell)
    if business is None or business.dispatcher != sender:
        return []
    _unsettle(business, now)
    return []


def _unsettle(business, now):
    if business.unsettled_at is None:
        business.unsettled_at = now
        business.next_try = now + REREGISTER_EVERY_S


def peer_down(daemon, host, now):
    """Note that the cells of a dispatcher can't be reached."""
    daemon.door.down.add(host)
    for business in daemon.door.cells.values():
        if business.dispatcher == host:
            _unsettle(business, now)
    return []


def peer_up(daemon, host, now):
    """Re-register: messages may have been lost with the old stream."""
    daemon.door.down.discard(host)
    out = []
    for cell, business in daemon.door.cells.items():
        if business.dispatcher == host:
            business.unsettled_at = None
            out += reregister(daemon, cell, now)
    return out


def follow(daemon, now):
    """Follow the fleet: move cells whose dispatcher changed."""
    live = membership.live(daemon)
    if live == daemon.door.live:
        return []
    daemon.door.live = live
    daemon.door.changed_at = now
    daemon.door.down &= set(live)
    out = []
    for cell, business in daemon.door.cells.items():
        owner = placement.owner(cell, live)
        if owner != business.dispatcher:
            out += _move(daemon, cell, business, owner, now)
    return out


def _move(daemon, cell, business, owner, now):
    out = []
    if membership.is_live(daemon, business.dispatcher):
        # The former dispatcher lives: without this it would go on
        # granting what the new one grants too.
        clear = messages.Reregister(cell)
        out.append(effects.Send(business.dispatcher, clear))
    business.dispatcher = owner
    business.unsettled_at = None
    if not owner or owner in daemon.door.down:
        _unsettle(business, now)
    return out + reregister(daemon, cell, now)


def try_unsettled(daemon, now):
    """Register again where the last try found no dispatcher."""
    out = []
    for cell, business in daemon.door.cells.items():
        due = business.unsettled_at is not None
        if due and now >= business.next_try:
            business.next_try = now + REREGISTER_EVERY_S
            out += reregister(daemon, cell, now)
    return out


def move_lost_cells(daemon, now):
    """Move waiting requests out of cells the host list did away with."""
    out = []
    for cell, business in list(daemon.door.cells.items()):
        if backends.cell_engines(daemon, cell):
            continue
        for rid in list(business.waiting):
            out += _move_request(daemon, daemon.door.requests[rid], now)
    return out


def _move_request(daemon, req, now):
    cell = cell_for(daemon, req.policy.service, req.arrival)
    if not cell:
        return ending.answer(daemon, req, problems.Reason.NO_BACKEND, now,
                             retry_after_s=DEFAULT_RETRY_AFTER_S)
    out = ending.withdraw(daemon, req)
    req.cell = cell
    return out + requeue(daemon, req, now)


def flush_progress(daemon):
    """Report the tokens produced since the last time."""
    out = []
    for cell, business in daemon.door.cells.items():
        if business.progress and business.dispatcher:
            requests = daemon.door.requests
            items = tuple(
                messages.Progress(rid, requests[rid].attempt, tokens)
                for rid, tokens in business.progress.items())
            message = messages.Progressed(cell, items)
            out.append(effects.Send(business.dispatcher, message))
            business.progress.clear()
    return out
