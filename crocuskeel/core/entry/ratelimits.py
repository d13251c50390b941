"""Rates of requests that servers name for all hosts together."""

import dataclasses

from crocuskeel.core.entry import effects

__all__ = ["RateLimit", "limited", "named"]


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The last that is known of one life of a server.

    ``rate`` is in requests a second, None once the limit is lifted.
    """

    rate: float | None


def named(host, attempt, rate, now):
    """Take what the head of an answer to an attempt says."""
    known = host.rate_limits.get(attempt.incarnation)
    was = known.rate if known is not None else None
    if rate == was:
        return []
    host.rate_limits[attempt.incarnation] = RateLimit(rate)
    return [effects.Note("rate_limit", {
        "server": attempt.sid, "rate": rate, "was": was})]


def limited(host):
    """Return how many servers name a limit, as far as is known."""
    return sum(known.rate is not None
               for known in host.rate_limits.values())
