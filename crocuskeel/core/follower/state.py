"""What the follower holds, and what other concerns read of it."""

import dataclasses
import typing

from crocuskeel import conf
from crocuskeel.conf import storage

__all__ = ["FollowerState", "Load", "caller", "generation",
           "held_generation", "new_state", "policy", "ready"]

# How long arrivals wait for a newer generation before they are refused.
PARK_S = 2.0


@dataclasses.dataclass(slots=True)
class Load:
    """A newer generation being fetched.

    ``source`` is a peer's name, "" for the platform. ``got`` maps
    digests to parts, ``asked`` are those under way. ``whole`` says that
    deltas can't lead there.
    """

    head: storage.Head
    source: str
    got: dict[str, conf.Part] = dataclasses.field(default_factory=dict)
    asked: set[str] = dataclasses.field(default_factory=set)
    whole: bool = False


@dataclasses.dataclass(slots=True)
class FollowerState:
    """Settings in force on this host.

    ``tree`` is in force, None until the first are; ``held`` is a newer
    one that is complete but not in force yet. ``head`` is the stored
    head of the newest of both, ``version`` the head object's version
    last seen. ``newest`` is the greatest generation heard of;
    ``behind_since`` when one newer than ours was first heard of, None
    when current. ``heard_at`` is when the platform or a peer last
    spoke. ``deltas`` keeps delta parts by digest for peers.
    ``asked_peers`` were asked for what is newer, ``asked_holder`` is
    one that said it holds it. ``parked`` holds arrivals by rid until we
    are current; ``released`` those to judge next.
    """

    tree: typing.Any = None
    held: typing.Any = None
    head: bytes = b""
    version: int = 0
    newest: int = 0
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


def new_state(tree=None):
    """Return the follower's state, already at ``tree`` if given."""
    state = FollowerState(tree=tree)
    if tree is not None:
        state.newest = tree.generation
    return state


def generation(daemon):
    """Return the generation in force here, 0 before the first."""
    tree = daemon.follower.tree
    return tree.generation if tree is not None else 0


def held_generation(daemon):
    """Return the newest generation that is complete on this host."""
    held = daemon.follower.held
    return held.generation if held is not None else generation(daemon)


def policy(daemon, workspace, class_name):
    """Return the class's resolved ``conf.ClassPolicy`` or None."""
    if daemon.follower.tree is None:
        return None
    return conf.resolve(daemon.follower.tree, workspace, class_name)


def caller(daemon, token_sha256):
    """Return the ``conf.CallerIdentity`` of a token or None."""
    if daemon.follower.tree is None:
        return None
    return conf.find_caller(daemon.follower.tree, token_sha256)


def ready(daemon, now):
    """Tell whether requests may be judged by these settings.

    Not before the first settings are adopted. Not once neither the
    platform nor any peer was heard for ``limits.stale_settings_s``: a
    host cut off from all would judge by settings that the rest of the
    fleet has left behind, and callers would see two generations. Not
    while a newer generation is known of and could not be had in time.
    """
    state = daemon.follower
    if state.tree is None:
        return False
    if state.behind_since is not None:
        return now - state.behind_since < PARK_S
    if state.heard_at is None:
        return True
    return now - state.heard_at < daemon.limits.stale_settings_s
