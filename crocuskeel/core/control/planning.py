"""The difference of wanted and observed state, and the next orders."""

import dataclasses

from crocuskeel.core.control import effects
from crocuskeel.core.control import orders
from crocuskeel.core.control import rates
from crocuskeel.core.control import staging
from crocuskeel.core.leadership import lease as leases

__all__ = ["Plan", "difference", "has", "may_send", "refresh",
           "step"]

Kind = orders.Kind
_FROM_WEIGHT_STORE = (Kind.LOAD_MODEL, Kind.LOAD_ADAPTER)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How much is left to do, under one generation of the settings."""

    generation: int
    engines: int
    items: int


def has(engine, item):
    """Say whether the engine has ``item`` in full, as last observed."""
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
    """Return what the engine lacks, then the models that it must drop.

    A service that names no models has no say about them: settings from
    before the models were listed must not empty its engines.
    """
    lacking = [item for item in items if not has(engine, item)]
    named = {item.name for item in items
             if item.kind is Kind.LOAD_MODEL}
    surplus = [orders.Item(Kind.UNLOAD_MODEL, name)
               for name in sorted(engine.models) if name not in named]
    return (*lacking, *(surplus if named else ()))


def refresh(state, engine):
    """Work out anew what an engine lacks."""
    pool = state.pools.get(engine.service)
    known = pool is not None and engine.boot_id
    engine.lacking = difference(engine, pool.items) if known else ()


def step(state, now):
    """Give the next orders, if this process may give any now."""
    if not leases.fresh(state, now):
        return []
    if not _settings_fresh(state, now):
        return []
    effs = _note_plan(state)
    for service, members in staging.by_service(state).items():
        pool = state.pools.get(service)
        if pool is not None and not pool.paused:
            effs += _step_pool(state, pool, members, now)
    return effs


def _settings_fresh(state, now):
    # Where the settings can't be read, a newer generation may be in
    # force that this process would work against.
    return now - state.settings_at < state.cfg.span_s


def _note_plan(state):
    lacking = [len(each.lacking) for each in state.engines.values()]
    plan = Plan(state.generation, sum(map(bool, lacking)), sum(lacking))
    if plan == state.planned:
        return []
    state.planned = plan
    return [effects.Record("plan", (
        ("generation", plan.generation), ("engines", plan.engines),
        ("items", plan.items), ("fence", state.lease.fence)))]


def _step_pool(state, pool, members, now):
    if not any(engine.lacking for engine in members):
        pool.failures = 0
        return []
    room = staging.new_room(state, pool, members, now)
    effs = []
    for engine in staging.worst_first(room, members):
        if not engine.lacking or not _ready(state, pool, engine, now):
            continue
        if not staging.allows(room, engine):
            continue
        item = engine.lacking[0]
        if item.kind in _FROM_WEIGHT_STORE and not rates.take(
                state.bucket, now):
            break
        staging.take_out(room, engine)
        effs += _send(state, engine, item)
    return effs


def _ready(state, pool, engine, now):
    """Say whether the engine may get its next order."""
    if engine.leaving or engine.order or engine.taken:
        return False
    if now < engine.hold_until or not staging.known(state, engine, now):
        return False
    if staging.loading(state, engine, now):
        return False
    return pool.checks_fence or now >= _waited_at(state)


def _waited_at(state):
    """Return when a former holder's orders can no longer land.

    An engine that checks no fencing numbers would take a former
    holder's order after ours. That holder's last order went out while
    its lease was fresh and was given up ``order_s`` later.
    """
    lease = state.lease
    return lease.acquired_at + lease.order_s + state.cfg.margin_s


def _send(state, engine, item):
    order = orders.new_order(
        engine, item, state.lease.fence, state.generation)
    engine.order = order
    return [effects.record_order("order_sent", order),
            effects.SendOrder(order, engine.url, state.cfg.order_s)]


def may_send(state, order, now):
    """Say whether an order may still go out; asked right before it does.

    Between the decision and the sending the process may have been
    paused, the lease lost or another generation accepted.
    """
    awake = 0 <= now - state.last_step <= state.cfg.jump_s
    return (awake and leases.fresh(state, now)
            and order.fence == state.lease.fence
            and order.generation == state.generation)
