"""Learned concurrency limits of engines.

The limit grows by one for each round of answers within the target and is
reduced by a factor when tokens come slower than the class's target. An
engine far slower than the median of its pool gets nothing for a while
and is then probed. One that refuses or breaks attempts gets nothing for a
growing, jittered time, then one probe.
"""

import statistics

from crocuskeel import conf
from crocuskeel.core import backends
from crocuskeel.core.dispatch import state
from crocuskeel.core import effects
from crocuskeel.core import follower

__all__ = ["apply_max_limit", "attempt_done", "attempt_failed", "capacity",
           "connection_lost", "engine_view", "has_first_token_time",
           "is_slow", "mark_busy", "pool_median", "progressed",
           "report_missed", "report_received", "ttft_upper_estimate"]

DEFAULT_SLOTS = 8
SMOOTHING = 0.1
GROWTH_THRESHOLD = 0.85
MAX_DECREASE_FACTOR = 0.95
MIN_DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_S = 1.0
SLOW_RATIO = 2.0
PER_ATTEMPT_SLOW_RATIO = 1.5
# The mean plus this many mean deviations still has to meet the target.
TOKEN_DEVIATIONS = 2.0
CALL_DEVIATIONS = 4.0
OBSERVED_LOAD_FACTOR = 1.2
MIN_CALL_LIMIT = 5.0
TTFT_DEVIATIONS = 2.0
MIN_SLOW_SAMPLES = 6
MIN_ADAPT_SAMPLES = 12
# The mean time between the few tokens of a short answer is unreliable.
MIN_TIMED_TOKENS = 16
PROGRESS_SMOOTHING = 0.05
SLOW_BACKOFF_BASE_S = 1.0
SLOW_BACKOFF_MAX_S = 30.0
FAILURE_BACKOFF_BASE_S = 0.5
FAILURE_BACKOFF_MAX_S = 15.0
BUSY_PAUSE_S = 0.2
MISSED_REPORTS_PER_FAILURE = 3
TOLERATED_LOSSES = 1
MAX_ENGINES = 4096


def engine_view(daemon, name):
    """Return the :class:`state.EngineView` of a server, made if new."""
    views = daemon.dispatch.engines
    view = views.get(name)
    if view is None:
        max_limit = _configured_max(daemon, name)
        view = views[name] = state.EngineView(
            name, float(max_limit), max_limit)
        if len(views) > MAX_ENGINES:
            del views[next(iter(views))]
    return view


def _configured_max(daemon, name):
    backend = backends.get(daemon, name)
    tree = daemon.follower.tree
    if backend is None or tree is None:
        return DEFAULT_SLOTS
    policy = conf.find_service(tree, backend.service)
    return policy.max_slots_per_engine if policy else DEFAULT_SLOTS


def apply_max_limit(daemon, view):
    """Bound the limit by the settings and by the slots that it reports."""
    max_limit = _configured_max(daemon, view.name)
    if view.reported_slots:
        max_limit = min(max_limit, view.reported_slots)
    if max_limit == view.max_limit:
        return
    if view.concurrency_limit >= view.max_limit:
        # The limit was never reduced, so nothing learned speaks against
        # a larger one.
        view.concurrency_limit = float(max_limit)
    view.concurrency_limit = min(view.concurrency_limit, float(max_limit))
    view.max_limit = max_limit


def capacity(view, now):
    """Return how many attempts the engine may run at once now."""
    if now < view.paused_until:
        return 0
    if view.probing:
        return 1
    return max(1, int(view.concurrency_limit))


def pool_median(daemon, cell, read):
    """Return the median of ``read(view)`` over a cell's engines, or 0."""
    known = [read(daemon.dispatch.engines[name])
             for name in backends.cell_engines(daemon, cell.name)
             if name in daemon.dispatch.engines]
    known = [value for value in known if value > 0.0]
    return statistics.median(known) if known else 0.0


def is_slow(daemon, cell, view):
    """Tell whether the engine is far slower than its pool."""
    if view.samples < MIN_SLOW_SAMPLES:
        return False
    median = pool_median(daemon, cell, lambda other: other.unit_latency)
    if median <= 0.0 or view.unit_latency <= SLOW_RATIO * median:
        return False
    # A healthy engine with much of the load is slower too, but not when
    # its latency is divided by the attempts that share it.
    median = pool_median(daemon, cell, latency_per_attempt)
    return latency_per_attempt(view) > PER_ATTEMPT_SLOW_RATIO * median


