"""Engine selection: an attempt gets the engine expected to finish it first."""

from crocuskeel.core import backends
from crocuskeel.core.dispatch import estimates
from crocuskeel.core.dispatch import limits
from crocuskeel.core import quarantine

__all__ = ["expected_duration", "free_slots", "has_prefix_cached", "in_flight",
           "is_plain", "max_slots", "pick_empty_engine", "pick_engine",
           "time_to_empty_s", "usable_engines", "usable_slots"]

# Penalties in seconds. They are far above any service time, so they only
# affect the order of preference.
SAME_DOMAIN_PENALTY_S = 1e4
PROBE_PENALTY_S = 1e5


def usable_engines(daemon, cell):
    """Return the cell's engines that may get new work."""
    return [name for name in backends.cell_engines(daemon, cell.name)
            if backends.is_usable(daemon, name)]


def in_flight(daemon, cell, view, now):
    """Return the number of attempts on an engine, as far as known.

    Until the cell has settled, some grants of its previous dispatcher may
    be unknown. The engine's load report is then added or, without one,
    the engine's whole limit.
    """
    known = len(cell.running_by_engine.get(view.name, ()))
    if now >= cell.settle_until or not cell.unreported_hosts:
        return known
    return known + (view.reported_load if view.reported_load >= 0
                    else view.max_limit)


def free_slots(daemon, cell, name, now):
    """Return how many more attempts an engine may get."""
    if name in cell.reserved:
        return 0
    view = limits.engine_view(daemon, name)
    used = in_flight(daemon, cell, view, now)
    return max(0, limits.capacity(view, now) - used)


def usable_slots(daemon, cell, now):
    """Return the usable slots of a cell, free or not."""
    total = sum(limits.capacity(limits.engine_view(daemon, name), now)
                for name in usable_engines(daemon, cell)
                if name not in cell.reserved)
    return max(1, total)


def max_slots(daemon, cell):
    """Return the slots of a cell at its engines' maximum limits.

    The protected queue sizes of floors are computed from this number. The
    learned limits change with every answer, so with them a class could
    exceed its protected size from one moment to the next.
    """
    return max(1, sum(limits.engine_view(daemon, name).max_limit
                      for name in usable_engines(daemon, cell)))


def has_prefix_cached(view, request):
    """Tell whether the engine should have the prompt's prefix cached."""
    return bool(request.prefix) and request.prefix in view.prefixes


def pick_engine(daemon, cell, waiting, names, now):
    """Return the best of the engines with a free slot, "" if none.

    ``names`` are engines with at least one of :func:`free_slots`.
    """
    allowed = _allowed(daemon, cell, waiting.request, names)
    if not allowed:
        return ""
    tokens = _expected_tokens(daemon, cell, waiting.request)
    return min(allowed, key=lambda name: (
        _finish_s(daemon, cell, waiting.request, name, tokens), name))


def _allowed(daemon, cell, request, names):
    allowed = [name for name in names if name not in request.avoid]
    if allowed or not request.avoid:
        return allowed
    others = [name for name in usable_engines(daemon, cell)
              if name not in request.avoid]
    # If the service has no other engine, retrying on the same one is
    # better than giving no answer.
    return [] if others else names


def is_plain(daemon, cell):
    """Tell whether the cell's servers produce no tokens."""
    backend = backends.service_backends(daemon, cell.service)
    return bool(backend) and backend[0].kind == "plain"


def _expected_tokens(daemon, cell, request):
    if is_plain(daemon, cell):
        return 1.0
    return estimates.mean(
        daemon.dispatch.lengths, cell.service, request.class_name,
        request.workspace, request.max_tokens)


def _finish_s(daemon, cell, request, name, tokens):
    view = limits.engine_view(daemon, name)
    running = len(cell.running_by_engine.get(name, ())) + 1
    # The latency was measured at ``mean_concurrency`` attempts. Half of
    # it is assumed to grow with concurrency, as in an engine at the knee
    # of its batch size curve.
    latency = view.unit_latency or limits.pool_median(
        daemon, cell, lambda other: other.unit_latency)
    slowdown = (view.concurrency_limit + running) / (
        view.concurrency_limit + view.mean_concurrency)
    total = max(1.0, tokens) * latency * slowdown + 1e-6 * running
    if has_prefix_cached(view, request):
        total -= _cache_hit_gain_s(daemon)
    if view.probing and request.tier == 1:
        total += PROBE_PENALTY_S
    return total + _same_domain_penalty_s(daemon, request, name)


def _cache_hit_gain_s(daemon):
    state = daemon.dispatch
    return max(0.0, state.miss_ttft - state.hit_ttft)


def _same_domain_penalty_s(daemon, request, name):
    if not request.avoid:
        return 0.0
    domain = getattr(backends.get(daemon, name), "domain", "")
    avoided = {getattr(backends.get(daemon, other), "domain", None)
               for other in request.avoid}
    return SAME_DOMAIN_PENALTY_S if domain in avoided else 0.0


def time_to_empty_s(daemon, cell, name):
    """Return the expected seconds until all attempts on an engine end."""
    latency = limits.pool_median(
        daemon, cell, lambda view: view.unit_latency)
    if is_plain(daemon, cell):
        return latency
    slots = [cell.running[key] for key in cell.running_by_engine.get(name, ())]
    tokens = [estimates.remaining(
        daemon.dispatch.lengths, cell.service, slot.class_name,
        slot.workspace, slot.tokens) for slot in slots]
    return max(tokens, default=0.0) * latency


def expected_duration(daemon, cell, request):
    """Return the expected seconds that an attempt holds its slot."""
    latency = limits.pool_median(
        daemon, cell, lambda view: view.unit_latency)
    if is_plain(daemon, cell):
        return latency
    ttft = limits.pool_median(daemon, cell, lambda view: view.ttft)
    return ttft + _expected_tokens(daemon, cell, request) * latency


def pick_empty_engine(daemon, cell, request, now):
    """Return an engine for a suspect's exclusive use, "" if none.

    An engine with an undecided loss is left out: if its next load report
    showed a crash, the suspect would be blamed for it.
    """
    names = [name for name in usable_engines(daemon, cell)
             if cell.reserved.get(name) is None
             and not quarantine.has_undecided_loss(daemon, name)
             and not cell.running_by_engine.get(name)
             and now >= limits.engine_view(daemon, name).paused_until
             and in_flight(daemon, cell, limits.engine_view(daemon, name),
                           now) == 0]
    allowed = _allowed(daemon, cell, request, names)
    return min(allowed, key=lambda name: (name not in cell.reserved, name),
               default="")
