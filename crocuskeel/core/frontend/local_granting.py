"""Local granting, for cells whose dispatcher is unreachable.

Each entry host uses at most ``max(1, slots // hosts)`` slots of an
engine. All known hosts are counted, including those considered dead,
because hosts on the other side of a partition use their share as well.
An engine then runs at most ``max(slots, hosts)`` locally granted
attempts.
"""

from crocuskeel import conf
from crocuskeel.core import backends
from crocuskeel.core.frontend import granting
from crocuskeel.core import membership
from crocuskeel.core import placement
from crocuskeel.core import quarantine

__all__ = ["grant_waiting", "slot_share"]

LOCAL_GRANTS_AFTER_S = 1.0
DEFAULT_SLOTS = 8
OLDEST_FIRST_INTERVAL = 8


def grant_waiting(daemon, now):
    """Grant slots locally in cells without a reachable dispatcher."""
    out = []
    for cell, cell_state in list(daemon.frontend.cells.items()):
        if _may_grant_locally(cell_state, now):
            out += _grant(daemon, cell, cell_state, now)
    return out


def _may_grant_locally(cell_state, now):
    since = cell_state.unreachable_since
    if since is None:
        return False
    return not cell_state.dispatcher or now - since >= LOCAL_GRANTS_AFTER_S


def _grant(daemon, cell, cell_state, now):
    out = []
    while cell_state.waiting:
        found = _next_grant(daemon, cell, cell_state, now)
        if found is None:
            break
        req, engine = found
        cell_state.local_grants += 1
        out += granting.use_slot(daemon, req, engine, False, now)
    return out


def _next_grant(daemon, cell, cell_state, now):
    """Return the next request to grant and its engine, or None.

    Higher tiers go first, but every few grants the request that has
    waited longest, so that no class starves.
    """
    free = _free_engines(daemon, cell, cell_state)
    if not free:
        return None
    requests = [daemon.frontend.requests[rid] for rid in cell_state.waiting]
    oldest_first = (cell_state.local_grants % OLDEST_FIRST_INTERVAL
                    == OLDEST_FIRST_INTERVAL - 1)
    for req in sorted(requests, key=_sort_key(oldest_first)):
        engine = _engine_for(daemon, req, free)
        if engine:
            return req, engine
    return None


def _sort_key(oldest_first):
    if oldest_first:
        return lambda req: req.arrived_at
    return lambda req: (req.policy.tier, req.deadline_at)


def _engine_for(daemon, req, free):
    # Requests suspected of crashing engines wait for a dispatcher, which
    # runs each alone on an engine; this host sees only its own attempts.
    if quarantine.verdict(daemon, req.arrival.fingerprint):
        return ""
    names = {name for name in free if name not in req.avoid}
    usable = (name for name in backends.cell_engines(daemon, req.cell)
              if backends.is_usable(daemon, name))
    if not names and req.avoid and set(usable) <= set(req.avoid):
        # All usable engines are avoided: retrying on one of them is
        # better than no answer.
        names = set(free)
    fewest_used = min((free[name] for name in names), default=0)
    return placement.owner(
        req.rid, [name for name in names if free[name] == fewest_used])


def _free_engines(daemon, cell, cell_state):
    """Return the engines below this host's share of slots.

    The values are the numbers of slots that this host uses.
    """
    used = {}
    for rid in cell_state.slots:
        engine = daemon.frontend.requests[rid].engine
        used[engine] = used.get(engine, 0) + 1
    return {name: used.get(name, 0)
            for name in backends.cell_engines(daemon, cell)
            if backends.is_usable(daemon, name)
            and used.get(name, 0) < slot_share(daemon, name)}


def slot_share(daemon, engine):
    """Return how many slots of an engine this host may grant locally."""
    hosts = max(1, len(membership.all_members(daemon)))
    return max(1, _slot_count(daemon, engine) // hosts)


def _slot_count(daemon, engine):
    backend = backends.get(daemon, engine)
    tree = daemon.follower.tree
    if backend is None or tree is None:
        return DEFAULT_SLOTS
    service = conf.find_service(tree, backend.service)
    return service.max_slots_per_engine if service else DEFAULT_SLOTS
