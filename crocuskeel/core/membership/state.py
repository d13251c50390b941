"""Membership state of a daemon and the functions that read it."""

import dataclasses

from crocuskeel.core import messages

__all__ = ["ALIVE", "DEAD", "LEAVING", "SUSPECT", "Member",
           "MembershipState", "PendingProbe", "Relay", "all_members",
           "died_at", "has_left", "invalidate_caches", "is_live", "live",
           "member_info", "new_state", "peers", "set_load"]

ALIVE = "alive"
LEAVING = "leaving"
SUSPECT = "suspect"
DEAD = "dead"


@dataclasses.dataclass(slots=True)
class Member:
    """Another host; ``update`` is the newest update about it.

    ``compact_update`` is the form that is disseminated while the host is
    suspect or dead. ``leaving`` stays set for the whole incarnation.
    ``deadline`` is when a suspect is declared dead,
    ``accept_death_from`` when other hosts' reports of its death are
    accepted, ``died_at`` when it was declared dead, ``last_contact_at`` when
    its last message arrived. ``failed_probes`` counts consecutive failed
    probes.
    """

    update: messages.MemberUpdate
    compact_update: messages.MemberUpdate | None = None
    leaving: bool = False
    deadline: float = 0.0
    accept_death_from: float = 0.0
    died_at: float = 0.0
    last_contact_at: float = 0.0
    failed_probes: int = 0


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """A probe that has not been answered yet."""

    host: str
    sent_at: float


@dataclasses.dataclass(slots=True)
class Relay:
    """A probe on behalf of ``requester``, which knows it as ``seq``."""

    requester: str
    seq: int
    sent_at: float


@dataclasses.dataclass(slots=True)
class MembershipState:
    """The membership state of this host.

    ``own_update`` is the update that this host sends about itself. ``members``
    holds the other hosts, including dead ones. ``seeds`` and ``listed``
    (from the host list) are addresses at which members may be found.
    ``pending_updates`` maps a host whose update is being disseminated to the
    number of times it was sent. ``syncs`` maps a joining host to the
    members still to be sent to it. ``contested`` are hosts that other
    members consider alive and this one dead. ``health_score`` lengthens
    the timeouts; it is 0 while this host trusts its own observations.
    """

    own_update: messages.MemberUpdate
    seeds: dict[str, tuple[str, int]]
    listed: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict)
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    pending_updates: dict[str, int] = dataclasses.field(default_factory=dict)
    probes: dict[int, PendingProbe] = dataclasses.field(
        default_factory=dict)
    relays: dict[int, Relay] = dataclasses.field(default_factory=dict)
    syncs: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    round: list[str] = dataclasses.field(default_factory=list)
    ring_next: bool = True
    seq: int = 0
    health_score: int = 0
    superseded: bool = False
    last_contact_at: float = 0.0
    tick_due: float = 0.0
    reconnect_due: float = 0.0
    contested: dict[str, None] = dataclasses.field(
        default_factory=dict)
    live_cache: tuple[str, ...] | None = None
    peers_cache: tuple[str, ...] | None = None
    ring_cache: tuple[str, ...] | None = None


def new_state(identity):
    """Return the state of a host that knows no other host yet."""
    own_update = messages.MemberUpdate(
        host=identity.host, incarnation=identity.incarnation,
        status=ALIVE, address=identity.address,
        peer_port=identity.peer_port, door_port=identity.door_port,
        domain=identity.domain, region=identity.region)
    seeds = {host: (address, port)
             for host, address, port in identity.seeds
             if host != identity.host}
    return MembershipState(own_update=own_update, seeds=seeds)


def invalidate_caches(state):
    """Drop the cached values derived from the members."""
    state.live_cache = None
    state.peers_cache = None
    state.ring_cache = None


def peers(state):
    """Return the other hosts that are not dead, sorted."""
    if state.peers_cache is None:
        state.peers_cache = tuple(sorted(
            host for host, member in state.members.items()
            if member.update.status != DEAD))
    return state.peers_cache


def live(daemon):
    """Return the sorted names of the live hosts, this one included.

    A suspect is live until it is declared dead, so that ownership does
    not change with each lost datagram. A leaving host is not live.
    """
    state = daemon.membership
    if state.live_cache is None:
        names = [host for host in peers(state)
                 if not state.members[host].leaving]
        if state.own_update.status == ALIVE and not state.superseded:
            names.append(state.own_update.host)
        state.live_cache = tuple(sorted(names))
    return state.live_cache


def member_info(daemon, host):
    """Return the newest ``MemberUpdate`` of a host or None."""
    state = daemon.membership
    if host == state.own_update.host:
        return state.own_update
    member = state.members.get(host)
    return member.update if member is not None else None


def is_live(daemon, host):
    """Return whether a host is live and not leaving."""
    state = daemon.membership
    if host == state.own_update.host:
        return state.own_update.status == ALIVE and not state.superseded
    member = state.members.get(host)
    return (member is not None and not member.leaving
            and member.update.status != DEAD)


def died_at(daemon, host):
    """Return when a host was declared dead here, None unless it is dead."""
    member = daemon.membership.members.get(host)
    if member is None or member.update.status != DEAD:
        return None
    return member.died_at


def has_left(daemon, host):
    """Return whether a dead host had announced that it leaves."""
    member = daemon.membership.members.get(host)
    return (member is not None and member.leaving
            and member.update.status == DEAD)


def all_members(daemon):
    """Return the ``MemberUpdate`` of every known host, dead or alive."""
    state = daemon.membership
    others = sorted(state.members)
    return (state.own_update, *(state.members[host].update for host in others))


def set_load(daemon, load):
    """Set the load (0 to 1) that this host reports to others."""
    state = daemon.membership
    state.own_update = dataclasses.replace(
        state.own_update, load=round(load, 2))
