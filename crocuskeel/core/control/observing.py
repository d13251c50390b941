"""Reads the settings, host list and engines; tracks sent orders."""

from crocuskeel.core.control import desired
from crocuskeel.core.control import effects
from crocuskeel.core.control import events
from crocuskeel.core.control import planning
from crocuskeel.core.control import state as states
from crocuskeel.core.leadership import lease as leases

__all__ = ["on_engine", "on_hosts", "on_order", "on_settings", "step"]

Outcome = events.Outcome


def step(state, now):
    """Return the reads that are due; only the lease holder reads engines."""
    effs = []
    cfg = state.cfg
    due = now - state.settings_requested_at >= cfg.settings_s
    if due and not state.settings_read_pending:
        state.settings_read_pending = True
        state.settings_requested_at = now
        effs.append(effects.CheckSettings(state.generation))
    due = now - state.hosts_requested_at >= cfg.hosts_s
    if due and not state.hosts_read_pending:
        state.hosts_read_pending = True
        state.hosts_requested_at = now
        effs.append(effects.ReadHosts())
    if state.lease.holding:
        effs += _read_engines(state, now)
    return effs


def _read_engines(state, now):
    views = state.engines.values()
    unconverged = _unconverged_services(state)
    # Reads are rate limited. Without a longer interval for a large pool
    # most of its engines would always lack a recent observation and
    # count as unavailable, so that no order would ever be sent.
    count = sum(engine.service in unconverged for engine in views)
    state.read_interval_s = max(
        state.cfg.observe_s, count / state.cfg.reads_per_s)
    free_slots = state.cfg.max_reads - sum(
        each.read_pending for each in views)
    due = [engine for engine in views
           if not engine.read_pending
           and now - engine.requested_at >= _read_interval_s(
               state, engine, unconverged)]
    due.sort(key=lambda engine: engine.requested_at)
    effs = []
    for engine in due[:max(0, free_slots)]:
        engine.read_pending = True
        engine.requested_at = now
        effs.append(effects.ReadEngine(engine.name, engine.url))
    return effs


def _read_interval_s(state, engine, unconverged):
    if engine.accepted_order or engine.loading_since is not None:
        return state.cfg.observe_s
    if engine.service in unconverged:
        return state.read_interval_s
    return max(state.cfg.idle_observe_s, state.read_interval_s)


def _unconverged_services(state):
    """Return the services with an engine not known in its desired state."""
    return {
        engine.service for engine in state.engines.values()
        if engine.service in state.pools and (
            not engine.boot_id or engine.sent_order
            or engine.accepted_order or engine.pending_items)}


def on_settings(state, event, now):
    """Apply the settings, unless their generation is not a newer one."""
    state.settings_read_pending = False
    if not event.ok:
        return []
    state.settings_read_at = state.settings_requested_at
    if event.common is None or event.generation <= state.generation:
        return []
    state.generation = event.generation
    effs = []
    pools = {}
    for each in desired.desired_states(event.common):
        pool = state.pools.get(each.service)
        if pool is None or pool.items != each.items:
            effs += _resume_rollout(each.service, pool)
            pool = states.Pool(each.items)
        pool.checks_fence = each.checks_fence
        pools[each.service] = pool
    state.pools = pools
    _update_all_pending_items(state)
    return effs


def _update_all_pending_items(state):
    for engine in state.engines.values():
        planning.update_pending_items(state, engine)


def _resume_rollout(service, pool):
    if pool is None or not pool.paused:
        return []
    return [effects.Record("rollout_resumed", (("service", service),))]


def on_hosts(state, event, now):
    """Update the engines from the host list, keeping observed state."""
    state.hosts_read_pending = False
    if event.engines is None:
        return []
    # An engine with an order in flight is kept until the order's outcome
    # is known, even if the host list no longer has it.
    views = {name: view for name, view in state.engines.items()
             if view.sent_order}
    for view in views.values():
        view.leaving = True
    for entry in event.engines:
        view = state.engines.get(entry.name)
        if view is None or (view.url != entry.url and not view.sent_order):
            view = states.EngineView(
                entry.name, entry.service, entry.url, entry.domain)
        view.service = entry.service
        view.domain = entry.domain
        view.leaving = entry.leaving
        views[entry.name] = view
    state.engines = views
    _update_all_pending_items(state)
    return []


