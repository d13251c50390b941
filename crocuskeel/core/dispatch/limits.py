"""What an engine can take: learned from the answers it gave.

The concurrency limit grows by one a round of good answers and shrinks
by a part when tokens come slower than the class's target. An engine far
slower than its pool's median is eased off and probed again; one that
refuses or breaks gets nothing for a growing, jittered time, then one
probe.
"""

import statistics

from crocuskeel import conf
from crocuskeel.core import backends
from crocuskeel.core.dispatch import state
from crocuskeel.core import effects
from crocuskeel.core import follower

__all__ = ["bound", "capacity", "done", "doubted", "engine", "failed",
           "first_token", "is_slow", "load_seen", "make_busy", "pool_median",
           "progressed", "report_missed"]

DEFAULT_SLOTS = 8
SMOOTHING = 0.1
GOOD_SHARE = 0.85
LEAST_CUT = 0.95
MOST_CUT = 0.7
CUT_EVERY_S = 1.0
SLOW_RATIO = 2.0
UNIT_RATIO = 1.5
# Mean deviations above the mean that still have to meet the target.
TOKEN_SPREADS = 2.0
CALL_SPREADS = 4.0
PROVEN = 1.2
MIN_CALLS = 5.0
FIRST_SPREADS = 2.0
SLOW_SAMPLES = 6
ENOUGH_SAMPLES = 12
# The mean time between the few tokens of a short answer says little.
ENOUGH_TOKENS = 16
PROGRESS_SMOOTHING = 0.05
EASE_BASE_S = 1.0
EASE_MAX_S = 30.0
OFF_BASE_S = 0.5
OFF_MAX_S = 15.0
BUSY_PAUSE_S = 0.2
MISSED_REPORTS = 3
FREE_LOSSES = 1
MAX_ENGINES = 4096


def engine(daemon, name):
    """Return the :class:`state.EngineView` of a server, made if new."""
    views = daemon.dispatch.engines
    view = views.get(name)
    if view is None:
        most = _most(daemon, name)
        view = views[name] = state.EngineView(name, float(most), most)
        if len(views) > MAX_ENGINES:
            del views[next(iter(views))]
    return view


def _most(daemon, name):
    backend = backends.get(daemon, name)
    tree = daemon.follower.tree
    if backend is None or tree is None:
        return DEFAULT_SLOTS
    policy = conf.service(tree, backend.service)
    return policy.max_slots_per_engine if policy else DEFAULT_SLOTS


def bound(daemon, view):
    """Hold the most slots to the settings and the engine's own word."""
    most = _most(daemon, view.name)
    if view.told:
        most = min(most, view.told)
    if most == view.most:
        return
    if view.limit >= view.most:
        # Never cut so far: what is learned does not stand against more.
        view.limit = float(most)
    view.limit = min(view.limit, float(most))
    view.most = most


def capacity(view, now):
    """Return how many attempts the engine may run at once now."""
    if now < view.off_until:
        return 0
    if view.probing:
        return 1
    return max(1, int(view.limit))


def pool_median(daemon, cell, read):
    """Return the median of ``read(view)`` over a cell's engines, or 0."""
    known = [read(daemon.dispatch.engines[name])
             for name in backends.cell_engines(daemon, cell.name)
             if name in daemon.dispatch.engines]
    known = [value for value in known if value > 0.0]
    return statistics.median(known) if known else 0.0


def is_slow(daemon, cell, view):
    """Tell whether the engine is far slower than its pool."""
    if view.samples < SLOW_SAMPLES:
        return False
    median = pool_median(daemon, cell, lambda other: other.pace)
    if median <= 0.0 or view.pace <= SLOW_RATIO * median:
        return False
    # A sound engine with much of the load is slower too, but not for
    # each of the attempts that share it.
    median = pool_median(daemon, cell, unit)
    return unit(view) > UNIT_RATIO * median


def unit(view):
    """Return the pace for each attempt that shared the engine."""
    return view.pace / max(1.0, view.crowd)


def done(daemon, cell, view, slot, released, now):
    """Learn from a whole answer; return effects."""
    pace = _pace(daemon, view, released)
    if pace > 0.0 and not 0 < released.tokens < ENOUGH_TOKENS:
        if view.pace:
            off = abs(pace - view.pace)
            view.spread = _smooth(view.spread, off, SMOOTHING)
        _observe(view, pace, slot.batch, SMOOTHING)
        _observe_first(view, released.ttft_s)
    if is_slow(daemon, cell, view):
        return _ease(daemon, view, now)
    if view.probing:
        # What was granted before the trouble says nothing of its end.
        is_probe = slot.granted_at >= view.off_until
        return _restore(view) if is_probe else []
    view.failures = 0
    if pace > 0.0:
        _adapt(daemon, cell, view, slot, released, now)
    return []


def _pace(daemon, view, released):
    """Return the time between tokens, of a call for a plain service.

    An engine's answer in one piece tells neither: its whole time taken
    for that of one token made every deadline look hopeless, and then
    nothing ran that could have corrected it.
    """
    if released.itl_s or tells_first(daemon, view.name, released):
        return released.itl_s or released.ttft_s
    return 0.0


def tells_first(daemon, name, released):
    """Tell whether an answer's first byte came with its first token."""
    backend = backends.get(daemon, name)
    plain = backend is not None and backend.kind == "plain"
    return plain or released.tokens > 0


