"""Rate limits that servers set for all hosts together.

An overloaded server sets a rate, and hosts that each count only their own
requests would exceed it together. A few hosts, on which all hosts agree,
share the server's rate, each with its own token bucket, and the others send
it nothing. The sum of the buckets bounds the server's request rate without a
message for each request. Hosts report to each other the limits that they
learn of. Hosts that share a rate keep sending, and so notice when the limit
is lifted.
"""

import dataclasses
import heapq
import math

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model
from crocuskeel.core.entry import routing

__all__ = ["RateLimit", "available_in_s", "consume_token", "count_limited",
           "is_limited", "merge", "note_response", "refill_buckets", "rows"]

# The buckets of a server together hold one second of its rate plus this many
# requests. No more hosts than that share the rate, so that each bucket holds
# at least one request.
MIN_BURST = 2.0
# A server with a lower rate still gets this many requests a second: without
# any response no host would learn that the limit was lifted.
PROBE_RATE = 0.2
# A change is repeated for this long, s: a datagram may be lost.
REPEAT_S = 2.0
# A limit of a server that is no longer listed is kept for this long, s:
# its entry may have expired and come back.
RETENTION_S = 60.0
# Rounding tolerance for sums of fractions of a request.
TOLERANCE = 1e-6


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The limit of one incarnation of a server, and this host's bucket.

    ``rate`` is in requests a second, None once the limit is lifted;
    ``as_of`` is when that was true, s. Until ``repeat_until`` other hosts
    are sent the rate even if the limit is lifted. ``tokens`` is how many
    requests this host may send at once, as of ``filled_at``. ``share`` is
    this host's share of (rate, burst), computed from the rate and the
    serving hosts in ``share_inputs``.
    """

    rate: float | None = None
    as_of: float = -math.inf
    repeat_until: float = -math.inf
    tokens: float = 0.0
    filled_at: float = 0.0
    share: tuple = (0.0, 0.0)
    share_inputs: tuple = (None, None)


def note_response(host, attempt, rate, now):
    """Handle the rate in the response to an attempt, or None if without."""
    if rate is not None:
        return _update(host, attempt.incarnation, rate, now, now)
    # The response may have been delayed since before the limit was set.
    return _update(host, attempt.incarnation, None, attempt.sent_at, now)


def merge(host, received, now):
    """Merge rows of another host: (incarnation, rate or None, age in ms)."""
    out = []
    for incarnation, rate, age_ms in received:
        as_of = now - age_ms / 1000 - fleet.HOP_DELAY_S
        out += _update(host, incarnation, rate, as_of, now)
    return out


def _update(host, incarnation, rate, as_of, now):
    known = host.rate_limits.get(incarnation)
    if known is None:
        if rate is None:
            return []
        known = RateLimit(filled_at=now)
        host.rate_limits[incarnation] = known
    if as_of < known.as_of:
        if rate != known.rate:
            # The sender missed a change: repeat it.
            known.repeat_until = now + REPEAT_S
        return []
    known.as_of = as_of
    if rate == known.rate:
        return []
    note = effects.LogEvent("rate_limit", {
        "server": incarnation, "rate": rate, "was": known.rate})
    known.rate = rate
    known.repeat_until = now + REPEAT_S
    return [note]


def rows(host, now):
    """Return rows for other hosts, as :func:`merge` takes them."""
    return tuple(
        (incarnation, known.rate, int((now - known.as_of) * 1000))
        for incarnation, known in host.rate_limits.items()
        if known.rate is not None or now < known.repeat_until)


def count_limited(host):
    """Return the number of servers with a known rate limit."""
    return sum(known.rate is not None
               for known in host.rate_limits.values())


def is_limited(host, server):
    """Return whether a server has a rate limit."""
    return _active_limit(host, server) is not None


def available_in_s(host, server, now):
    """Return the time until this host may send a request to a server, s.

    Infinity if it has no share of the server's rate.
    """
    known = _active_limit(host, server)
    if known is None:
        return 0.0
    share, _ = _fill(host, known, server.sid, now)
    missing = 1 - known.tokens - TOLERANCE
    if missing <= 0:
        return 0.0
    return missing / share if share else math.inf


def consume_token(host, server, now):
    """Consume a token for a request that is sent to a server."""
    known = _active_limit(host, server)
    if known is not None:
        _fill(host, known, server.sid, now)
        known.tokens -= 1


def _active_limit(host, server):
    if not host.rate_limits:
        return None
    known = host.rate_limits.get(server.incarnation)
    return known if known is not None and known.rate is not None else None


def refill_buckets(host, now):
    """Fill all buckets, and remove limits of servers that are gone.

    This runs at each tick: a host that starts to share a rate must begin
    with an empty bucket, not with one filled for the time since the last use.
    """
    for incarnation, known in list(host.rate_limits.items()):
        sid = model.server_id(incarnation)
        state = host.servers.get(sid)
        if state is None or state.server.incarnation != incarnation:
            if known.as_of < now - RETENTION_S:
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
    """Return this host's share; recompute it if rate or fleet changed."""
    rate, serving = known.share_inputs
    if rate != known.rate or serving is not fleet.serving_hosts(host, now):
        known.share_inputs = known.rate, fleet.serving_hosts(host, now)
        known.share = _compute_share(host, *known.share_inputs, sid)
    return known.share


def _compute_share(host, rate, sharing, sid):
    rate = max(rate, PROBE_RATE)
    burst = MIN_BURST + rate
    if len(sharing) > int(burst):
        sharing = heapq.nsmallest(
            int(burst), sharing,
            key=lambda peer: routing.cached_unit_hash(peer.name, sid))
    if not any(peer.name == host.self_peer.name for peer in sharing):
        return 0.0, 0.0
    return rate / len(sharing), burst / len(sharing)
