"""How many engines of a pool may be out of service at once."""

import collections
import dataclasses
import math

from crocuskeel.core.control import orders

__all__ = ["Room", "allows", "by_service", "known", "limit", "loading",
           "new_room", "out", "take_out", "worst_first"]

_FRESH_ROUNDS = 3
Kind = orders.Kind


def by_service(state):
    """Return the engines of each service, by name."""
    found = {}
    for name in sorted(state.engines):
        engine = state.engines[name]
        found.setdefault(engine.service, []).append(engine)
    return found


def known(state, engine, now):
    """Say whether the last observation is new enough to act upon."""
    return now - engine.seen_at <= _FRESH_ROUNDS * state.pace_s


def loading(state, engine, now):
    """Say whether the engine loads, and not yet for too long."""
    since = engine.loading_since
    return since is not None and now - since < state.cfg.load_s


def _serves(engine, items):
    """Say whether each model of the service is ready, in any version."""
    return all(
        engine.models.get(item.name, ("", False))[1]
        for item in items if item.kind is Kind.LOAD_MODEL)


def out(state, pool, engine, now):
    """Say whether the engine must be counted as out of service.

    One of which nothing was heard lately counts: it may have crashed,
    and the engines that are left must not be taken out besides.
    """
    return bool(
        engine.leaving or engine.order or engine.taken
        or not known(state, engine, now)
        or engine.loading_since is not None
        or not _serves(engine, pool.items))


def limit(share, count):
    """Return how many of ``count`` engines may be out at once.

    It is at least one: else a small pool could never be changed.
    """
    return max(1, math.floor(share * count))


@dataclasses.dataclass(slots=True)
class Room:
    """What of a pool is out, and how much more may be.

    ``near`` counts engines by failure domain; its limits stand in
    ``near_limit``.
    """

    out: set[str]
    limit: int
    near: collections.Counter
    near_limit: dict[str, int]


def new_room(state, pool, members, now):
    """Return the room of a pool as it is now."""
    away = [each for each in members if out(state, pool, each, now)]
    sizes = collections.Counter(each.domain for each in members)
    return Room(
        out={each.name for each in away},
        limit=limit(state.cfg.share, len(members)),
        near=collections.Counter(each.domain for each in away),
        near_limit={domain: limit(state.cfg.domain_share, size)
                    for domain, size in sizes.items()})


def allows(room, engine):
    """Say whether taking this engine out keeps the shares.

    An engine that is out already takes nothing away by being ordered.
    """
    if engine.name in room.out:
        return True
    near = room.near[engine.domain]
    return (len(room.out) < room.limit
            and near < room.near_limit[engine.domain])


def take_out(room, engine):
    """Count an engine as out from here on."""
    if engine.name not in room.out:
        room.out.add(engine.name)
        room.near[engine.domain] += 1


def worst_first(room, members):
    """Return the engines in the order in which to help them.

    Those that serve nothing come first: the weight store's rate must
    not go to engines that can wait.
    """
    return sorted(members, key=lambda each: each.name not in room.out)
