"""Selects the servers of a service that are evaluated for a request.

Evaluating one takes some 12 us of processor time, which adds up to 22 ms
for 1,700 servers. For a large service only some servers are candidates:
those that consistent hashing of the prompt's shared parts prefers, the
same on all hosts, and a random sample of the others. The sample provides
capacity for a hot part whose preferred servers are full.
"""

import bisect

from crocuskeel.core.entry import draining
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import version_history

__all__ = ["MAX_CANDIDATES", "pick", "recorded"]

# All servers of a service are candidates up to this number: choosing among
# 70 takes 1.1 ms.
MAX_CANDIDATES = 96
# Candidates that consistent hashing prefers; the others are sampled.
MAX_PREFERRED = 48


def pick(host, pending):
    """Return the ServerStates that a request may be sent to."""
    servers = host.by_service.get(pending.service, [])
    if pending.origin is not None:
        servers = [state for state in servers
                   if pending.may_go_to(state.server)]
    elif pending.route.resumable:
        servers = recorded(host, pending.service, servers)
    if len(servers) <= MAX_CANDIDATES:
        return servers
    preferred = _preferred(host, pending)
    sampled = host.rng.sample(servers, MAX_CANDIDATES - len(preferred))
    known = {state.server.sid for state in preferred}
    return preferred + [state for state in sampled
                        if state.server.sid not in known]


def recorded(host, service, servers):
    """Return the servers of versions that the store names, if there are any.

    Hosts that start later have to know each version that streams began at,
    and while the store takes no streams that can't be but at the default one.
    """
    unrecorded = version_history.unrecorded(host, service)
    if unrecorded:
        servers = [state for state in servers
                   if state.server.version not in unrecorded] or servers
    if not host.streams.log.is_failing:
        return servers
    default = version_history.default(host, service)
    return [state for state in servers
            if state.server.version == default
            and not draining.is_draining(host, state.server)] or servers


def _preferred(host, pending):
    """Return the servers that follow a prompt's part on the hash ring.

    Adding or removing a server moves only the parts of its neighbours.
    """
    prompt = pending.request.prompt
    if prompt is None or not prompt.parts:
        return []
    ring = _ring(host, pending.service)
    part = prompt.parts[-2 if len(prompt.parts) > 1 else -1][0]
    first = bisect.bisect(ring, routing.unit_hash(part, "ring"), key=_point)
    preferred = [ring[index % len(ring)]
                 for index in range(first, first + MAX_PREFERRED)]
    return [state for state in preferred if pending.may_go_to(state.server)]


def _ring(host, service):
    """Return a service's servers in the order of their ring points."""
    if service not in host.rings:
        host.rings[service] = sorted(host.by_service[service], key=_point)
    return host.rings[service]


def _point(state):
    return state.ring_position
