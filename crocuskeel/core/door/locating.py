"""Locate: which entry hosts a caller should use, and for how long.

No balancer stands in front: these answers are what spreads callers. The
order is drawn anew for each asking, weighted by headroom, because many
devices share one caller's token and would else all get the same host.
"""

from crocuskeel.core import backends
from crocuskeel.core.door import ending
from crocuskeel.core import effects
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement
from crocuskeel.core import problems

__all__ = ["asked", "choose", "elsewhere"]

MAX_ADDRESSES = 4
TTL_CALM_S = 30.0
TTL_CHANGING_S = 3.0
CALM_AFTER_S = 30.0
TTL_JITTER = 0.2
MIN_HEADROOM = 0.05
CROWDED = 0.85
DISPATCHER_BONUS = 1.5


def asked(daemon, event, now):
    """Answer ``GET locate``."""
    if daemon.follower.tree is None:
        return ending.refuse_arrival(
            event.rid, problems.Reason.NOT_READY, retry_after_s=1.0)
    caller = follower.caller(daemon, event.token)
    if caller is None:
        return ending.refuse_arrival(event.rid,
                                     problems.Reason.UNAUTHORIZED)
    dispatchers = _dispatchers(daemon, caller.workspace,
                               event.class_name)
    found = choose(_members(daemon), event.domain, dispatchers,
                   daemon.rng)
    if not found:
        return ending.refuse_arrival(
            event.rid, problems.Reason.LEAVING, retry_after_s=1.0)
    return [effects.AnswerLocate(
        event.rid, found, _ttl_s(daemon, now),
        follower.generation(daemon))]


def _members(daemon):
    found = (_info(daemon, host) for host in membership.live(daemon))
    return [member for member in found if member is not None]


def _info(daemon, host):
    found = membership.info(daemon, host)
    if found is None and host == daemon.me.host:
        me = daemon.me
        return messages.MemberUpdate(
            me.host, me.incarnation, "alive", me.address, me.peer_port,
            me.door_port, me.domain, me.region)
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


def choose(members, domain, dispatchers, rng):
    """Return addresses in order of preference, at most a few.

    ``members`` are live ones (:class:`messages.MemberUpdate`), ``domain``
    is the caller's failure domain or empty, ``dispatchers`` hosts to
    prefer a little, ``rng`` a seeded :class:`random.Random`.
    """
    drawn = sorted(
        members, reverse=True,
        key=lambda member: _draw(member, dispatchers, rng))
    near, far = [], []
    for member in drawn:
        is_near = member.domain == domain and member.load < CROWDED
        (near if is_near else far).append(member)
    chosen = (near + far)[:MAX_ADDRESSES]
    if len({member.domain for member in chosen}) == 1:
        # All in one failure domain: its loss would leave the caller
        # without any address that works.
        other = [m for m in far if m.domain != chosen[0].domain]
        chosen = chosen[:MAX_ADDRESSES - 1] + other[:1]
    return tuple(
        effects.LocateAddress(m.host, m.address, m.door_port, m.domain)
        for m in chosen)


def _draw(member, dispatchers, rng):
    """Return a random key; the highest of all is drawn by weight."""
    weight = max(MIN_HEADROOM, 1.0 - member.load)
    if member.host in dispatchers:
        weight *= DISPATCHER_BONUS
    return rng.random() ** (1.0 / weight)


def _ttl_s(daemon, now):
    # Jitter: callers told at the same moment (a host's loss) would all
    # come back at the same moment, again and again.
    calm = now - daemon.door.changed_at >= CALM_AFTER_S
    span = TTL_CALM_S if calm else TTL_CHANGING_S
    return span * daemon.rng.uniform(1.0 - TTL_JITTER, 1.0)


def elsewhere(daemon):
    """Return "address:port" of another host, "" if there is none."""
    others = [member for member in _members(daemon)
              if member.host != daemon.me.host]
    found = choose(others, daemon.me.domain, frozenset(), daemon.rng)
    return f"{found[0].address}:{found[0].port}" if found else ""
