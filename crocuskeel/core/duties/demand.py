"""Estimates how many engines a service needs from their utilization.

It is designed for a load that is steady for minutes and then triples its
number of long prompts within a second, for a few seconds. Ordered engines
serve only after their boot time, which is too late for such a burst. So
the estimate rises immediately and falls only after :data:`PEAK_KEPT_S`.
"""

import collections
import dataclasses

__all__ = ["Demand", "PEAK_KEPT_S", "new_demand", "peak_need", "record_need",
           "sample"]

# A peak of the need is kept this long, s. An engine that is removed loses
# the prompt parts that it has read, and one that is back 4 s after its
# order misses the next burst; bursts follow one another within ten to
# twenty seconds.
PEAK_KEPT_S = 20.0
# Above this utilization the need may be larger than the engines' load
# shows, as requests that wait or are refused are not part of their load.
SATURATED_SHARE = 0.75
# Factor from their load to the assumed need in that case.
SATURATED_GROWTH = 1.6


@dataclasses.dataclass(slots=True)
class Demand:
    """The need for engines of a service.

    ``peaks`` holds (at, engines) with falling numbers of engines; a peak
    is kept for ``kept_s``. ``mean`` is the mean need over about the same
    time, as of ``mean_at``.
    """

    peaks: collections.deque = dataclasses.field(
        default_factory=collections.deque)
    kept_s: float = PEAK_KEPT_S
    mean: float = 0.0
    mean_at: float | None = None


def new_demand(kept_s=PEAK_KEPT_S):
    """Return the initial demand of a service."""
    return Demand(kept_s=kept_s)


def sample(demand, shares, now, queued=0.0):
    """Update the demand from the utilization of a service's engines.

    ``queued`` is the work that waits at hosts or was rejected lately, in
    engines that would serve it within a second: engines that are full look
    the same whatever waits for them.
    """
    used = sum(shares) + queued
    if demand.mean_at is not None:
        weight = min(1.0, (now - demand.mean_at) / demand.kept_s)
        demand.mean += weight * (used - demand.mean)
    demand.mean_at = now
    if shares and not queued and used > SATURATED_SHARE * len(shares):
        used *= SATURATED_GROWTH
    record_need(demand, used, now)


def record_need(demand, engines, now):
    """Record that so many engines are needed now."""
    peaks = demand.peaks
    while peaks and peaks[0][0] < now - demand.kept_s:
        peaks.popleft()
    while peaks and peaks[-1][1] <= engines:
        peaks.pop()
    peaks.append((now, engines))


def peak_need(demand):
    """Return the peak of the need within ``kept_s``."""
    return demand.peaks[0][1] if demand.peaks else 0.0
