"""Which engine an attempt gets: the one that should finish it first."""

from crocuskeel.core import backends
from crocuskeel.core.dispatch import estimates
from crocuskeel.core.dispatch import limits
from crocuskeel.core import quarantine

__all__ = ["duration", "empty_engine", "free_slots", "in_flight",
           "is_hit", "is_plain", "most_slots", "pick",
           "remaining_s", "slots", "usable"]

# Penalties in seconds, far above any service time: they only order.
SAME_DOMAIN_S = 1e4
PROBE_S = 1e5


def usable(daemon, cell):
    """Return the cell's engines that may get new work."""
    return [name for name in backends.cell_engines(daemon, cell.name)
            if backends.usable(daemon, name)]


def in_flight(daemon, cell, view, now):
    """Return the attempts on an engine, as far as they are known.

    Until the cell has settled, what its old dispatcher granted may be
    unknown: then the load report counts too, or the whole engine.
    """
    known = len(cell.by_engine.get(view.name, ()))
    if now >= cell.settle_until or not cell.unheard:
        return known
    return known + (view.reported if view.reported >= 0 else view.most)


def free_slots(daemon, cell, name, now):
    """Return how many more attempts an engine may get."""
    if name in cell.reserved:
        return 0
    view = limits.engine(daemon, name)
    used = in_flight(daemon, cell, view, now)
    return max(0, limits.capacity(view, now) - used)


def slots(daemon, cell, now):
    """Return the usable slots of a cell, free or not."""
    total = sum(limits.capacity(limits.engine(daemon, name), now)
                for name in usable(daemon, cell)
                if name not in cell.reserved)
    return max(1, total)


def most_slots(daemon, cell):
    """Return the slots of a cell whatever its engines now take.

    The seats of floors go by these: by a learned number, which moves
    with every answer, a class could be over its seats from one moment
    to the next.
    """
    return max(1, sum(limits.engine(daemon, name).most
                      for name in usable(daemon, cell)))


def is_hit(view, ask):
    """Tell whether the engine should have the prompt's prefix cached."""
    return bool(ask.prefix) and ask.prefix in view.prefixes


def pick(daemon, cell, waiting, names, now):
    """Return the best of the engines with a free slot, "" if none.

    ``names`` are engines that :func:`free_slots` allows.
    """
    allowed = _allowed(daemon, cell, waiting.ask, names)
    if not allowed:
        return ""
    tokens = _tokens(daemon, cell, waiting.ask)
    return min(allowed, key=lambda name: (
        _finish_s(daemon, cell, waiting.ask, name, tokens), name))


def _allowed(daemon, cell, ask, names):
    allowed = [name for name in names if name not in ask.avoid]
    if allowed or not ask.avoid:
        return allowed
    others = [name for name in usable(daemon, cell)
              if name not in ask.avoid]
    # A service with no other engine: better the same one again than no
    # answer at all.
    return [] if others else names


def is_plain(daemon, cell):
    """Tell whether the cell's servers make no tokens."""
    backend = backends.service_backends(daemon, cell.service)
    return bool(backend) and backend[0].kind == "plain"


def _tokens(daemon, cell, ask):
    if is_plain(daemon, cell):
        return 1.0
    return estimates.mean(
        daemon.dispatch.lengths, cell.service, ask.class_name,
        ask.workspace, ask.max_tokens)


def _finish_s(daemon, cell, ask, name, tokens):
    view = limits.engine(daemon, name)
    running = len(cell.by_engine.get(name, ())) + 1
    # The pace was seen with ``crowd`` attempts; half of it is taken to
    # grow with them, as in an engine at the knee of its batch.
    pace = view.pace or limits.pool_median(
        daemon, cell, lambda other: other.pace)
    crowding = (view.limit + running) / (view.limit + view.crowd)
    total = max(1.0, tokens) * pace * crowding + 1e-6 * running
    if is_hit(view, ask):
        total -= _hit_gain_s(daemon)
    if view.probing and ask.tier == 1:
        total += PROBE_S
    return total + _domain_s(daemon, ask, name)


def _hit_gain_s(daemon):
    state = daemon.dispatch
    return max(0.0, state.miss_ttft - state.hit_ttft)


def _domain_s(daemon, ask, name):
    if not ask.avoid:
        return 0.0
    domain = getattr(backends.get(daemon, name), "domain", "")
    lost = {getattr(backends.get(daemon, one), "domain", None)
            for one in ask.avoid}
    return SAME_DOMAIN_S if domain in lost else 0.0


def remaining_s(daemon, cell, name):
    """Return the expected seconds until an engine has run empty."""
    pace = limits.pool_median(daemon, cell, lambda view: view.pace)
    if is_plain(daemon, cell):
        return pace
    slots = [cell.running[key] for key in cell.by_engine.get(name, ())]
    tokens = [estimates.remaining(
        daemon.dispatch.lengths, cell.service, slot.class_name,
        slot.workspace, slot.tokens) for slot in slots]
    return max(tokens, default=0.0) * pace


def duration(daemon, cell, ask):
    """Return the expected seconds that an attempt holds its slot."""
    pace = limits.pool_median(daemon, cell, lambda view: view.pace)
    if is_plain(daemon, cell):
        return pace
    ttft = limits.pool_median(daemon, cell, lambda view: view.ttft)
    return ttft + _tokens(daemon, cell, ask) * pace


def empty_engine(daemon, cell, ask, now):
    """Return an engine that a suspect can have to itself, "" if none.

    A server with an unjudged loss is left out: its next load report
    would be taken for a crash by the suspect.
    """
    names = [name for name in usable(daemon, cell)
             if cell.reserved.get(name) is None
             and not quarantine.is_open(daemon, name)
             and not cell.by_engine.get(name)
             and now >= limits.engine(daemon, name).off_until
             and in_flight(daemon, cell, limits.engine(daemon, name),
                           now) == 0]
    allowed = _allowed(daemon, cell, ask, names)
    return min(allowed, key=lambda name: (name not in cell.reserved, name),
               default="")
