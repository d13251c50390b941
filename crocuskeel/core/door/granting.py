"""Grants: a slot is taken up, or given back at once."""

from crocuskeel.core import backends
from crocuskeel.core.door import claiming
from crocuskeel.core.door import ending
from crocuskeel.core.door import queueing
from crocuskeel.core.door import reporting
from crocuskeel.core.door import running
from crocuskeel.core.door import state
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.core import problems

__all__ = ["claim_granted", "granted", "take"]

MAX_GIVEN_BACK = 8
RETRY_AFTER_S = 1.0


def granted(daemon, sender, grant, now):
    """Take up a slot that a dispatcher granted, or give it back."""
    req = daemon.door.requests.get(grant.rid)
    if _repeated(req, grant):
        return []
    if not _wanted(daemon, req, sender, grant):
        return _give_back(daemon, sender, grant, now)
    daemon.door.cells[req.cell].unsettled_at = None
    return take(daemon, req, grant.engine, grant.alone, now)


def _repeated(req, grant):
    return (req is not None
            and req.attempt == grant.attempt
            and req.engine == grant.engine)


def _wanted(daemon, req, sender, grant):
    return (req is not None
            and req.stage is state.Stage.WAITING
            and req.attempt == grant.attempt
            and daemon.door.cells[req.cell].dispatcher == sender)


def _give_back(daemon, sender, grant, now):
    """Free a slot that nobody here can use.

    A grant may cross the caller's leaving, or a re-registration that
    makes the dispatcher grant twice; a slot not given back would stay
    taken for good. What this host holds is registered again, because
    the dispatcher may have taken the later grant for the valid one.
    """
    released = messages.Released(
        grant.rid, grant.attempt, grant.cell, grant.engine,
        str(events.AttemptEnd.CANCELLED))
    out = [effects.Send(sender, released)]
    business = daemon.door.cells.get(grant.cell)
    if (business is not None and grant.rid in business.slots
            and business.dispatcher == sender):
        out += queueing.reregister(daemon, grant.cell, now)
    return out


def take(daemon, req, engine, alone, now):
    """Hold a slot of ``engine``; claim first where that is needed."""
    business = daemon.door.cells[req.cell]
    del business.waiting[req.rid]
    business.slots[req.rid] = None
    req.engine = engine
    req.alone = alone
    req.granted_at = now
    out = [reporting.record(req, "granted", now, alone=alone)]
    if not backends.usable(daemon, engine):
        return out + _elsewhere(daemon, req, now)
    if req.repeatable or req.claimed:
        return out + running.open_attempt(daemon, req, now)
    return out + claiming.ask(daemon, req, now)


def claim_granted(daemon, req, now):
    """Open the attempt, now that its claim is recorded."""
    if not backends.usable(daemon, req.engine):
        return _elsewhere(daemon, req, now)
    return running.open_attempt(daemon, req, now)


def _elsewhere(daemon, req, now):
    """Give back a slot of a server that is leaving or not known here.

    The dispatcher may have granted before it saw the host list that
    says so; opening would send new work to a leaving server.
    """
    engine = req.engine
    out = [reporting.record(req, "given_back", now)]
    out += ending.release(daemon, req, events.AttemptEnd.CANCELLED)
    req.avoid = tuple(sorted({*req.avoid, engine}))
    if backends.get(daemon, engine) is None:
        out.append(effects.WantHostList())
    req.given_back += 1
    if req.given_back > MAX_GIVEN_BACK:
        # A dispatcher whose host list is older would grant the same
        # server again and again, as fast as messages go.
        return out + ending.answer(
            daemon, req, problems.Reason.NO_BACKEND, now,
            retry_after_s=RETRY_AFTER_S)
    return out + queueing.requeue(daemon, req, now)
