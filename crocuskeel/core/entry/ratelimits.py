"""Rate limits that servers name for all hosts together.

The load that this answers: a server in need names a rate, and hosts that
each count only their own requests overrun it together. A few hosts, the
same ones in the eyes of all, share a server's rate, each with a token
bucket of its own, and the others send it nothing. The sum of the buckets
bounds what the server gets without a message for each request. Hosts tell
each other the limits that they hear of. Those that share a rate go on
sending, and so notice when it is lifted.
"""

import dataclasses
import heapq
import math

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model
from crocuskeel.core.entry import routing

__all__ = ["RateLimit", "free_in", "heard", "is_limited", "limited",
           "named", "refill", "rows", "sent"]

# The buckets of a server together hold one second of its rate and this
# many requests. At most as many hosts share the rate, so that each bucket
# holds a whole request.
BURST_LEAST = 2.0
# A server with a lower rate still gets this many requests a second:
# without any answer no host would learn that the limit was lifted.
PROBE_RATE = 0.2
# A change is repeated for this long, s: a datagram may be lost.
RETOLD_S = 2.0
# A limit of a server that is no longer listed is kept for this long, s:
# its entry may have lapsed and come back.
KEPT_S = 60.0
# Tolerance for sums of fractions of a request.
ROUNDING = 1e-6


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The limit of one incarnation of a server, and this host's bucket.

    ``rate`` is in requests a second, None once the limit is lifted;
    ``as_of`` is when that was true, s. Until ``told_until`` other hosts
    are told of it also if it is lifted. ``tokens`` is how many requests
    this host may send at once, as of ``filled_at``. ``share`` is this
    host's of (rate, burst), worked out for the rate and the carriers in
    ``shared_by``.
    """

    rate: float | None = None
    as_of: float = -math.inf
    told_until: float = -math.inf
    tokens: float = 0.0
    filled_at: float = 0.0
    share: tuple = (0.0, 0.0)
    shared_by: tuple = (None, None)


def named(host, attempt, rate, now):
    """Take what the head of an answer to an attempt says."""
    if rate is not None:
        return _learn(host, attempt.incarnation, rate, now, now)
    # It may have been held up on its way since before the limit.
    return _learn(host, attempt.incarnation, None, attempt.at, now)


def heard(host, told, now):
    """Take rows of another host: (incarnation, rate or None, age in ms)."""
    out = []
    for incarnation, rate, age_ms in told:
        as_of = now - age_ms / 1000 - fleet.HOP_S
        out += _learn(host, incarnation, rate, as_of, now)
    return out


def _learn(host, incarnation, rate, as_of, now):
    known = host.rate_limits.get(incarnation)
    if known is None:
        if rate is None:
            return []
        known = RateLimit(filled_at=now)
        host.rate_limits[incarnation] = known
    if as_of < known.as_of:
        if rate != known.rate:
            # The sender has missed a change: repeat it.
            known.told_until = now + RETOLD_S
        return []
    known.as_of = as_of
    if rate == known.rate:
        return []
    line = effects.Note("rate_limit", {
        "server": incarnation, "rate": rate, "was": known.rate})
    known.rate = rate
    known.told_until = now + RETOLD_S
    return [line]


def rows(host, now):
    """Return rows for other hosts, as :func:`heard` takes them."""
    return tuple(
        (incarnation, known.rate, int((now - known.as_of) * 1000))
        for incarnation, known in host.rate_limits.items()
        if known.rate is not None or now < known.told_until)


def limited(host):
    """Return how many servers name a rate, as far as is known."""
    return sum(known.rate is not None
               for known in host.rate_limits.values())


def is_limited(host, server):
    """Say whether a server has a rate limit."""
    return _limit(host, server) is not None


def free_in(host, server, now):
    """Return after how many s this host may send there.

    Infinity if it has no share of the server's rate.
    """
    known = _limit(host, server)
    if known is None:
        return 0.0
    share, _ = _fill(host, known, server.sid, now)
    missing = 1 - known.tokens - ROUNDING
    if missing <= 0:
        return 0.0
    return missing / share if share else math.inf


def sent(host, server, now):
    """Take a token for a request that is sent to a server."""
    known = _limit(host, server)
    if known is not None:
        _fill(host, known, server.sid, now)
        known.tokens -= 1


def _limit(host, server):
    if not host.rate_limits:
        return None
    known = host.rate_limits.get(server.incarnation)
    return known if known is not None and known.rate is not None else None


def refill(host, now):
    """Fill all buckets, and forget servers that are gone.

    At each tick: a host that comes to share a rate must begin with an
    empty bucket, and not with what it would have had since its last look.
    """
    for incarnation, known in list(host.rate_limits.items()):
        sid = model.server_id(incarnation)
        state = host.servers.get(sid)
        if state is None or state.server.incarnation != incarnation:
            if known.as_of < now - KEPT_S:
                del host.rate_limits[incarnation]
        elif known.rate is not None:
            _fill(host, known, sid, now)


def _fill(host, known, sid, now):
    """Fill a bucket; return this host's share of (rate, burst)."""
    share, burst = _share(host, known, sid, now)
    known.tokens = min(
        burst, known.tokens + share * (now - known.filled_at))
    known.filled_at = now
    return share, burst


def _share(host, known, sid, now):
    """Return this host's share; it changes with the rate or the fleet."""
    rate, carriers = known.shared_by
    if rate != known.rate or carriers is not fleet.carriers(host, now):
        known.shared_by = known.rate, fleet.carriers(host, now)
        known.share = _share_of(host, *known.shared_by, sid)
    return known.share


def _share_of(host, rate, sharing, sid):
    rate = max(rate, PROBE_RATE)
    burst = BURST_LEAST + rate
    if len(sharing) > int(burst):
        sharing = heapq.nsmallest(
            int(burst), sharing,
            key=lambda peer: routing.name_hash(peer.name, sid))
    if not any(peer.name == host.me.name for peer in sharing):
        return 0.0, 0.0
    return rate / len(sharing), burst / len(sharing)
