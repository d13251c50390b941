"""How many hosts serve callers: as many as the callers' requests need.

Serving hosts report to each other what they have in progress at each engine.
When a hundred equal hosts all served callers and each reported to twelve
others, engines were chosen by incorrect loads, and a day's requests yielded
0.34 of their worth; with few serving hosts and few candidates they yielded
0.78. A few serving hosts know nearly all the load; more are needed only to
handle more requests.

Each serving host computes the number needed from its own request rate, as
callers spread evenly, and all hosts pass on the largest number.
"""

import dataclasses
import math

from crocuskeel.core.entry import retry_budget

__all__ = ["BASE_SERVING_HOSTS", "NO_DEMAND", "ServingDemand", "advertised",
           "merge", "note_own_demand", "serving_host_limit"]

# This many hosts may serve callers at any load: each sends to 12 others at a
# time, so that all of them know of a change after two datagrams.
BASE_SERVING_HOSTS = 24
# Target rate of one serving host, requests a second: each request takes 5 to
# 8 ms of CPU time, so that a burst of five times the rate still fits a core.
TARGET_RATE = 20.0
# Window over which a serving host measures its request rate, s: 80 requests
# at the target rate give it to within a tenth, and a start or a burst shows
# within the window.
RATE_WINDOW_S = 4.0
# A reported number is valid for this long, s: bursts follow one another
# within ten to twenty seconds.
DEMAND_TTL_S = 10.0
# Time added to the age of a number that another host sent, s: without it,
# hosts that pass a number on to each other would keep it valid for ever.
HOP_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ServingDemand:
    """The number of serving hosts that a host found necessary, and when.

    In a datagram ``measured_at`` is the age, s; in a host's state it is the
    time.
    """

    serving_hosts: int
    measured_at: float


NO_DEMAND = ServingDemand(0, -math.inf)


def serving_host_limit(host, now):
    """Return the maximum number of serving hosts."""
    return max(BASE_SERVING_HOSTS, _current(host, now).serving_hosts)


def _current(host, now):
    if now > host.serving_demand.measured_at + DEMAND_TTL_S:
        return NO_DEMAND
    return host.serving_demand


def note_own_demand(host, serving, now):
    """Record the number of serving hosts that this host's rate requires.

    ``serving`` is the current number of serving hosts, including this one.
    """
    total = retry_budget.request_rate(host, RATE_WINDOW_S, now) * serving
    _replace_if_larger(
        host, ServingDemand(math.ceil(total / TARGET_RATE), now), now)


def merge(host, wanted, now):
    """Merge the number that another host sent."""
    _replace_if_larger(
        host, ServingDemand(wanted.serving_hosts,
                            now - wanted.measured_at - HOP_DELAY_S),
        now)


def _replace_if_larger(host, wanted, now):
    known = _current(host, now)
    if (wanted.serving_hosts, wanted.measured_at) > (known.serving_hosts,
                                                     known.measured_at):
        host.serving_demand = wanted


def advertised(host, now):
    """Return the number that this host sends to others."""
    known = _current(host, now)
    if known is NO_DEMAND:
        return ServingDemand(0, 0.0)
    return ServingDemand(known.serving_hosts, now - known.measured_at)
