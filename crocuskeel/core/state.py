"""State of one daemon, with one attribute for each component.

``Daemon`` is passed to every component's ``handle``. A component changes
only its own state and reads that of others through their public
functions. State is updated in place: copying queues on each of thousands
of events a second would cost more than the decisions themselves.
"""

import dataclasses
import random
import typing

__all__ = ["Daemon", "Identity", "Limits"]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this daemon, read from its settings file at start.

    ``incarnation`` grows with each start: a rejoin under the same address
    is a new incarnation.
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
    """Limits of a daemon: seconds if the name ends in ``_s``, else counts."""

    max_requests: int = 2000
    max_queue_per_cell: int = 4000
    replay_kept_s: float = 60.0
    stale_settings_s: float = 10.0
    peer_silence_s: float = 3.0


@dataclasses.dataclass(slots=True)
class Daemon:
    """All state of one daemon, by component."""

    identity: Identity
    limits: Limits
    rng: random.Random
    follower: typing.Any
    membership: typing.Any
    backends: typing.Any
    quarantine: typing.Any
    dispatch: typing.Any
    frontend: typing.Any
    claims: typing.Any
