"""Plans the number of engines of each kind in each failure domain.

Spot engines cost a fraction of the full price. The platform reclaims all
of a domain at once, with a few seconds' notice, and then none may be
available anywhere for ten seconds. So they are spread evenly, and the
plan must still serve the load after the loss of any one domain's spot
engines. Where spreading can't ensure that (one domain, or too few
places), regular engines at full price are added.
"""

import dataclasses
import math

from crocuskeel.core.duties import demand

__all__ = ["Domain", "Policy", "plan"]

# Planned utilization of engines: a burst of long prompts triples the work
# within a second, and more engines serve only a boot time later.
USE_SHARE = 0.4
# Planned utilization right after the loss of a domain's spot engines.
LOSS_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The operator's settings for ordering engines.

    ``use_share`` and ``loss_share`` are the planned utilizations as above.
    A peak of the need is kept for ``kept_s``. At most ``spot_share`` of
    the engines are spot engines.
    """

    use_share: float = USE_SHARE
    loss_share: float = LOSS_SHARE
    kept_s: float = demand.PEAK_KEPT_S
    spot_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """Engines of a service in a failure domain.

    ``spot`` is the number of spot engines that serve there, ``asked`` the
    number of regular engines last ordered. ``dry``: no spot engine is
    available now.
    """

    name: str
    spot: int
    asked: int
    dry: bool = False


def plan(scaling, domains, need, mean_need, policy):
    """Return the planned number of engines by (domain, spot).

    ``need`` is the peak load, ``mean_need`` the mean load, each as a
    number of fully used engines. The loss of a domain at mean load must
    not cost more than a burst would.
    """
    by_price = sorted(domains, key=lambda domain: (
        scaling.prices.get(domain.name, 1.0), domain.name))
    total = _total(scaling, domains, need / policy.use_share)
    if scaling.spot_price is None:
        return _regular_only(scaling, by_price, total)
    spot = _spread(scaling, by_price, math.floor(total * policy.spot_share))
    regular = _spread(scaling, by_price, total - sum(spot.values()))
    _add_backup(scaling, by_price, spot, regular,
                mean_need / policy.loss_share)
    least = math.ceil(mean_need / policy.loss_share / len(by_price))
    planned = {}
    for domain in by_price:
        now = _spot_now(scaling, domain, spot, regular)
        planned[domain.name, True] = now
        # All spot engines that fit beside the regular ones serve.
        is_full = now < spot[domain.name] and domain.spot >= now
        keep = least if is_full else spot[domain.name]
        planned[domain.name, False] = _regular_now(
            domain, regular[domain.name], keep)
    return planned


def _total(scaling, domains, wanted):
    """Return the wanted number of engines, brought within the limits."""
    places = len(domains)
    return max(scaling.min_engines * places,
               min(scaling.max_engines * places, math.ceil(wanted)))


def _regular_only(scaling, by_price, total):
    spread = _spread(scaling, by_price, total)
    return {(name, False): count for name, count in spread.items()}


def _spread(scaling, by_price, total):
    """Spread engines evenly; the cheapest domains get the remainder."""
    quotient, remainder = divmod(total, len(by_price))
    return {domain.name: min(scaling.max_engines,
                             quotient + (index < remainder))
            for index, domain in enumerate(by_price)}


def _add_backup(scaling, by_price, spot, regular, needed):
    """Add regular engines that make up for a loss of spot engines.

    Spot engines that are missing because none are available count as
    lost.
    """
    lost = max(spot.values())
    short = sum(max(0, spot[domain.name] - domain.spot)
                for domain in by_price if domain.dry)
    left = (sum(spot.values()) + sum(regular.values())
            - max(lost, short))
    missing = math.ceil(needed) - left
    while missing > 0:
        free = [domain.name for domain in by_price if scaling.max_engines > (
            regular[domain.name] + _spot_places(domain, spot))]
        if not free:
            break
        # The domain with the fewest regular engines; of equal ones the
        # cheapest.
        name = min(free, key=lambda each: regular[each])
        regular[name] += 1
        missing -= 1


def _spot_places(domain, spot):
    return domain.spot if domain.dry else spot[domain.name]


def _spot_now(scaling, domain, spot, regular):
    """Return the number of spot engines to order: those that fit now."""
    taken = max(regular[domain.name], domain.asked)
    return max(0, min(spot[domain.name], scaling.max_engines - taken))


def _regular_now(domain, target, keep):
    """Return the number of regular engines to order.

    A surplus one is given up only when a spot engine serves in its place:
    ``keep`` is how many engines must serve besides those in ``target``.
    """
    return max(target, min(domain.asked, target + keep - domain.spot))
