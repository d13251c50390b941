"""Going on without a dispatcher, with a small safe share of slots.

Of an engine's slots each entry host takes at most its part, at least
one: ``max(1, slots // hosts)``. All known hosts are counted, dead ones
too: those on the other side of a partition take their part as well. An
engine then runs at most ``max(slots, hosts)`` attempts granted so.
"""

from crocuskeel import conf
from crocuskeel.core import backends
from crocuskeel.core.door import granting
from crocuskeel.core import membership
from crocuskeel.core import placement
from crocuskeel.core import quarantine

__all__ = ["share", "step"]

ALONE_AFTER_S = 1.0
DEFAULT_SLOTS = 8
OLDEST_EVERY = 8


def step(daemon, now):
    """Grant what the host may run alone in its unsettled cells."""
    out = []
    for cell, business in list(daemon.door.cells.items()):
        if _is_alone(business, now):
            out += _grant(daemon, cell, business, now)
    return out


def _is_alone(business, now):
    since = business.unsettled_at
    if since is None:
        return False
    return not business.dispatcher or now - since >= ALONE_AFTER_S


def _grant(daemon, cell, business, now):
    out = []
    while business.waiting:
        found = _next(daemon, cell, business, now)
        if found is None:
            break
        req, engine = found
        business.alone_grants += 1
        out += granting.take(daemon, req, engine, False, now)
    return out


def _next(daemon, cell, business, now):
    """Return the next request and its engine, None if none can go.

    Higher tiers first, but every few grants the longest waiting one, so
    that no class starves while the host is alone.
    """
    free = _free_engines(daemon, cell, business)
    if not free:
        return None
    requests = [daemon.door.requests[rid] for rid in business.waiting]
    oldest_turn = business.alone_grants % OLDEST_EVERY == OLDEST_EVERY - 1
    for req in sorted(requests, key=_order(oldest_turn)):
        engine = _engine_for(daemon, req, free)
        if engine:
            return req, engine
    return None


def _order(oldest_turn):
    if oldest_turn:
        return lambda req: req.arrived_at
    return lambda req: (req.policy.tier, req.deadline_at)


def _engine_for(daemon, req, free):
    # Suspects of crashing engines wait for a dispatcher, which runs
    # them alone on an engine; this host sees only its own attempts.
    if quarantine.verdict(daemon, req.arrival.fingerprint):
        return ""
    names = {name for name in free if name not in req.avoid}
    usable = (name for name in backends.cell_engines(daemon, req.cell)
              if backends.usable(daemon, name))
    if not names and req.avoid and set(usable) <= set(req.avoid):
        # There is no other engine: better the same one than no answer.
        names = set(free)
    least = min((free[name] for name in names), default=0)
    return placement.owner(
        req.rid, [name for name in names if free[name] == least])


def _free_engines(daemon, cell, business):
    """Return engines with room in this host's share, and their use."""
    used = {}
    for rid in business.slots:
        engine = daemon.door.requests[rid].engine
        used[engine] = used.get(engine, 0) + 1
    return {name: used.get(name, 0)
            for name in backends.cell_engines(daemon, cell)
            if backends.usable(daemon, name)
            and used.get(name, 0) < share(daemon, name)}


def share(daemon, engine):
    """Return how many slots of an engine this host takes alone."""
    hosts = max(1, len(membership.everyone(daemon)))
    return max(1, _slots(daemon, engine) // hosts)


def _slots(daemon, engine):
    backend = backends.get(daemon, engine)
    tree = daemon.follower.tree
    if backend is None or tree is None:
        return DEFAULT_SLOTS
    service = conf.service(tree, backend.service)
    return service.max_slots_per_engine if service else DEFAULT_SLOTS
