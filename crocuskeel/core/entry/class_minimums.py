"""Guarantees each class a minimum share of admissions under overload.

A class (the requests of a route) may offer several times the load that
the engines can serve, without end. The limits by rank then admit nothing
of less urgent classes. In a burst of some seconds the more urgent classes
go first. A class that for longer than that is admitted much less often
than all requests of its service gets the limits of the most urgent rank,
request by request, until it has its share again. The order of execution
in the engines stays by priority.

This doesn't let a large request begin while a more urgent class is
refused: in that case only requests that are not much larger than those of
the refused class have the guarantee.
"""

import dataclasses
import math

__all__ = ["ClassStats", "is_below_floor", "is_below_minimum", "more_urgent",
           "note_arrived", "note_sent"]

# Guaranteed admitted share of a class, as a fraction of the service's
# admitted share. Callers see a class as starved at a quarter, and admitted
# requests may still fail.
GUARANTEED_SHARE = 0.3
# A class with this fraction of the service's admitted share is no longer
# underserved.
RECOVERED_SHARE = 0.6
# Time constant of the exponential decay of the counts, s: the span over
# which a caller judges whether its class is served.
DECAY_S = 5.0
# The guarantee applies after a class was underserved for this long, s:
# bursts end within it. Applied at once, it cost 0.034 of goodput over a
# burst of 4 s.
UNDERSERVED_S = 8.0
# Least number of recent arrivals for a share to be meaningful.
MIN_ARRIVED = 4.0
# Servers are reserved for a more urgent class for so long after its latest
# request, s: the span over which a caller judges whether its class is served.
RESERVED_S = 5.0
# A more urgent class counts as refused if more than this share of it is;
# a request counts as larger beyond this many times its mean size.
REFUSED_SHARE = 0.06
LARGER_SIZE_FACTOR = 1.8


@dataclasses.dataclass(slots=True)
class ClassStats:
    """Decaying counts of a class's arrivals, admissions and prompt tokens.

    ``underserved_since`` is when it became underserved, or None.
    ``latest`` is its latest request, which arrived at ``latest_at``.
    ``finds_server`` says whether any server admitted it at ``checked_at``.
    """

    priority: int
    arrived: float = 0.0
    sent: float = 0.0
    tokens: float = 0.0
    at: float = 0.0
    underserved_since: float | None = None
    latest: object = None
    latest_at: float = -math.inf
    finds_server: bool = True
    checked_at: float = -math.inf

    def admitted_share(self):
        """Return the share of its requests that were admitted."""
        return min(1.0, self.sent / self.arrived) if self.arrived else 1.0

    def mean_tokens(self):
        """Return the mean number of prompt tokens of a request."""
        return self.tokens / self.arrived if self.arrived else 0.0


def note_arrived(host, pending, now):
    """Count the arrival of a request with a prompt."""
    if pending.request.prompt is not None:
        stats = _class_stats(host, pending, now)
        stats.arrived += 1.0
        stats.tokens += pending.request.prompt.tokens
        stats.latest = pending
        stats.latest_at = now


def note_sent(host, pending, now):
    """Count a request that is sent to an engine for the first time."""
    if pending.request.prompt is not None and not pending.servers_used:
        _class_stats(host, pending, now).sent += 1.0


def _class_stats(host, pending, now):
    classes = host.class_stats.setdefault(pending.service, {})
    stats = classes.setdefault(pending.route.name, ClassStats(
        pending.route.priority, at=now))
    _decay(stats, now)
    return stats


def _decay(stats, now):
    factor = math.exp((stats.at - now) / DECAY_S)
    stats.at = now
    stats.arrived *= factor
    stats.sent *= factor
    stats.tokens *= factor


def is_below_minimum(host, pending, now):
    """Say whether a request's class gets less than its guaranteed share."""
    if pending.route.priority <= 0:
        return False
    own = _class_stats(host, pending, now)
    if own.arrived < MIN_ARRIVED:
        return False
    classes = host.class_stats[pending.service].values()
    for each in classes:
        _decay(each, now)
    arrived = sum(each.arrived for each in classes)
    sent = sum(each.sent for each in classes)
    service_share = min(1.0, sent / arrived)
    if not _is_underserved(own, service_share, now):
        return False
    tokens = pending.request.prompt.tokens
    return not any(_excludes(each, own, tokens) for each in classes)


def is_below_floor(host, pending, floor, now):
    """Say whether a class is admitted less often than its floor.

    ``floor`` is the share of its requests, 0 to 1, that the operator
    guarantees it.
    """
    if floor <= 0:
        return False
    own = _class_stats(host, pending, now)
    return own.arrived >= MIN_ARRIVED and own.admitted_share() < floor


def _is_underserved(own, service_share, now):
    """Say whether a class has long been below its guaranteed share.

    It counts as underserved until it reaches RECOVERED_SHARE. With the
    guaranteed share as the end, the few requests that the guarantee admits
    would reach it, and the class would wait for UNDERSERVED_S after each.
    """
    if own.admitted_share() >= RECOVERED_SHARE * service_share:
        own.underserved_since = None
    elif own.underserved_since is None:
        own.underserved_since = now
    return (own.underserved_since is not None
            and now >= own.underserved_since + UNDERSERVED_S
            and own.admitted_share() < GUARANTEED_SHARE * service_share)


def more_urgent(host, pending, now):
    """Return the stats of more urgent classes with smaller requests.

    Only classes that had a request within RESERVED_S are included.
    """
    tokens = pending.request.prompt.tokens
    return [each for each
            in host.class_stats.get(pending.service, {}).values()
            if each.priority < pending.route.priority
            and now < each.latest_at + RESERVED_S
            and tokens > LARGER_SIZE_FACTOR * each.mean_tokens()]


def _excludes(other, own, tokens):
    """Say whether a more urgent class is refused and has smaller requests."""
    return (other.priority < own.priority
            and 1.0 - other.admitted_share() > REFUSED_SHARE
            and tokens > LARGER_SIZE_FACTOR * other.mean_tokens())
