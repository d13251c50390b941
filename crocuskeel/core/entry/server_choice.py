"""Selects the backend server with the lowest expected cost for a request.

Hosts tell each other their requests in progress at each engine and the
prompt parts that they sent there, so that a shared part is prefilled once
for all hosts and not once per host. A request goes to another engine only
when waiting for the one that caches its parts costs more than prefilling
them again.
"""

import math

from crocuskeel.core.entry import backoff
from crocuskeel.core.entry import brittle
from crocuskeel.core.entry import cost
from crocuskeel.core.entry import draining
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import server_load

__all__ = ["available_in_s", "choose", "choose_with_capacity", "fetch_sources",
           "healthy", "healthy_servers", "is_available", "may_have_place"]

# A host that uses its share of a brittle server's slots checks again after
# this, s.
PLACE_RECHECK_S = 0.04
# Share of the connections that a server accepts which all hosts together
# may use: a host learns of the others' connections some milliseconds late,
# and in that time several hosts could use the rest at once.
CONNECTIONS_SHARE = 0.9


def choose(host, pending, exclude, now):
    """Return the ServerState to send to, or None if there is none.

    Suspect servers are chosen only when no other is left: they may still
    work. Those in ``exclude``, which have failed this request, are not
    chosen.
    """
    usable = _available(host, pending, now)
    for strict in (2, 1, 0):
        eligible = [state for state in usable
                    if _is_eligible(state, strict, exclude, now)]
        if eligible:
            return cost.cheapest(host, eligible, pending, now)
    return None


def choose_with_capacity(host, pending, has_capacity, now):
    """Return the best of the servers with capacity, or None.

    ``has_capacity(state)`` tells which have any. Suspect servers are left
    out: a dead engine has an empty queue and would look the best.
    """
    eligible = [state for state in healthy(host, pending, now)
                if has_capacity(state)]
    return cost.cheapest(host, eligible, pending, now) if eligible else None


def healthy(host, pending, now):
    """Return the available servers that are neither suspect nor silent."""
    return [state for state in _available(host, pending, now)
            if _is_eligible(state, 2, (), now)]


def healthy_servers(host, service, now):
    """Return the servers of a service that new requests may go to."""
    return [state for state in host.by_service.get(service, ())
            if _is_in_use(host, state)
            and _is_eligible(state, 2, (), now)]


def fetch_sources(host, pending, now):
    """Return the servers that other engines may fetch prompt parts from.

    Includes rate-limited servers and those in back-off: a fetch between
    engines is not a request of a host.
    """
    return [state for state in _usable(host, pending, now)
            if _is_eligible(state, 2, (), now)]


def available_in_s(host, pending, exclude, now):
    """Return the seconds until some server accepts a request again.

    None if all usable servers are in ``exclude``.
    """
    return min((max(_server_available_in_s(host, state, now),
                    _place_in_s(host, pending, state, now))
                for state in _usable(host, pending, now)
                if state.server.sid not in exclude), default=None)


def may_have_place(host, pending, exclude):
    """Return whether some server may take a request, now or later."""
    return any(state.server.sid not in exclude and _is_in_use(host, state)
               for state in pending.candidates)


def _is_in_use(host, state):
    return not (draining.is_draining(host, state.server)
                or state.address_reused)


def _place_in_s(host, pending, state, now):
    """Return the seconds until a brittle server may have a place, or 0."""
    if pending.request.prompt is not None or brittle.has_place(
            host, state, now):
        return 0.0
    return PLACE_RECHECK_S


def is_available(host, state, now):
    """Say whether a server's rate limit and back-off allow a request now."""
    return _server_available_in_s(host, state, now) <= 0


def _server_available_in_s(host, state, now):
    return max(ratelimits.available_in_s(host, state.server, now),
               backoff.remaining_s(host, state.server, now))


def _available(host, pending, now):
    """Return the usable servers without a spent rate limit or a back-off.

    The rest of a rate limit goes to the most urgent queued request first.
    """
    usable = _usable(host, pending, now)
    if not (host.rate_limits or host.backoff_until or host.brittle):
        return usable
    preceded = _has_more_urgent(host, pending)
    return [state for state in usable if is_available(host, state, now)
            and not _place_in_s(host, pending, state, now)
            and not (preceded and (
                ratelimits.is_limited(host, state.server)
                or brittle.is_brittle(host, pending.service, now)))]


def _has_more_urgent(host, pending):
    """Say whether a more urgent request of the service is queued here."""
    return any(host.pending[key].rank < pending.rank
               and host.pending[key].service == pending.service
               for key in host.held)


def _usable(host, pending, now):
    limit = _connections(host, pending.service)
    return [state for state in pending.candidates if _is_in_use(host, state)
            and server_load.running_requests(state, now) < limit]


def _connections(host, service):
    """Return how many requests a server may have in progress at a time."""
    known = host.catalog.services.get(service)
    if known is None or not known.max_connections:
        return math.inf
    return known.max_connections * CONNECTIONS_SHARE


def _is_eligible(state, strict, exclude, now):
    if state.server.sid in exclude:
        return strict == 0 and len(exclude) == 0
    if strict < 2:
        return True
    return state.suspect_until <= now and not server_load.is_silent(state, now)
