"""Orders for engines: what the holder asks of the platform, and when."""

from crocuskeel.core.duties import capacity
from crocuskeel.core.duties import demand
from crocuskeel.core.duties import model

__all__ = ["answered", "due", "sample"]

# Engines that were ordered and don't serve this long after their boot
# time are ordered again, s: an order may have been lost after it was
# taken, or the engines with it.
OVERDUE_S = 2.0
# The platform had no such engine: it is asked again after this, s.
NONE_LEFT_S = 1.5


def sample(duties, service, shares, now, policy):
    """Take the shares of their time that a service's engines are used."""
    known = duties.demands.get(service)
    if known is None:
        known = duties.demands[service] = demand.new_demand(
            policy.kept_s)
        known.usual = len(shares) * policy.use_share
        first = _first_need(duties, service, shares, policy)
        demand.note(known, first, now)
    demand.sample(known, shares, now)


def _first_need(duties, service, shares, policy):
    """Return the need that is assumed before any was seen.

    A holder that follows another keeps what that one had. The first of
    all takes the operator's engines to be there for work that fills them:
    when a burst is the first thing that comes, more would be late.
    """
    followed = any(subject[1] == service for subject in duties.book.asked)
    return len(shares) * (policy.use_share if followed else 1.0)


def due(duties, service, scaling, engines, now, policy):
    """Return the orders of a service that are to be given now.

    ``engines`` holds the engines that serve, as {(domain, spot): count}.
    """
    # Where it may run, and where it does.
    names = set(scaling.prices) | {name for name, _ in engines}
    known = duties.demands[service]
    wanted = capacity.plan(
        scaling, [_domain(duties, service, name, engines)
                  for name in sorted(names)],
        demand.need(known), known.usual, policy)
    found = []
    for (name, spot), count in wanted.items():
        order = model.Order(service, name, spot, count)
        if _is_due(duties, order, engines.get((name, spot), 0),
                   scaling.boot_s, now):
            found.append(order)
    return found


def _domain(duties, service, name, engines):
    regular = engines.get((name, False), 0)
    asked = duties.book.asked.get(
        ("scale", service, name, False), regular)
    spot = duties.calls.get(("scale", service, name, True))
    return capacity.Domain(
        name, engines.get((name, True), 0), asked,
        dry=spot is not None and spot.none_left)


def _is_due(duties, order, serving, boot_s, now):
    known = duties.calls.get(order.subject)
    if known is None:
        asked = duties.book.asked.get(order.subject, serving)
        return asked != order.count or serving != order.count
    went, known.served = serving < known.served, serving
    if known.under_way or known.due_at > now:
        return False
    if known.call.count != order.count or known.failures:
        return True
    if known.none_left or went:
        return serving < order.count
    return (serving < order.count
            and now >= known.settled_at + boot_s + OVERDUE_S)


def answered(duties, known, outcome, now):
    """Take the answer to an order."""
    known.none_left = outcome is model.Outcome.UNAVAILABLE
    if outcome is model.Outcome.DONE:
        known.settled_at = now
        duties.book.asked[known.call.subject] = known.call.count
    elif known.none_left:
        known.due_at = now + NONE_LEFT_S
