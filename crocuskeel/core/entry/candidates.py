"""Which servers of a service are looked at when a request is placed.

Looking at one takes some 12 us of a processor, so that among 1,700 a
placement took 22 ms. Of a large service a request looks at those where
its shared parts go, the same at all hosts, and at some drawn at random:
a hot part that fills the first finds room at the others.
"""

import bisect

from crocuskeel.core.entry import routing

__all__ = ["LOOKED_AT_MOST", "pick"]

# Of a service of so many servers or less all are looked at: placing among
# 70 takes 1.1 ms.
LOOKED_AT_MOST = 96
# So many where the request's parts go; the others are drawn.
HOME_MOST = 48


def pick(host, pending):
    """Return the ServerStates that a request may go to."""
    servers = host.by_service.get(pending.service, [])
    if len(servers) <= LOOKED_AT_MOST:
        return servers
    home = _home(host, pending)
    drawn = host.rng.sample(servers, LOOKED_AT_MOST - len(home))
    known = {state.server.sid for state in home}
    return home + [state for state in drawn
                   if state.server.sid not in known]


def _home(host, pending):
    """Return the servers that follow a prompt's parts on the ring.

    A server that comes or goes moves few parts: those of its neighbours.
    """
    prompt = pending.request.prompt
    if prompt is None or not prompt.parts:
        return []
    ring = _ring(host, pending.service)
    part = prompt.parts[-2 if len(prompt.parts) > 1 else -1][0]
    first = bisect.bisect(ring, routing.unit_hash(part, "ring"), key=_point)
    return [ring[place % len(ring)]
            for place in range(first, first + HOME_MOST)]


def _ring(host, service):
    """Return a service's servers in an order that all hosts share."""
    if service not in host.rings:
        host.rings[service] = sorted(host.by_service[service], key=_point)
    return host.rings[service]


def _point(state):
    return state.point
