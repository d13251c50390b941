"""What a daemon knows of the entry hosts, and how others read it."""

import dataclasses

from crocuskeel.core import messages

__all__ = ["ALIVE", "DEAD", "LEAVING", "SUSPECT", "Member",
           "MembershipState", "PendingProbe", "Relay", "changed", "everyone",
           "has_left", "info", "is_live", "live", "new_state", "peers",
           "set_load"]

ALIVE = "alive"
LEAVING = "leaving"
SUSPECT = "suspect"
DEAD = "dead"


@dataclasses.dataclass(slots=True)
class Member:
    """One other host; ``update`` is the newest that was said of it.

    ``short`` is that update as it is spread while suspect or dead.
    ``leaving`` sticks to an incarnation. ``deadline`` is when a suspect
    is declared dead, ``believe_from`` when others' word of its death is
    taken; ``died_at`` when it was; ``heard_at`` when it last
    sent anything; ``missed`` counts its failed probes in a row.
    """

    update: messages.MemberUpdate
    short: messages.MemberUpdate | None = None
    leaving: bool = False
    deadline: float = 0.0
    believe_from: float = 0.0
    died_at: float = 0.0
    heard_at: float = 0.0
    missed: int = 0


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """A probe without an answer yet."""

    host: str
    sent_at: float


@dataclasses.dataclass(slots=True)
class Relay:
    """A probe made for ``asker``, who knows it by ``seq``."""

    asker: str
    seq: int
    sent_at: float


@dataclasses.dataclass(slots=True)
class MembershipState:
    """All that membership knows.

    ``me`` is what this host says of itself. ``members`` holds the other
    hosts, dead ones too. ``seeds`` and ``listed`` (from the host list) are
    addresses to find others at. ``queue`` maps a host whose update is
    being spread to the times it was sent. ``syncs`` maps a host that
    joins to the members it is still to hear of. ``contested`` are hosts
    that others hold alive and this one dead. ``doubt`` is the local
    health: 0 when this host trusts its own observations.
    """

    me: messages.MemberUpdate
    seeds: dict[str, tuple[str, int]]
    listed: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict)
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    queue: dict[str, int] = dataclasses.field(default_factory=dict)
    probes: dict[int, PendingProbe] = dataclasses.field(
        default_factory=dict)
    relays: dict[int, Relay] = dataclasses.field(default_factory=dict)
    syncs: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    round: list[str] = dataclasses.field(default_factory=list)
    ring_next: bool = True
    seq: int = 0
    doubt: int = 0
    superseded: bool = False
    heard_at: float = 0.0
    tick_due: float = 0.0
    retry_due: float = 0.0
    contested: dict[str, None] = dataclasses.field(
        default_factory=dict)
    live_cache: tuple[str, ...] | None = None
    peers_cache: tuple[str, ...] | None = None
    ring_cache: tuple[str, ...] | None = None


def new_state(identity):
    """Return the state of a host that has heard of no other yet."""
    me = messages.MemberUpdate(
        host=identity.host, incarnation=identity.incarnation,
        status=ALIVE, address=identity.address,
        peer_port=identity.peer_port, door_port=identity.door_port,
        domain=identity.domain, region=identity.region)
    seeds = {host: (address, port)
             for host, address, port in identity.seeds
             if host != identity.host}
    return MembershipState(me=me, seeds=seeds)


def changed(state):
    """Forget what was derived from the members."""
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
    not move to and fro at each lost datagram. A leaving host is not.
    """
    state = daemon.members
    if state.live_cache is None:
        names = [host for host in peers(state)
                 if not state.members[host].leaving]
        if state.me.status == ALIVE and not state.superseded:
            names.append(state.me.host)
        state.live_cache = tuple(sorted(names))
    return state.live_cache


def info(daemon, host):
    """Return the newest ``MemberUpdate`` of a host or None."""
    state = daemon.members
    if host == state.me.host:
        return state.me
    member = state.members.get(host)
    return member.update if member is not None else None


def is_live(daemon, host):
    """Tell whether a host is live and not leaving."""
    state = daemon.members
    if host == state.me.host:
        return state.me.status == ALIVE and not state.superseded
    member = state.members.get(host)
    return (member is not None and not member.leaving
            and member.update.status != DEAD)


def has_left(daemon, host):
    """Tell whether a host that is gone had said before that it leaves."""
    member = daemon.members.members.get(host)
    return (member is not None and member.leaving
            and member.update.status == DEAD)


def everyone(daemon):
    """Return the ``MemberUpdate`` of every known host, dead ones too."""
    state = daemon.members
    others = sorted(state.members)
    return (state.me, *(state.members[host].update for host in others))


def set_load(daemon, load):
    """Set this host's load (0 to 1) as told to others."""
    state = daemon.members
    state.me = dataclasses.replace(state.me, load=round(load, 2))
