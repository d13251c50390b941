"""State of the settings follower and what other components read."""

import dataclasses
import typing

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import messages

__all__ = ["Contact", "FollowerState", "Load", "caller", "generation",
           "held_generation", "is_recovered", "new_state", "policy",
           "ready"]

# How long arrivals wait for a newer generation before they are refused.
MAX_PARK_S = 2.0


@dataclasses.dataclass(slots=True)
class Load:
    """A newer generation that is being fetched.

    ``source`` is the name of a peer, or "" for the platform. ``holders``
    maps peers that said that they hold it to their incarnations. ``parts``
    maps digests to fetched parts; ``requested`` holds the digests of
    requested ones. ``use_index`` is set if the deltas can't be applied.
    """

    head: storage.Head
    source: str
    holders: dict[str, int] = dataclasses.field(default_factory=dict)
    parts: dict[str, conf.Part] = dataclasses.field(default_factory=dict)
    requested: set[str] = dataclasses.field(default_factory=set)
    use_index: bool = False


@dataclasses.dataclass(slots=True)
class Contact:
    """A peer that was heard from.

    ``incarnation`` is its newest one, ``heard_at`` when a message of it
    arrived. ``vouch`` is its answer to this host's request. ``has_left``:
    it leaves, and this host knows of all generations that it knows of.
    """

    incarnation: int
    heard_at: float
    vouch: messages.SettingsVouch | None = None
    has_left: bool = False


@dataclasses.dataclass(slots=True)
class FollowerState:
    """The settings of this host.

    ``tree`` is in force, None until the first settings are adopted.
    ``held`` is a newer tree that is complete but not in force yet.
    ``encoded_head`` is that of the newer of both, ``version`` the
    last seen version of the head object. ``newest_known_generation`` is
    the greatest known to exist. ``behind_since`` is when a generation
    newer than the held one became known, None while current.
    ``heard_at`` is when the platform or a peer last answered or sent
    a message. ``deltas`` keeps delta parts by digest for peers.
    ``asked_peers`` were asked for a newer generation; ``asked_holder``
    is one that reported holding it. ``parked`` holds arrivals by rid
    until this host is current; ``released`` holds those to handle next.

    ``floor`` is the oldest generation that may come into force, None
    after a start until it is known (:mod:`recovery`). ``contacts`` are the
    peers by name, ``candidates`` those that were live when any was asked to
    vouch, ``asked_vouches`` those asked since the last retry, and
    ``recorded_awaited`` those that the time line last named. ``round_id``
    identifies this process to them. ``listed`` are the other hosts of the
    host list, None before it was read. ``head_reads`` are the times at
    which unanswered reads of the head were sent, ``head_read_at`` is that
    of the last answered one. ``leaving`` is set once this host leaves and
    takes part in no newer generation.
    """

    tree: typing.Any = None
    held: typing.Any = None
    encoded_head: bytes = b""
    version: int = 0
    newest_known_generation: int = 0
    heard_at: float | None = None
    behind_since: float | None = None
    load: Load | None = None
    asked_holder: str = ""
    asked_peers: set[str] = dataclasses.field(default_factory=set)
    deltas: dict[str, conf.Part] = dataclasses.field(
        default_factory=dict)
    parked: dict[str, typing.Any] = dataclasses.field(
        default_factory=dict)
    released: list = dataclasses.field(default_factory=list)
    floor: int | None = None
    contacts: dict[str, Contact] = dataclasses.field(default_factory=dict)
    candidates: set[str] = dataclasses.field(default_factory=set)
    asked_vouches: set[str] = dataclasses.field(default_factory=set)
    recorded_awaited: list[str] | None = None
    round_id: int = 0
    listed: frozenset[str] | None = None
    head_reads: list[float] = dataclasses.field(default_factory=list)
    head_read_at: float | None = None
    leaving: bool = False


def new_state(tree=None):
    """Return a new follower state, with ``tree`` in force if given."""
    state = FollowerState(tree=tree)
    if tree is not None:
        state.newest_known_generation = tree.generation
        state.floor = tree.generation
    return state


def generation(daemon):
    """Return the generation in force on this host, 0 before the first."""
    tree = daemon.follower.tree
    return tree.generation if tree is not None else 0


def held_generation(daemon):
    """Return the newest generation that is complete on this host."""
    held = daemon.follower.held
    return held.generation if held is not None else generation(daemon)


def is_recovered(daemon):
    """Return whether this host knows what it may put in force."""
    return daemon.follower.floor is not None


def policy(daemon, workspace, class_name):
    """Return the resolved ``conf.ClassPolicy`` of a class, or None."""
    if daemon.follower.tree is None:
        return None
    return conf.resolve(daemon.follower.tree, workspace, class_name)


def caller(daemon, token_sha256):
    """Return the ``conf.CallerIdentity`` of a token, or None."""
    if daemon.follower.tree is None:
        return None
    return conf.find_caller(daemon.follower.tree, token_sha256)


def ready(daemon, now):
    """Return whether requests may be handled under these settings.

    They may not before the first settings are adopted, nor once neither
    the platform nor any peer was heard from for
    ``limits.stale_settings_s``: an isolated host would apply settings
    that the rest of the fleet has replaced, and callers would see two
    generations. Nor if a newer generation is known to exist but could
    not be fetched in time.
    """
    state = daemon.follower
    if state.tree is None:
        return False
    if state.behind_since is not None:
        return now - state.behind_since < MAX_PARK_S
    if state.heard_at is None:
        return True
    return now - state.heard_at < daemon.limits.stale_settings_s
