"""How many hosts carry callers: as many as callers' requests need.

Carriers tell each other what they have under way at each engine. Where a
hundred equal hosts all carried, each told twelve others, engines were
chosen by what was not so, and 0.34 of what a day's requests were worth
came in, 0.78 with few carriers and few candidates. Few carriers know
nearly all; more are needed only for the requests.

Each carrier works out from its own requests how many that takes, as
callers spread evenly, and the largest number is passed on by all.
"""

import dataclasses
import math

from crocuskeel.core.entry import budget

__all__ = ["CARRIERS_FEW", "NOBODY", "Wanted", "count", "hear", "note_own",
           "told"]

# So many may carry whatever the load is: each tells 12 others at a time,
# so that what changes is known to all after two datagrams.
CARRIERS_FEW = 24
# Requests a second that one carrier is to have: each takes 5 to 8 ms of a
# processor, so that a burst of five times as many still fits a core.
REQUESTS_S = 20.0
# A carrier counts its requests over so long, s: 80 of them at its usual
# rate, which says it to a tenth; a start and a burst show within it.
COUNTED_S = 4.0
# What a carrier said counts for this long, s: bursts follow one another
# within ten to twenty seconds.
KEPT_S = 10.0
# A word is older by so much when it is read than when it was sent, s:
# without this, hosts that pass it on would keep it young for ever.
HOP_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """How many carriers a host found to be needed, and when.

    In a datagram ``at`` is the age, s; in a host's state the time.
    """

    carriers: int
    at: float


NOBODY = Wanted(0, -math.inf)


def count(host, now):
    """Return how many hosts may carry callers."""
    return max(CARRIERS_FEW, _fresh(host, now).carriers)


def _fresh(host, now):
    if now > host.wanted.at + KEPT_S:
        return NOBODY
    return host.wanted


def note_own(host, carriers, now):
    """Note how many carriers this host's own requests show to be needed.

    ``carriers`` is how many there are now, this one among them.
    """
    total = budget.rate(host, COUNTED_S, now) * carriers
    _take(host, Wanted(math.ceil(total / REQUESTS_S), now), now)


def hear(host, wanted, now):
    """Take what another host knows."""
    _take(host, Wanted(wanted.carriers, now - wanted.at - HOP_S), now)


def _take(host, wanted, now):
    known = _fresh(host, now)
    if (wanted.carriers, wanted.at) > (known.carriers, known.at):
        host.wanted = wanted


def told(host, now):
    """Return what this host passes on."""
    known = _fresh(host, now)
    if known is NOBODY:
        return Wanted(0, 0.0)
    return Wanted(known.carriers, now - known.at)