def latency_per_attempt(view):
    """Return the latency divided by the attempts that share the engine."""
    return view.unit_latency / max(1.0, view.mean_concurrency)


def attempt_done(daemon, cell, view, slot, released, now):
    """Learn from a complete answer; return effects."""
    latency = _unit_latency(daemon, view, released)
    if latency > 0.0 and not 0 < released.tokens < MIN_TIMED_TOKENS:
        if view.unit_latency:
            deviation = abs(latency - view.unit_latency)
            view.unit_latency_dev = _smooth(
                view.unit_latency_dev, deviation, SMOOTHING)
        _observe(view, latency, slot.batch_size, SMOOTHING)
        _observe_ttft(view, released.ttft_s)
    if is_slow(daemon, cell, view):
        return _back_off_slow(daemon, view, now)
    if view.probing:
        # An attempt granted before the trouble doesn't show that it is
        # over.
        is_probe = slot.granted_at >= view.paused_until
        return _restore(view) if is_probe else []
    view.failures = 0
    if latency > 0.0:
        _adapt(daemon, cell, view, slot, released, now)
    return []


def _unit_latency(daemon, view, released):
    """Return the time between tokens or, for a plain service, of a call.

    An engine's answer that was not streamed has neither: when its whole
    time was taken as that of one token, no deadline seemed possible to
    meet, so nothing ran that could have corrected the estimate.
    """
    if released.itl_s or has_first_token_time(daemon, view.name, released):
        return released.itl_s or released.ttft_s
    return 0.0


def has_first_token_time(daemon, name, released):
    """Tell whether an answer's first byte came with its first token."""
    backend = backends.get(daemon, name)
    plain = backend is not None and backend.kind == "plain"
    return plain or released.tokens > 0


def progressed(daemon, cell, view, latency, now):
    """Learn from a running answer; return effects.

    Waiting for a slow engine's answers to end would take too long.
    ``latency`` is the time between tokens since the last report.
    """
    concurrency = len(cell.running_by_engine.get(view.name, ()))
    _observe(view, latency, concurrency, PROGRESS_SMOOTHING)
    if is_slow(daemon, cell, view):
        return _back_off_slow(daemon, view, now)
    return []


def _observe(view, latency, concurrency, weight):
    view.samples += 1
    view.unit_latency = _smooth(view.unit_latency, latency, weight)
    view.mean_concurrency = _smooth(
        view.mean_concurrency, concurrency, weight)


def _observe_ttft(view, ttft):
    if view.ttft:
        deviation = abs(ttft - view.ttft)
        view.ttft_dev = _smooth(view.ttft_dev, deviation, SMOOTHING)
    view.ttft = _smooth(view.ttft, ttft, SMOOTHING)


def ttft_upper_estimate(daemon, cell):
    """Return a time to first token that engines rarely exceed."""
    def upper_estimate(view):
        return view.ttft + TTFT_DEVIATIONS * view.ttft_dev

    return pool_median(daemon, cell, upper_estimate)


def _smooth(old, new, weight):
    return new if old == 0.0 else old + weight * (new - old)


def _adapt(daemon, cell, view, slot, released, now):
    target = _target(daemon, cell, slot, released)
    if target <= 0.0 or view.samples < MIN_ADAPT_SAMPLES:
        return
    deviations = TOKEN_DEVIATIONS if released.itl_s else CALL_DEVIATIONS
    high_latency = view.unit_latency + deviations * view.unit_latency_dev
    if not released.itl_s:
        _cap_to_observed_load(view, target / high_latency)
    if (high_latency > target
            and now - view.reduced_at >= DECREASE_INTERVAL_S):
        view.reduced_at = now
        factor = min(max(target / high_latency, MIN_DECREASE_FACTOR),
                     MAX_DECREASE_FACTOR)
        view.concurrency_limit = max(1.0, view.concurrency_limit * factor)
    elif (high_latency < GROWTH_THRESHOLD * target
            and slot.batch_size >= view.concurrency_limit - 1.0):
        view.concurrency_limit = min(
            float(view.max_limit),
            view.concurrency_limit + 1.0 / view.concurrency_limit)


