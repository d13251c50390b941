"""How many engines of which kind to have in each failure domain.

Spot engines cost a fraction and go all at once in a domain, with some
seconds' notice, and then none may be had anywhere for ten seconds. So
they are spread evenly, and the plan is one that still serves what is
needed after the loss of any one domain's; where spreading can't give
that (one domain, or too few places), engines of full price do.
"""

import dataclasses
import math

from crocuskeel.core.duties import demand

__all__ = ["Domain", "Policy", "plan"]

# Share of their time that engines are planned to be used: a burst of long
# prompts triples the work within a second, and more engines serve only a
# boot time later.
USE_SHARE = 0.4
# The same right after the loss of a domain's spot engines.
LOSS_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """What an operator may set of how engines are ordered.

    ``use_share`` and ``loss_share`` as above; the most that was needed is
    kept for ``kept_s``; at most ``spot_share`` of the engines are spot
    ones.
    """

    use_share: float = USE_SHARE
    loss_share: float = LOSS_SHARE
    kept_s: float = demand.KEPT_S
    spot_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """Engines of a service in a failure domain.

    ``spot`` ones serve there; ``asked`` is the number of regular ones in
    force; ``dry``: no spot engine is to be had now.
    """

    name: str
    spot: int
    asked: int
    dry: bool = False


def plan(scaling, domains, need, usual, policy):
    """Return the engines to have, by (domain, spot).

    ``need`` is how many engines would be in use all of their time at the
    most, ``usual`` how many are in the mean: the loss of a domain must
    not cost more than a burst then would.
    """
    cheap = sorted(domains, key=lambda domain: (
        scaling.prices.get(domain.name, 1.0), domain.name))
    total = _total(scaling, domains, need / policy.use_share)
    if scaling.spot_price is None:
        return _regular_only(scaling, cheap, total)
    spot = _spread(scaling, cheap, math.floor(total * policy.spot_share))
    regular = _spread(scaling, cheap, total - sum(spot.values()))
    _back(scaling, cheap, spot, regular, usual / policy.loss_share)
    least = math.ceil(usual / policy.loss_share / len(cheap))
    found = {}
    for domain in cheap:
        now = _spot_now(scaling, domain, spot, regular)
        found[domain.name, True] = now
        # All that have a place beside the regular ones serve.
        is_full = now < spot[domain.name] and domain.spot >= now
        keep = least if is_full else spot[domain.name]
        found[domain.name, False] = _regular_now(
            domain, regular[domain.name], keep)
    return found


def _total(scaling, domains, wanted):
    """Return how many engines there may be of those that are wanted."""
    places = len(domains)
    return max(scaling.least * places,
               min(scaling.most * places, math.ceil(wanted)))


def _regular_only(scaling, cheap, total):
    spread = _spread(scaling, cheap, total)
    return {(name, False): count for name, count in spread.items()}


def _spread(scaling, cheap, total):
    """Spread engines evenly, one more in the domains that cost least."""
    whole, more = divmod(total, len(cheap))
    return {domain.name: min(scaling.most, whole + (place < more))
            for place, domain in enumerate(cheap)}


def _back(scaling, cheap, spot, regular, needed):
    """Add regular engines that back the spot ones against a loss.

    What is short now, as no spot engines are to be had, counts as lost.
    """
    lost = max(spot.values())
    short = sum(max(0, spot[domain.name] - domain.spot)
                for domain in cheap if domain.dry)
    left = (sum(spot.values()) + sum(regular.values())
            - max(lost, short))
    missing = math.ceil(needed) - left
    while missing > 0:
        free = [domain.name for domain in cheap if scaling.most > (
            regular[domain.name] + _held(domain, spot))]
        if not free:
            break
        # The one with the fewest engines; of equal ones the cheapest.
        name = min(free, key=lambda each: regular[each])
        regular[name] += 1
        missing -= 1


def _held(domain, spot):
    return domain.spot if domain.dry else spot[domain.name]


def _spot_now(scaling, domain, spot, regular):
    """Return the spot engines to ask for: places that are free."""
    taken = max(regular[domain.name], domain.asked)
    return max(0, min(spot[domain.name], scaling.most - taken))


def _regular_now(domain, target, keep):
    """Return the regular engines to ask for.

    One that isn't wanted goes when a spot engine serves in its place:
    ``keep`` is how many engines must serve besides those in ``target``.
    """
    return max(target, min(domain.asked, target + keep - domain.spot))
