"""Locate: which entry hosts a caller should use, and for how long.

There is no load balancer in front; these answers distribute the callers.
Each answer has a new random order weighted by spare capacity, because
many devices share one caller's token and an order derived from it would
send them all to the same host.
"""

from crocuskeel.core import backends
from crocuskeel.core import effects
from crocuskeel.core import follower
from crocuskeel.core.frontend import completion
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement
from crocuskeel.core import problems

__all__ = ["choose_hosts", "locate", "other_host_address"]

MAX_ADDRESSES = 4
TTL_STABLE_S = 30.0
TTL_CHANGING_S = 3.0
STABLE_AFTER_S = 30.0
TTL_JITTER = 0.2
MIN_HEADROOM = 0.05
MAX_NEARBY_LOAD = 0.85
DISPATCHER_BONUS = 1.5


def locate(daemon, event, now):
    """Answer a caller's ``GET`` of the locate endpoint."""
    if daemon.follower.tree is None:
        return completion.refuse_arrival(
            event.rid, problems.Reason.NOT_READY, retry_after_s=1.0)
    caller = follower.caller(daemon, event.token)
    if caller is None:
        return completion.refuse_arrival(event.rid,
                                         problems.Reason.UNAUTHORIZED)
    dispatchers = _dispatchers(daemon, caller.workspace,
                               event.class_name)
    found = choose_hosts(_members(daemon), event.domain, dispatchers,
                         daemon.rng)
    if not found:
        return completion.refuse_arrival(
            event.rid, problems.Reason.LEAVING, retry_after_s=1.0)
    return [effects.AnswerLocate(
        event.rid, found, _ttl_s(daemon, now),
        follower.generation(daemon))]


def _members(daemon):
    found = (_info(daemon, host) for host in membership.live(daemon))
    return [member for member in found if member is not None]


def _info(daemon, host):
    found = membership.member_info(daemon, host)
    if found is None and host == daemon.identity.host:
        identity = daemon.identity
        return messages.MemberUpdate(
            identity.host, identity.incarnation, "alive", identity.address,
            identity.peer_port, identity.door_port, identity.domain,
            identity.region)
    return found


def _dispatchers(daemon, workspace, class_name):
    if not class_name:
        return frozenset()
    policy = follower.policy(daemon, workspace, class_name)
    if policy is None:
        return frozenset()
    live = membership.live(daemon)
    return frozenset(placement.owner(cell, live)
                     for cell in backends.cells(daemon, policy.service))


def choose_hosts(members, domain, dispatchers, rng):
    """Return up to ``MAX_ADDRESSES`` addresses, the preferred first.

    ``members`` are the live hosts (:class:`messages.MemberUpdate`),
    ``domain`` is the caller's failure domain or empty, ``dispatchers``
    are hosts with a slightly larger weight, and ``rng`` is a seeded
    :class:`random.Random`.
    """
    ordered = sorted(
        members, reverse=True,
        key=lambda member: _sort_key(member, dispatchers, rng))
    nearby, distant = [], []
    for member in ordered:
        is_nearby = member.domain == domain and member.load < MAX_NEARBY_LOAD
        (nearby if is_nearby else distant).append(member)
    chosen = (nearby + distant)[:MAX_ADDRESSES]
    if len({member.domain for member in chosen}) == 1:
        # All are in one failure domain, whose failure would leave the
        # caller without a working address.
        other = [m for m in distant if m.domain != chosen[0].domain]
        chosen = chosen[:MAX_ADDRESSES - 1] + other[:1]
    return tuple(
        effects.LocateAddress(m.host, m.address, m.door_port, m.domain)
        for m in chosen)


def _sort_key(member, dispatchers, rng):
    """Return a random sort key for weighted sampling."""
    weight = max(MIN_HEADROOM, 1.0 - member.load)
    if member.host in dispatchers:
        weight *= DISPATCHER_BONUS
    return rng.random() ** (1.0 / weight)


def _ttl_s(daemon, now):
    # Without jitter, callers that located at the same moment (after a
    # host failure) would all return at the same moment, repeatedly.
    stable = now - daemon.frontend.membership_changed_at >= STABLE_AFTER_S
    ttl_s = TTL_STABLE_S if stable else TTL_CHANGING_S
    return ttl_s * daemon.rng.uniform(1.0 - TTL_JITTER, 1.0)


def other_host_address(daemon):
    """Return the "address:port" of another host, or "" if none."""
    others = [member for member in _members(daemon)
              if member.host != daemon.identity.host]
    found = choose_hosts(
        others, daemon.identity.domain, frozenset(), daemon.rng)
    return f"{found[0].address}:{found[0].port}" if found else ""
