"""Settings, host list and engines as read, and how orders ended."""

from crocuskeel.core.control import effects
from crocuskeel.core.control import events
from crocuskeel.core.control import planning
from crocuskeel.core.control import state as states
from crocuskeel.core.control import wanted
from crocuskeel.core.leadership import lease as leases

__all__ = ["on_engine", "on_hosts", "on_order", "on_settings", "step"]

Outcome = events.Outcome


def step(state, now):
    """Ask for what is due to be read; only the holder reads engines."""
    effs = []
    cfg = state.cfg
    due = now - state.settings_asked_at >= cfg.settings_s
    if due and not state.settings_open:
        state.settings_open = True
        state.settings_asked_at = now
        effs.append(effects.CheckSettings(state.generation))
    due = now - state.hosts_asked_at >= cfg.hosts_s
    if due and not state.hosts_open:
        state.hosts_open = True
        state.hosts_asked_at = now
        effs.append(effects.ReadHosts())
    if state.lease.holding:
        effs += _read_engines(state, now)
    return effs


def _read_engines(state, now):
    views = state.engines.values()
    busy = _busy_services(state)
    # The rate of reads is bounded. Were the pace of a large pool not
    # lower, most of its engines would always count as unknown, and so
    # as out, and no order would ever go out.
    count = sum(engine.service in busy for engine in views)
    state.pace_s = max(
        state.cfg.observe_s, count / state.cfg.reads_per_s)
    room = state.cfg.max_reads - sum(each.reading for each in views)
    due = [engine for engine in views
           if not engine.reading and now - engine.asked_at >= _pace_s(
               state, engine, busy)]
    due.sort(key=lambda engine: engine.asked_at)
    effs = []
    for engine in due[:max(0, room)]:
        engine.reading = True
        engine.asked_at = now
        effs.append(effects.ReadEngine(engine.name, engine.url))
    return effs


def _pace_s(state, engine, busy):
    if engine.taken or engine.loading_since is not None:
        return state.cfg.observe_s
    if engine.service in busy:
        return state.pace_s
    return max(state.cfg.idle_observe_s, state.pace_s)


def _busy_services(state):
    """Return the services of which not every engine is as wanted."""
    return {
        engine.service for engine in state.engines.values()
        if engine.service in state.pools and (
            not engine.boot_id or engine.order or engine.taken
            or engine.lacking)}


def on_settings(state, event, now):
    """Follow the newest accepted generation, never an older one."""
    state.settings_open = False
    if not event.ok:
        return []
    state.settings_at = state.settings_asked_at
    if event.common is None or event.generation <= state.generation:
        return []
    state.generation = event.generation
    effs = []
    pools = {}
    for each in wanted.wanted(event.common):
        pool = state.pools.get(each.service)
        if pool is None or pool.items != each.items:
            effs += _resume(each.service, pool)
            pool = states.Pool(each.items)
        pool.checks_fence = each.checks_fence
        pools[each.service] = pool
    state.pools = pools
    _refresh_all(state)
    return effs


def _refresh_all(state):
    for engine in state.engines.values():
        planning.refresh(state, engine)


def _resume(service, pool):
    if pool is None or not pool.paused:
        return []
    return [effects.Record("rollout_resumed", (("service", service),))]


def on_hosts(state, event, now):
    """Take the host list's engines; keep what is known of them."""
    state.hosts_open = False
    if event.engines is None:
        return []
    # An order on its way is waited for, also where its engine has left.
    views = {name: view for name, view in state.engines.items()
             if view.order}
    for view in views.values():
        view.leaving = True
    for entry in event.engines:
        view = state.engines.get(entry.name)
        if view is None or (view.url != entry.url and not view.order):
            view = states.EngineView(
                entry.name, entry.service, entry.url, entry.domain)
        view.service = entry.service
        view.domain = entry.domain
        view.leaving = entry.leaving
        views[entry.name] = view
    state.engines = views
    _refresh_all(state)
    return []


