"""Compares desired with observed state and plans the next orders."""

import dataclasses

from crocuskeel.core.control import disruption
from crocuskeel.core.control import effects
from crocuskeel.core.control import load_limit
from crocuskeel.core.control import orders
from crocuskeel.core.leadership import lease as leases

__all__ = ["Plan", "difference", "has_item", "may_send", "step",
           "update_pending_items"]

Kind = orders.Kind
_FROM_WEIGHT_STORE = (Kind.LOAD_MODEL, Kind.LOAD_ADAPTER)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The remaining engines and items under one settings generation."""

    generation: int
    engines: int
    items: int


def has_item(engine, item):
    """Return whether the last observed state fully satisfies ``item``."""
    match item.kind:
        case Kind.LOAD_MODEL:
            version, ready = engine.models.get(item.name, (None, False))
            return ready and item.version in ("", version)
        case Kind.UNLOAD_MODEL:
            return item.name not in engine.models
        case Kind.LOAD_ADAPTER:
            return item.name in engine.adapters
        case Kind.SET_ROLE:
            return item.name == engine.role
    return False


def difference(engine, items):
    """Return the missing items, then the models to unload.

    If a service names no models, none are unloaded: settings written
    before models could be listed must not empty the engines.
    """
    missing = [item for item in items if not has_item(engine, item)]
    named = {item.name for item in items
             if item.kind is Kind.LOAD_MODEL}
    surplus = [orders.Item(Kind.UNLOAD_MODEL, name)
               for name in sorted(engine.models) if name not in named]
    return (*missing, *(surplus if named else ()))


def update_pending_items(state, engine):
    """Recompute the difference of an engine's desired and observed state."""
    pool = state.pools.get(engine.service)
    comparable = pool is not None and engine.boot_id
    engine.pending_items = (
        difference(engine, pool.items) if comparable else ())


def step(state, now):
    """Return the next orders, if this process may send any now."""
    if not leases.is_valid(state, now):
        return []
    if not _settings_fresh(state, now):
        return []
    effs = _record_plan(state)
    for service, members in disruption.by_service(state).items():
        pool = state.pools.get(service)
        if pool is not None and not pool.paused:
            effs += _step_pool(state, pool, members, now)
    return effs


def _settings_fresh(state, now):
    # While the settings can't be read, a newer generation may be in
    # force, which further orders would contradict.
    return now - state.settings_read_at < state.cfg.span_s


def _record_plan(state):
    counts = [len(each.pending_items) for each in state.engines.values()]
    plan = Plan(state.generation, sum(map(bool, counts)), sum(counts))
    if plan == state.last_plan:
        return []
    state.last_plan = plan
    return [effects.Record("plan", (
        ("generation", plan.generation), ("engines", plan.engines),
        ("items", plan.items), ("fence", state.lease.fence)))]


def _step_pool(state, pool, members, now):
    if not any(engine.pending_items for engine in members):
        pool.failures = 0
        return []
    budget = disruption.new_disruption_budget(state, pool, members, now)
    effs = []
    for engine in disruption.unavailable_first(budget, members):
        if not engine.pending_items or not _may_order(
                state, pool, engine, now):
            continue
        if not disruption.allows(budget, engine):
            continue
        item = engine.pending_items[0]
        if item.kind in _FROM_WEIGHT_STORE and not load_limit.take_token(
                state.load_bucket, now):
            break
        disruption.mark_unavailable(budget, engine)
        effs += _send(state, engine, item)
    return effs


def _may_order(state, pool, engine, now):
    """Return whether the next order may be sent to the engine."""
    if engine.leaving or engine.sent_order or engine.accepted_order:
        return False
    if now < engine.hold_until or not disruption.recently_observed(
            state, engine, now):
        return False
    if disruption.is_loading(state, engine, now):
        return False
    return pool.checks_fence or now >= _former_orders_expire_at(state)


def _former_orders_expire_at(state):
    """Return when a former holder's orders can no longer arrive.

    An engine that does not check fencing numbers would accept a former
    holder's order after one of this process. The former holder sent its
    last order while its lease was valid and aborted it ``order_s``
    later.
    """
    lease = state.lease
    return lease.acquired_at + lease.order_s + state.cfg.margin_s


def _send(state, engine, item):
    order = orders.new_order(
        engine, item, state.lease.fence, state.generation)
    engine.sent_order = order
    return [effects.order_record("order_sent", order),
            effects.SendOrder(order, engine.url, state.cfg.order_s)]


def may_send(state, order, now):
    """Return whether an order may still be sent, right before sending.

    Since the decision the process may have been paused, the lease lost
    or another generation accepted.
    """
    recently_active = 0 <= now - state.last_step_at <= state.cfg.jump_s
    return (recently_active and leases.is_valid(state, now)
            and order.fence == state.lease.fence
            and order.generation == state.generation)
