"""How many engines' worth of work a service has, from what they do.

The load that this answers: calm for minutes, then three times as many
long prompts within a second, for some seconds; engines that are ordered
serve after a boot time in which such a burst has done its harm. So the
estimate rises at once and falls after :data:`KEPT_S` only.
"""

import collections
import dataclasses

__all__ = ["Demand", "KEPT_S", "need", "new_demand", "note", "sample"]

# The most that was needed is kept for so long, s. An engine that leaves
# takes the parts that it has read with it, and one that comes back 4 s
# after its order missed the next burst; bursts follow one another within
# ten to twenty seconds.
KEPT_S = 20.0
# Above this share of their time engines may be asked for more than they
# show: what waits or is refused before them is not in their load.
FULL_SHARE = 0.75
# They are taken to need this many times what they show then.
FULL_GROWTH = 1.6


@dataclasses.dataclass(slots=True)
class Demand:
    """``peaks`` holds (at, engines), the engines falling.

    ``usual`` is the mean need of about the last ``kept_s``, as of
    ``usual_at``; so long is the most that was needed kept, too.
    """

    peaks: collections.deque = dataclasses.field(
        default_factory=collections.deque)
    kept_s: float = KEPT_S
    usual: float = 0.0
    usual_at: float | None = None


def new_demand(kept_s=KEPT_S):
    """Return the demand of a service of which nothing was seen."""
    return Demand(kept_s=kept_s)


def sample(demand, shares, now):
    """Take the shares of their time that a service's engines are in use."""
    used = sum(shares)
    if demand.usual_at is not None:
        weight = min(1.0, (now - demand.usual_at) / demand.kept_s)
        demand.usual += weight * (used - demand.usual)
    demand.usual_at = now
    if shares and used > FULL_SHARE * len(shares):
        used *= FULL_GROWTH
    note(demand, used, now)


def note(demand, engines, now):
    """Take a need for so many engines, now."""
    peaks = demand.peaks
    while peaks and peaks[0][0] < now - demand.kept_s:
        peaks.popleft()
    while peaks and peaks[-1][1] <= engines:
        peaks.pop()
    peaks.append((now, engines))


def need(demand):
    """Return the most engines needed lately."""
    return demand.peaks[0][1] if demand.peaks else 0.0