def on_engine(state, event, now):
    """Take an engine's state; settle the order that it had taken."""
    engine = state.engines.get(event.engine)
    if engine is None:
        return []
    engine.reading = False
    if not event.ok:
        return _overdue(state, engine, now)
    restarted = engine.boot_id not in ("", event.boot_id)
    _take_report(engine, event)
    planning.refresh(state, engine)
    effs = []
    if restarted:
        effs.append(effects.Record(
            "engine_restarted", (("engine", engine.name),)))
    if engine.taken and engine.taken_at < engine.asked_at:
        effs += _settle(state, engine, restarted, now)
    return effs + leases.seen_fence(state, event.highest_fence, now)


def _take_report(engine, event):
    engine.boot_id = event.boot_id
    engine.models = {name: (version, ready)
                     for name, version, ready in event.models}
    engine.adapters = event.adapters
    engine.role = event.role
    engine.seen_at = engine.asked_at
    if all(ready for _, ready in engine.models.values()):
        engine.loading_since = None
    elif engine.loading_since is None:
        engine.loading_since = engine.asked_at


def _settle(state, engine, restarted, now):
    """Confirm by reading back, or give the order up."""
    item = engine.taken.item
    if restarted:
        return _failed(state, engine, "engine restarted", now)
    if planning.has(engine, item):
        return _confirmed(engine)
    version, ready = engine.models.get(item.name, ("", True))
    if not ready and item.version in ("", version):
        return _overdue(state, engine, now)
    return _failed(state, engine, "undone", now)


def _overdue(state, engine, now):
    late = now - engine.taken_at >= state.cfg.load_s
    if engine.taken and late:
        return _failed(state, engine, "not ready in time", now)
    return []


def _confirmed(engine):
    order = _end(engine)
    engine.failures = 0
    return [effects.record_order("order_confirmed", order)]


def _end(engine):
    """Forget the order; its item's next one gets another id."""
    order = engine.order or engine.taken
    engine.order = None
    engine.taken = None
    engine.rounds[order.item] = engine.rounds.get(order.item, 0) + 1
    return order


def _failed(state, engine, why, now):
    """Back off this engine; pause the rollout after too many."""
    order = _end(engine)
    _back_off(state, engine, now)
    effs = [effects.record_order("order_failed", order, ("why", why))]
    pool = state.pools.get(engine.service)
    if pool is None or order.item not in pool.items:
        return effs
    pool.failures += 1
    if pool.paused or pool.failures < state.cfg.max_failures:
        return effs
    pool.paused = True
    return effs + [effects.Record("rollout_paused", (
        ("service", engine.service), ("failures", pool.failures),
        ("why", why)))]


def _back_off(state, engine, now):
    cfg = state.cfg
    span_s = min(cfg.backoff_max_s,
                 cfg.backoff_s * 2 ** engine.failures)
    engine.failures += 1
    engine.hold_until = now + span_s * state.rng.uniform(0.5, 1.0)


def on_order(state, event, now):
    """Take the end of an order's sending."""
    engine = state.engines.get(event.engine)
    if (engine is None or engine.order is None
            or engine.order.order_id != event.order_id):
        return []
    order = engine.order
    match event.outcome:
        case Outcome.DONE:
            engine.order = None
            engine.taken = order
            engine.taken_at = now
            return [effects.record_order("order_taken", order)]
        case Outcome.STALE_FENCE:
            engine.order = None
            return _refused(state, order, event, now)
        case Outcome.REFUSED:
            return _failed(state, engine, event.detail, now)
        case Outcome.NOT_SENT:
            engine.order = None
            return [effects.record_order("order_not_sent", order)]
    return _unknown(state, engine, now)


def _refused(state, order, event, now):
    effs = [effects.record_order(
        "order_refused", order, ("why", event.detail))]
    if order.fence == state.lease.fence:
        effs += leases.step_down(state, order.fence, now)
    return effs


def _unknown(state, engine, now):
    """Wait until the order can't land any more, then read and repeat.

    Another order sent at once could be overtaken by this one, which
    would leave the engine with what is no longer wanted.
    """
    order, engine.order = engine.order, None
    engine.hold_until = now + state.cfg.margin_s
    engine.seen_at = states.NEVER
    return [effects.record_order("order_unknown", order)]