def _cap_to_observed_load(view, target_ratio):
    """Keep a plain service's limit near the load it was seen to sustain.

    Its calls may slow each other down in full proportion. A limit that
    was never reached has not been tested: the start of a burst would fill
    it and make every call late.
    """
    sustainable = (
        OBSERVED_LOAD_FACTOR * view.mean_concurrency * target_ratio)
    view.concurrency_limit = min(
        view.concurrency_limit, max(sustainable, MIN_CALL_LIMIT))


def _target(daemon, cell, slot, released):
    """Return the tightest target of the classes that use the cell."""
    policy = None
    if daemon.follower.tree is not None:
        policy = follower.policy(daemon, slot.workspace, slot.class_name)
    if policy is not None:
        class_target = (policy.target_itl_s if released.itl_s
                        else policy.target_ttft_s)
        cell.targets[slot.class_name] = class_target
    return min(cell.targets.values(), default=0.0)


def _back_off_slow(daemon, view, now):
    if view.slow_backoffs and now < view.paused_until:
        return []
    view.slow_backoffs = min(view.slow_backoffs + 1, 8)
    span = min(SLOW_BACKOFF_MAX_S,
               SLOW_BACKOFF_BASE_S * 2.0 ** (view.slow_backoffs - 1))
    view.paused_until = now + span * daemon.rng.uniform(0.8, 1.2)
    view.probing = True
    # Only later measurements show how the engine performs afterwards.
    view.samples = 0
    slow_latency, view.unit_latency = view.unit_latency, 0.0
    return [effects.Record("eased_off", "", (
        ("engine", view.name), ("pace_s", slow_latency),
        ("span_s", span)))]


def _restore(view):
    view.probing = False
    view.slow_backoffs = 0
    view.failures = 0
    view.concurrency_limit = max(view.concurrency_limit, view.max_limit / 2.0)
    return [effects.Record("restored", "", (("engine", view.name),))]


def mark_busy(view, in_flight, now):
    """Reduce the limit of an engine that refused an attempt as full."""
    view.concurrency_limit = max(1.0, float(in_flight))
    view.paused_until = max(view.paused_until, now + BUSY_PAUSE_S)


def attempt_failed(daemon, view, now, granted_at=None):
    """Back off from an engine that refused or didn't answer an attempt.

    ``granted_at`` is when the attempt was granted, None if unknown.
    """
    if now < view.paused_until or _is_old(view, granted_at):
        return []
    view.failures += 1
    return _back_off(daemon, view, view.failures - 1, now)


def connection_lost(daemon, view, now, granted_at=None):
    """Probe an engine that broke off an answer, or back off from it.

    A single loss may be the fault of the connection alone, and a pause of
    the server could leave a class without any server. So the first loss
    leads to an immediate probe, and only consecutive losses to a pause.
    """
    if now < view.paused_until or _is_old(view, granted_at):
        return []
    view.failures += 1
    if view.failures > 1:
        return _back_off(
            daemon, view, view.failures - TOLERATED_LOSSES - 1, now)
    view.probing = True
    view.paused_until = now
    return []


def _is_old(view, granted_at):
    # Attempts granted before the trouble end one by one while it lasts.
    # If each were counted, a momentary fault would lead to the longest
    # pause.
    return (view.probing and granted_at is not None
            and granted_at < view.paused_until)


def _back_off(daemon, view, doublings, now):
    span = min(FAILURE_BACKOFF_MAX_S,
               FAILURE_BACKOFF_BASE_S * 2.0 ** doublings)
    view.paused_until = now + span * daemon.rng.uniform(0.75, 1.25)
    view.probing = True
    return [effects.Record("backed_off", "", (
        ("engine", view.name), ("span_s", span)))]


def report_received(daemon, view, report):
    """Apply a load report; this host's own counts are more recent."""
    restarted = bool(view.boot_id) and report.boot_id != view.boot_id
    view.boot_id = report.boot_id
    view.reported_load = report.running + report.waiting
    view.missed_reports = 0
    view.reported_slots = report.slots
    apply_max_limit(daemon, view)
    if restarted:
        view.prefixes.clear()


def report_missed(daemon, view, now):
    """Count a missing load report; return effects."""
    view.missed_reports += 1
    if view.missed_reports % MISSED_REPORTS_PER_FAILURE:
        return []
    return attempt_failed(daemon, view, now)