def on_engine(state, event, now):
    """Store an engine's state and verify the order that it accepted."""
    engine = state.engines.get(event.engine)
    if engine is None:
        return []
    engine.read_pending = False
    if not event.ok:
        return _fail_if_overdue(state, engine, now)
    restarted = engine.boot_id not in ("", event.boot_id)
    _update_engine(engine, event)
    planning.update_pending_items(state, engine)
    effs = []
    if restarted:
        effs.append(effects.Record(
            "engine_restarted", (("engine", engine.name),)))
    if engine.accepted_order and engine.accepted_at < engine.requested_at:
        effs += _verify_order(state, engine, restarted, now)
    return effs + leases.check_fence(state, event.highest_fence, now)


def _update_engine(engine, event):
    engine.boot_id = event.boot_id
    engine.models = {name: (version, ready)
                     for name, version, ready in event.models}
    engine.adapters = event.adapters
    engine.role = event.role
    engine.observed_at = engine.requested_at
    if all(ready for _, ready in engine.models.values()):
        engine.loading_since = None
    elif engine.loading_since is None:
        engine.loading_since = engine.requested_at


def _verify_order(state, engine, restarted, now):
    """Confirm the accepted order from the state read, or fail it."""
    item = engine.accepted_order.item
    if restarted:
        return _fail_order(state, engine, "engine restarted", now)
    if planning.has_item(engine, item):
        return _confirm_order(engine)
    version, ready = engine.models.get(item.name, ("", True))
    if not ready and item.version in ("", version):
        return _fail_if_overdue(state, engine, now)
    return _fail_order(state, engine, "undone", now)


def _fail_if_overdue(state, engine, now):
    late = now - engine.accepted_at >= state.cfg.load_s
    if engine.accepted_order and late:
        return _fail_order(state, engine, "not ready in time", now)
    return []


def _confirm_order(engine):
    order = _clear_order(engine)
    engine.failures = 0
    return [effects.order_record("order_confirmed", order)]


def _clear_order(engine):
    """Remove the order; the next one of its item gets another id."""
    order = engine.sent_order or engine.accepted_order
    engine.sent_order = None
    engine.accepted_order = None
    engine.attempts[order.item] = engine.attempts.get(order.item, 0) + 1
    return order


def _fail_order(state, engine, reason, now):
    """Back off this engine; pause the rollout after too many failures."""
    order = _clear_order(engine)
    _back_off(state, engine, now)
    effs = [effects.order_record("order_failed", order, ("why", reason))]
    pool = state.pools.get(engine.service)
    if pool is None or order.item not in pool.items:
        return effs
    pool.failures += 1
    if pool.paused or pool.failures < state.cfg.max_failures:
        return effs
    pool.paused = True
    return effs + [effects.Record("rollout_paused", (
        ("service", engine.service), ("failures", pool.failures),
        ("why", reason)))]


def _back_off(state, engine, now):
    cfg = state.cfg
    span_s = min(cfg.backoff_max_s,
                 cfg.backoff_s * 2 ** engine.failures)
    engine.failures += 1
    engine.hold_until = now + span_s * state.rng.uniform(0.5, 1.0)


def on_order(state, event, now):
    """Handle the outcome of sending an order."""
    engine = state.engines.get(event.engine)
    if (engine is None or engine.sent_order is None
            or engine.sent_order.order_id != event.order_id):
        return []
    order = engine.sent_order
    match event.outcome:
        case Outcome.DONE:
            engine.sent_order = None
            engine.accepted_order = order
            engine.accepted_at = now
            return [effects.order_record("order_taken", order)]
        case Outcome.STALE_FENCE:
            engine.sent_order = None
            return _handle_stale_fence(state, order, event, now)
        case Outcome.REFUSED:
            return _fail_order(state, engine, event.detail, now)
        case Outcome.NOT_SENT:
            engine.sent_order = None
            return [effects.order_record("order_not_sent", order)]
    return _handle_unknown_outcome(state, engine, now)


def _handle_stale_fence(state, order, event, now):
    effs = [effects.order_record(
        "order_refused", order, ("why", event.detail))]
    if order.fence == state.lease.fence:
        effs += leases.step_down(state, order.fence, now)
    return effs


def _handle_unknown_outcome(state, engine, now):
    """Wait until the order can't arrive any more, then read and retry.

    Another order sent at once could arrive before this one, which would
    then leave the engine in a state that is no longer desired.
    """
    order, engine.sent_order = engine.sent_order, None
    engine.hold_until = now + state.cfg.margin_s
    engine.observed_at = states.NEVER
    return [effects.order_record("order_unknown", order)]
