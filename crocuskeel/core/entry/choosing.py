"""Which backend server a request goes to: the one that costs it least.

Hosts tell each other what they have under way at each engine and which
parts they sent there, so that a shared part is read once by the fleet
and not once by each host. It goes elsewhere only when waiting there costs
more than reading it again.
"""

import math

from crocuskeel.core.entry import backoff
from crocuskeel.core.entry import cost
from crocuskeel.core.entry import leaving
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import serverload

__all__ = ["choose", "choose_with_room", "free_in", "holders",
           "is_free", "sound"]

# Of the connections that a server accepts, hosts use this share together:
# each hears of the others' with a delay of some ms, in which they could
# take the rest twice.
CONNECTIONS_SHARE = 0.9


def choose(host, pending, exclude, now):
    """Return the ServerState to send to, or None if there is none.

    Servers in ``exclude`` and suspect ones are taken only when no other
    is left: a suspect server may serve, and an excluded one has failed
    this very request.
    """
    usable = _free(host, pending, now)
    for strict in (2, 1, 0):
        found = [state for state in usable
                 if _fits(state, strict, exclude, now)]
        if found:
            return cost.least(host, found, pending, now)
    return None


def choose_with_room(host, pending, has_room, now):
    """Return the best of the servers with room, or None.

    ``has_room(state)`` says which have any. One that is suspect has none:
    a dead engine has nothing before it and would look the best.
    """
    found = [state for state in sound(host, pending, now)
             if has_room(state)]
    return cost.least(host, found, pending, now) if found else None


def sound(host, pending, now):
    """Return the servers that may get a request and seem well."""
    return [state for state in _free(host, pending, now)
            if _fits(state, 2, (), now)]


def holders(host, pending, now):
    """Return the servers that others may fetch from.

    Also those that are limited or resting: no host sends for a fetch.
    """
    return [state for state in _usable(host, pending, now)
            if _fits(state, 2, (), now)]


def free_in(host, pending, exclude, now):
    """Return after how many s a server takes a request again.

    None if there is none but those in ``exclude``.
    """
    return min((_free_in(host, state, now)
                for state in _usable(host, pending, now)
                if state.server.sid not in exclude), default=None)


def is_free(host, state, now):
    """Say whether a server's rate limit and rest allow a request now."""
    return _free_in(host, state, now) <= 0


def _free_in(host, state, now):
    return max(ratelimits.free_in(host, state.server, now),
               backoff.free_in(host, state.server, now))


def _free(host, pending, now):
    """Return the usable servers that are neither limited nor resting.

    What is left of a rate limit goes to the most urgent request first.
    """
    usable = _usable(host, pending, now)
    if not host.rate_limits and not host.rests:
        return usable
    preceded = _is_preceded(host, pending)
    return [state for state in usable if is_free(host, state, now)
            and not (preceded
                     and ratelimits.is_limited(host, state.server))]


def _is_preceded(host, pending):
    """Say whether a more urgent request is held here."""
    return any(host.pending[key].rank < pending.rank
               and host.pending[key].service == pending.service
               for key in host.held)


def _usable(host, pending, now):
    most = _connections(host, pending.service)
    return [state for state in pending.candidates
            if not (leaving.is_leaving(host, state.server)
                    or state.misdirects)
            and serverload.running(state, now) < most]


def _connections(host, service):
    """Return how many requests a server may have under way at a time."""
    known = host.catalog.services.get(service)
    if known is None or not known.connections:
        return math.inf
    return known.connections * CONNECTIONS_SHARE


def _fits(state, strict, exclude, now):
    if state.server.sid in exclude:
        return strict == 0 and len(exclude) == 0
    if strict < 2:
        return True
    return state.suspect_until <= now and not serverload.is_silent(state, now)
