"""Orders for engines that the holder gives to the platform."""

from crocuskeel.core.duties import capacity
from crocuskeel.core.duties import demand
from crocuskeel.core.duties import model

__all__ = ["answered", "due", "sample"]

# Ordered engines that don't serve this long after their boot time are
# ordered again, s: the order may have been lost after it was accepted, or
# the engines may have been lost.
OVERDUE_S = 2.0
# An order for engines that were unavailable is retried after this, s.
UNAVAILABLE_RETRY_S = 1.5


def sample(duties, service, shares, now, policy, queued=0.0):
    """Update the demand from engines' utilization and queued work."""
    service_demand = duties.demands.get(service)
    if service_demand is None:
        service_demand = duties.demands[service] = demand.new_demand(
            policy.kept_s)
        service_demand.mean = len(shares) * policy.use_share
        first = _first_need(duties, service, shares, policy)
        demand.record_need(service_demand, first, now)
    demand.sample(service_demand, shares, now, queued)


def _first_need(duties, service, shares, policy):
    """Return the need that is assumed before any was measured.

    A holder that succeeds another keeps the engines that one ordered. The
    very first holder assumes that the operator's engines will be fully
    used: if a burst comes first, engines ordered then would be too late.
    """
    has_predecessor = any(
        subject[1] == service for subject in duties.handover.asked)
    return len(shares) * (policy.use_share if has_predecessor else 1.0)


def due(duties, service, scaling, engines, now, policy):
    """Return the orders of a service that are due now.

    ``engines`` holds the engines that serve, as {(domain, spot): count}.
    """
    # The domains where engines may run, and those where some do.
    names = set(scaling.prices) | {name for name, _ in engines}
    service_demand = duties.demands[service]
    wanted = capacity.plan(
        scaling, [_domain(duties, service, name, engines)
                  for name in sorted(names)],
        demand.peak_need(service_demand), service_demand.mean, policy)
    orders = []
    for (name, spot), count in wanted.items():
        order = model.Order(service, name, spot, count)
        if _is_due(duties, order, engines.get((name, spot), 0),
                   scaling.boot_s, now):
            orders.append(order)
    return orders


def _domain(duties, service, name, engines):
    regular = engines.get((name, False), 0)
    asked = duties.handover.asked.get(
        ("scale", service, name, False), regular)
    spot = duties.calls.get(("scale", service, name, True))
    return capacity.Domain(
        name, engines.get((name, True), 0), asked,
        dry=spot is not None and spot.unavailable)


def _is_due(duties, order, serving, boot_s, now):
    latest = duties.calls.get(order.subject)
    if latest is None:
        asked = duties.handover.asked.get(order.subject, serving)
        return asked != order.count or serving != order.count
    some_lost, latest.served = serving < latest.served, serving
    if latest.in_progress or latest.retry_at > now:
        return False
    if latest.call.count != order.count or latest.failures:
        return True
    if latest.unavailable or some_lost:
        return serving < order.count
    return (serving < order.count
            and now >= latest.completed_at + boot_s + OVERDUE_S)


def answered(duties, latest, outcome, now):
    """Handle the outcome of the latest order of a subject."""
    latest.unavailable = outcome is model.Outcome.UNAVAILABLE
    if outcome is model.Outcome.DONE:
        latest.completed_at = now
        duties.handover.asked[latest.call.subject] = latest.call.count
    elif latest.unavailable:
        latest.retry_at = now + UNAVAILABLE_RETRY_S
