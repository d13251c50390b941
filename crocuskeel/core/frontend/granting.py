"""Grants: a granted slot is used, or released immediately."""

from crocuskeel.core import backends
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.frontend import claiming
from crocuskeel.core.frontend import completion
from crocuskeel.core.frontend import queueing
from crocuskeel.core.frontend import reporting
from crocuskeel.core.frontend import running
from crocuskeel.core.frontend import state
from crocuskeel.core import messages
from crocuskeel.core import problems

__all__ = ["claim_granted", "granted", "use_slot"]

MAX_RETURNED_GRANTS = 8
RETRY_AFTER_S = 1.0


def granted(daemon, sender, grant, now):
    """Use the slot that a dispatcher granted, or release it."""
    req = daemon.frontend.requests.get(grant.rid)
    if _is_duplicate(req, grant):
        return []
    if not _is_current(daemon, req, sender, grant):
        return _return_slot(daemon, sender, grant, now)
    daemon.frontend.cells[req.cell].unreachable_since = None
    return use_slot(daemon, req, grant.engine, grant.alone, now)


def _is_duplicate(req, grant):
    return (req is not None
            and req.attempt == grant.attempt
            and req.engine == grant.engine)


def _is_current(daemon, req, sender, grant):
    return (req is not None
            and req.stage is state.Stage.WAITING
            and req.attempt == grant.attempt
            and daemon.frontend.cells[req.cell].dispatcher == sender)


def _return_slot(daemon, sender, grant, now):
    """Release a granted slot that no request here can use.

    A grant may cross a caller's disconnect, or a re-registration that
    makes the dispatcher grant twice. Without a release the slot would
    stay occupied forever. A cell that already holds a slot for this
    request is registered again, because the dispatcher may consider the
    later grant the valid one.
    """
    released = messages.Released(
        grant.rid, grant.attempt, grant.cell, grant.engine,
        str(events.AttemptEnd.CANCELLED))
    out = [effects.Send(sender, released)]
    cell_state = daemon.frontend.cells.get(grant.cell)
    if (cell_state is not None and grant.rid in cell_state.slots
            and cell_state.dispatcher == sender):
        out += queueing.reregister(daemon, grant.cell, now)
    return out


def use_slot(daemon, req, engine, alone, now):
    """Occupy a slot of ``engine``; request a claim first if needed."""
    cell_state = daemon.frontend.cells[req.cell]
    del cell_state.waiting[req.rid]
    cell_state.slots[req.rid] = None
    req.engine = engine
    req.alone = alone
    req.granted_at = now
    out = [reporting.record(req, "granted", now, alone=alone)]
    if not backends.is_usable(daemon, engine):
        return out + _requeue_elsewhere(daemon, req, now)
    if req.repeatable or req.claimed:
        return out + running.open_attempt(daemon, req, now)
    return out + claiming.request_claim(daemon, req, now)


def claim_granted(daemon, req, now):
    """Open the attempt after its claim was recorded."""
    if not backends.is_usable(daemon, req.engine):
        return _requeue_elsewhere(daemon, req, now)
    return running.open_attempt(daemon, req, now)


def _requeue_elsewhere(daemon, req, now):
    """Release a slot on a leaving or unknown server and requeue.

    The dispatcher may have granted it before it saw the current host
    list. Opening an attempt would send new work to a leaving server.
    """
    engine = req.engine
    out = [reporting.record(req, "given_back", now)]
    out += completion.release(daemon, req, events.AttemptEnd.CANCELLED)
    req.avoid = tuple(sorted({*req.avoid, engine}))
    if backends.get(daemon, engine) is None:
        out.append(effects.WantHostList())
    req.returned_grants += 1
    if req.returned_grants > MAX_RETURNED_GRANTS:
        # A dispatcher with an outdated host list would grant the same
        # server repeatedly, as fast as messages are delivered.
        return out + completion.fail(
            daemon, req, problems.Reason.NO_BACKEND, now,
            retry_after_s=RETRY_AFTER_S)
    return out + queueing.requeue(daemon, req, now)