def progressed(daemon, cell, view, pace, now):
    """Learn from running answers: a slow engine's end takes too long.

    ``pace`` is the time between tokens since the last report.
    """
    crowd = len(cell.by_engine.get(view.name, ()))
    _observe(view, pace, crowd, PROGRESS_SMOOTHING)
    if is_slow(daemon, cell, view):
        return _ease(daemon, view, now)
    return []


def _observe(view, pace, crowd, share):
    view.samples += 1
    view.pace = _smooth(view.pace, pace, share)
    view.crowd = _smooth(view.crowd, crowd, share)


def _observe_first(view, ttft):
    if view.ttft:
        off = abs(ttft - view.ttft)
        view.ttft_spread = _smooth(view.ttft_spread, off, SMOOTHING)
    view.ttft = _smooth(view.ttft, ttft, SMOOTHING)


def first_token(daemon, cell):
    """Return how long an engine's first token takes, nearly always."""
    def nearly_always(view):
        return view.ttft + FIRST_SPREADS * view.ttft_spread

    return pool_median(daemon, cell, nearly_always)


def _smooth(old, new, share):
    return new if old == 0.0 else old + share * (new - old)


def _adapt(daemon, cell, view, slot, released, now):
    target = _target(daemon, cell, slot, released)
    if target <= 0.0 or view.samples < ENOUGH_SAMPLES:
        return
    spreads = TOKEN_SPREADS if released.itl_s else CALL_SPREADS
    slow = view.pace + spreads * view.spread
    if not released.itl_s:
        _keep_proven(view, target / slow)
    if slow > target and now - view.cut_at >= CUT_EVERY_S:
        view.cut_at = now
        part = min(max(target / slow, MOST_CUT), LEAST_CUT)
        view.limit = max(1.0, view.limit * part)
    elif slow < GOOD_SHARE * target and slot.batch >= view.limit - 1.0:
        view.limit = min(float(view.most), view.limit + 1.0 / view.limit)


def _keep_proven(view, room):
    """Keep a plain service's limit near what it was seen to bear.

    Its calls may slow each other in full proportion. A limit that was
    never used says nothing: the first moment of a burst would fill it
    and make every call late.
    """
    bears = PROVEN * view.crowd * room
    view.limit = min(view.limit, max(bears, MIN_CALLS))


def _target(daemon, cell, slot, released):
    """Return the tightest target of the classes that use the cell."""
    policy = None
    if daemon.follower.tree is not None:
        policy = follower.policy(daemon, slot.workspace, slot.class_name)
    if policy is not None:
        own = (policy.target_itl_s if released.itl_s
               else policy.target_ttft_s)
        cell.targets[slot.class_name] = own
    return min(cell.targets.values(), default=0.0)


def _ease(daemon, view, now):
    if view.eased and now < view.off_until:
        return []
    view.eased = min(view.eased + 1, 8)
    span = min(EASE_MAX_S, EASE_BASE_S * 2.0 ** (view.eased - 1))
    view.off_until = now + span * daemon.rng.uniform(0.8, 1.2)
    view.probing = True
    # Only what comes from now on speaks for the engine as it then is.
    view.samples = 0
    slow_pace, view.pace = view.pace, 0.0
    return [effects.Record("eased_off", "", (
        ("engine", view.name), ("pace_s", slow_pace), ("span_s", span)))]


def _restore(view):
    view.probing = False
    view.eased = 0
    view.failures = 0
    view.limit = max(view.limit, view.most / 2.0)
    return [effects.Record("restored", "", (("engine", view.name),))]


def make_busy(view, in_flight, now):
    """Learn that the engine refused one attempt as too many."""
    view.limit = max(1.0, float(in_flight))
    view.off_until = max(view.off_until, now + BUSY_PAUSE_S)


def failed(daemon, view, now, granted_at=None):
    """Learn that the engine refused or did not answer an attempt.

    ``granted_at`` is when the attempt was granted, None if unknown.
    """
    if now < view.off_until or _is_old(view, granted_at):
        return []
    view.failures += 1
    return _rest(daemon, view, view.failures - 1, now)


def doubted(daemon, view, now, granted_at=None):
    """Learn that the engine broke an answer off.

    One such loss may be the connection's alone, and resting the server
    for it could leave a class with nobody to run it: a probe goes out
    at once, and only losses in a row rest it.
    """
    if now < view.off_until or _is_old(view, granted_at):
        return []
    view.failures += 1
    if view.failures > 1:
        return _rest(daemon, view, view.failures - FREE_LOSSES - 1, now)
    view.probing = True
    view.off_until = now
    return []


def _is_old(view, granted_at):
    # Attempts granted before the trouble end one by one in it; counted
    # each, a hiccup of a moment would grow into the longest rest.
    return (view.probing and granted_at is not None
            and granted_at < view.off_until)


def _rest(daemon, view, doublings, now):
    span = min(OFF_MAX_S, OFF_BASE_S * 2.0 ** doublings)
    view.off_until = now + span * daemon.rng.uniform(0.75, 1.25)
    view.probing = True
    return [effects.Record("backed_off", "", (
        ("engine", view.name), ("span_s", span)))]


def load_seen(daemon, view, seen):
    """Take a load report in; own counts stay ahead of it."""
    restarted = bool(view.boot_id) and seen.boot_id != view.boot_id
    view.boot_id = seen.boot_id
    view.reported = seen.running + seen.waiting
    view.missed_reports = 0
    view.told = seen.slots
    bound(daemon, view)
    if restarted:
        view.prefixes.clear()


def report_missed(daemon, view, now):
    """Take note that a load report did not come."""
    view.missed_reports += 1
    if view.missed_reports % MISSED_REPORTS:
        return []
    return failed(daemon, view, now)
