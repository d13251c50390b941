"""Services whose servers end when they refuse several requests in a second.

Such servers say so in their responses. Each host then keeps to its share of
each server's slots, so that all hosts together never send more than it can run
and nothing is refused for want of room: counts that hosts tell each other
arrive too late when many requests wait for one slot. Requests wait at the
host meanwhile. It holds for all servers of the service, as one that has just
started has not answered yet. Hosts tell each other which services it is.

Requests with a prompt are limited by admission control instead.
"""

import dataclasses
import math

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import routing

__all__ = ["Brittle", "forget", "has_place", "is_brittle", "merge",
           "note_response", "rows"]

# A service counts as brittle for this long after a response that said so, s.
TTL_S = 5.0


@dataclasses.dataclass(slots=True)
class Brittle:
    """A service of which a response at ``said_at`` said that it is brittle.

    ``quotas`` maps a server's id to this host's share of its slots. They were
    computed for the serving hosts and the servers in ``inputs``.
    """

    said_at: float = -math.inf
    quotas: dict = dataclasses.field(default_factory=dict)
    inputs: tuple = (None, None)


def note_response(host, service, now):
    """Record a response that says that a service is brittle."""
    return _update(host, service, now, now)


def merge(host, received, now):
    """Merge rows of another host: (service, age in ms)."""
    out = []
    for service, age_ms in received:
        said_at = now - age_ms / 1000 - fleet.HOP_DELAY_S
        if said_at > now - TTL_S:
            out += _update(host, service, said_at, now)
    return out


def _update(host, service, said_at, now):
    was_brittle = is_brittle(host, service, now)
    known = host.brittle.setdefault(service, Brittle())
    known.said_at = max(known.said_at, said_at)
    if was_brittle:
        return []
    return [effects.LogEvent("service_brittle", {"service": service})]


def rows(host, now):
    """Return rows for other hosts, as :func:`merge` takes them."""
    return tuple((service, int((now - known.said_at) * 1000))
                 for service, known in host.brittle.items()
                 if is_brittle(host, service, now))


def forget(host, now):
    """Forget services that have not said so for a while."""
    for service in list(host.brittle):
        if not is_brittle(host, service, now):
            del host.brittle[service]


def is_brittle(host, service, now):
    """Return whether a service's servers are known to be brittle."""
    known = host.brittle.get(service)
    return known is not None and known.said_at > now - TTL_S


def has_place(host, state, now):
    """Return whether this host may send one more request to a server."""
    if not is_brittle(host, state.server.service, now):
        return True
    return len(state.own_attempts) < _quota(host, state.server, now)


def _quota(host, server, now):
    known = host.brittle[server.service]
    sharing = fleet.serving_hosts(host, now)
    servers = host.by_service.get(server.service)
    if known.inputs[0] is not sharing or known.inputs[1] is not servers:
        known.inputs = sharing, servers
        known.quotas = _compute_quotas(
            host, [state.server for state in servers or ()], sharing)
    return known.quotas.get(server.sid, 0)


def _compute_quotas(host, servers, sharing):
    """Divide the slots of each server; the first hosts get what is left over.

    A host that would have no slot anywhere gets one: its callers would not be
    served at all.
    """
    quotas = {}
    ranks = {}
    for server in servers:
        share, rest = divmod(server.slots, max(1, len(sharing)))
        ranks[server.sid] = _rank(host, server, sharing)
        quotas[server.sid] = share + (ranks[server.sid] < rest)
    if quotas and not any(quotas.values()):
        quotas[min(ranks, key=lambda sid: (ranks[sid], sid))] = 1
    return quotas


def _rank(host, server, sharing):
    """Return this host's place in the order of hosts for a server."""
    me = routing.cached_unit_hash(host.self_peer.name, server.sid)
    return sum(routing.cached_unit_hash(peer.name, server.sid) < me
               for peer in sharing)
