"""Limits how many engines of a pool are unavailable at once."""

import collections
import dataclasses
import math

from crocuskeel.core.control import orders

__all__ = ["DisruptionBudget", "allows", "by_service", "is_loading",
           "is_unavailable", "mark_unavailable", "max_unavailable",
           "new_disruption_budget", "recently_observed",
           "unavailable_first"]

_MAX_AGE_INTERVALS = 3
Kind = orders.Kind


def by_service(state):
    """Return the engines of each service, in order of their names."""
    found = {}
    for name in sorted(state.engines):
        engine = state.engines[name]
        found.setdefault(engine.service, []).append(engine)
    return found


def recently_observed(state, engine, now):
    """Return whether the last observation is recent enough to act on."""
    return (now - engine.observed_at
            <= _MAX_AGE_INTERVALS * state.read_interval_s)


def is_loading(state, engine, now):
    """Return whether the engine is loading within the time limit."""
    since = engine.loading_since
    return since is not None and now - since < state.cfg.load_s


def _all_models_ready(engine, items):
    """Return whether each model of the service is ready, in any version."""
    return all(
        engine.models.get(item.name, ("", False))[1]
        for item in items if item.kind is Kind.LOAD_MODEL)


def is_unavailable(state, pool, engine, now):
    """Return whether the engine counts as out of service.

    An engine without a recent observation counts: it may have crashed,
    and orders to the remaining engines must not reduce the pool further.
    """
    return bool(
        engine.leaving or engine.sent_order or engine.accepted_order
        or not recently_observed(state, engine, now)
        or engine.loading_since is not None
        or not _all_models_ready(engine, pool.items))


def max_unavailable(share, count):
    """Return how many of ``count`` engines may be unavailable at once.

    It is at least one, since otherwise a small pool could never change.
    """
    return max(1, math.floor(share * count))


@dataclasses.dataclass(slots=True)
class DisruptionBudget:
    """The unavailable engines of a pool and the limits on them.

    ``unavailable_by_domain`` counts the unavailable engines in each
    failure domain, ``domain_limits`` holds the limits on these counts.
    """

    unavailable: set[str]
    max_unavailable: int
    unavailable_by_domain: collections.Counter
    domain_limits: dict[str, int]


def new_disruption_budget(state, pool, members, now):
    """Return the disruption budget of a pool as it is now."""
    unavailable = [each for each in members
                   if is_unavailable(state, pool, each, now)]
    sizes = collections.Counter(each.domain for each in members)
    return DisruptionBudget(
        unavailable={each.name for each in unavailable},
        max_unavailable=max_unavailable(state.cfg.share, len(members)),
        unavailable_by_domain=collections.Counter(
            each.domain for each in unavailable),
        domain_limits={
            domain: max_unavailable(state.cfg.domain_share, size)
            for domain, size in sizes.items()})


def allows(budget, engine):
    """Return whether an order to this engine keeps the budget.

    An order to an engine that is already unavailable costs nothing.
    """
    if engine.name in budget.unavailable:
        return True
    in_domain = budget.unavailable_by_domain[engine.domain]
    return (len(budget.unavailable) < budget.max_unavailable
            and in_domain < budget.domain_limits[engine.domain])


def mark_unavailable(budget, engine):
    """Count an engine as unavailable from now on."""
    if engine.name not in budget.unavailable:
        budget.unavailable.add(engine.name)
        budget.unavailable_by_domain[engine.domain] += 1


def unavailable_first(budget, members):
    """Return the engines in the order in which to send them orders.

    Unavailable engines come first, so that engines still in service do
    not use up the weight store's rate limit before them.
    """
    return sorted(
        members, key=lambda each: each.name not in budget.unavailable)
