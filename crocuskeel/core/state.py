"""State of one daemon: a part for each concern, one owner a part.

``Daemon`` is handed to every concern's ``handle``. A concern reads any
part through its owner's public functions and changes only its own.
State is updated in place: copying queues on each of thousands of events
a second would cost more than the decisions themselves.
"""

import dataclasses
import random
import typing

__all__ = ["Daemon", "Identity", "Limits"]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this daemon is; learned from its settings file at start.

    ``incarnation`` grows at each start: a rejoin under the same
    address is a new incarnation.
    """

    deployment: str
    host: str
    domain: str
    region: str
    address: str
    peer_port: int
    door_port: int
    incarnation: int
    seeds: tuple[tuple[str, str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of a daemon; counts unless the name ends in ``_s``."""

    max_requests: int = 2000
    max_queue_per_cell: int = 4000
    replay_kept_s: float = 60.0
    stale_settings_s: float = 10.0
    peer_silence_s: float = 3.0


@dataclasses.dataclass(slots=True)
class Daemon:
    """All state of one daemon, by concern."""

    me: Identity
    limits: Limits
    rng: random.Random
    follower: typing.Any
    members: typing.Any
    backends: typing.Any
    quarantine: typing.Any
    dispatch: typing.Any
    door: typing.Any
    claims: typing.Any
