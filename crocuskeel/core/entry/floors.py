"""No class starves: each is owed a part of what all get, however busy.

The load that this answers: a more urgent class that brings several times
what the engines can do, for as long as it likes. Bounds by rank leave the
lower ones nothing then. A burst of some seconds belongs to the higher
tiers. A class that is let in much less often than all requests of its
service for longer than that is let in like the most urgent, one by one,
until it has its part again; what engines do first stays by priority.

A higher tier is never refused for it while a large request of a lower one
begins: where a more urgent class is refused itself, only requests that
are not much larger than its own are owed anything.
"""

import dataclasses
import math

__all__ = ["Served", "is_owed", "note_arrived", "note_sent"]

# A class is owed this share of the share that all get: a quarter would be
# where callers call it starved, and what is let in may still fail.
FLOOR_SHARE = 0.3
# One that gets this share of what all get is served well.
WELL_SHARE = 0.6
# What came and was let in is forgotten at this rate, s: the span in which
# a caller sees its class served or not.
FORGET_S = 5.0
# It is owed that once it had less for so long, s: bursts end within this.
# Owed at once, 0.034 less of what requests were worth came in over a burst
# of 4 s.
SHORT_S = 8.0
# So many must have come lately before a share says anything.
ARRIVED_LEAST = 4.0
# A more urgent class counts as refused from this share on; requests count
# as larger from this many times its mean size.
REFUSED_SHARE = 0.06
LARGER = 1.8


@dataclasses.dataclass(slots=True)
class Served:
    """Of a class: what came and was let in lately, with tokens.

    ``short_since``: since when it has had less than its part, or None.
    """

    priority: int
    arrived: float = 0.0
    sent: float = 0.0
    tokens: float = 0.0
    at: float = 0.0
    short_since: float | None = None

    def share(self):
        """Return the share of its requests that were let in."""
        return min(1.0, self.sent / self.arrived) if self.arrived else 1.0

    def size(self):
        """Return the mean tokens of a request."""
        return self.tokens / self.arrived if self.arrived else 0.0


def note_arrived(host, pending, now):
    """Count a request with a prompt that came."""
    if pending.request.prompt is not None:
        found = _served(host, pending, now)
        found.arrived += 1.0
        found.tokens += pending.request.prompt.tokens


def note_sent(host, pending, now):
    """Count one that is sent to an engine for the first time."""
    if pending.request.prompt is not None and not pending.sent:
        _served(host, pending, now).sent += 1.0


def _served(host, pending, now):
    classes = host.served.setdefault(pending.service, {})
    found = classes.setdefault(pending.route.name, Served(
        pending.route.priority, at=now))
    _forget(found, now)
    return found


def _forget(found, now):
    kept = math.exp((found.at - now) / FORGET_S)
    found.at = now
    found.arrived *= kept
    found.sent *= kept
    found.tokens *= kept


def is_owed(host, pending, now):
    """Say whether a request's class is let in too seldom."""
    if pending.route.priority <= 0:
        return False
    mine = _served(host, pending, now)
    if mine.arrived < ARRIVED_LEAST:
        return False
    classes = host.served[pending.service].values()
    for each in classes:
        _forget(each, now)
    arrived = sum(each.arrived for each in classes)
    sent = sum(each.sent for each in classes)
    usual = min(1.0, sent / arrived)
    if not _is_short(mine, usual, now):
        return False
    tokens = pending.request.prompt.tokens
    return not any(_goes_first(each, mine, tokens) for each in classes)


def _is_short(mine, usual, now):
    """Say whether a class has had less than its part for long.

    What it is let in for that does not count as being served well: it
    would wait for as long again after each request.
    """
    if mine.share() >= WELL_SHARE * usual:
        mine.short_since = None
    elif mine.short_since is None:
        mine.short_since = now
    return (mine.short_since is not None
            and now >= mine.short_since + SHORT_S
            and mine.share() < FLOOR_SHARE * usual)


def _goes_first(other, mine, tokens):
    """Say whether a class is refused while larger requests would begin."""
    return (other.priority < mine.priority
            and 1.0 - other.share() > REFUSED_SHARE
            and tokens > LARGER * other.size())
