"""State of a process that may hold the lease.

All times are seconds of this process's own clock, which goes on while
the process or its host stands still.
"""

import dataclasses
import random
import typing

__all__ = ["Candidate", "Config", "Lease", "NEVER", "Sent"]

NEVER = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Settings of the lease; spans in seconds.

    ``span_s`` is the lease's, ``margin_s`` what clocks may run apart
    over a span and what the network may hold an order back. ``order_s``
    bounds one order. A step later than ``jump_s`` after the one before
    counts as a pause. A process that lost the lease, or that began, does
    not acquire it for ``rest_s``.
    """

    host: str
    span_s: float = 15.0
    margin_s: float = 2.0
    renew_s: float = 4.0
    jump_s: float = 2.0
    order_s: float = 5.0
    rest_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """An own write: when it was sent first, and the record in it."""

    at: float
    record: typing.Any = None


@dataclasses.dataclass(slots=True)
class Lease:
    """What this process knows of the lease.

    ``fence`` is the object's version after the acquisition, ``version``
    after the newest write known. ``sent`` has the own writes by number;
    ``confirmed_at`` is the sending time of the newest
    one known to have taken effect, which counts from ``doubted_at`` on
    only. ``seen_version`` was first seen at ``seen_at``; -1: nothing
    seen; ``read_version`` was read from the object itself. ``holder``,
    ``span_s`` and ``order_s`` are those of the present or last other
    holder.

    ``record`` is what the holder wants kept in the object for the next
    one, a JSON value; ``kept`` is what is known to be there.
    """

    holding: bool = False
    lapsed: bool = False
    fence: int = 0
    version: int = 0
    nonce: str = ""
    number: int = 0
    sent: dict[int, Sent] = dataclasses.field(default_factory=dict)
    confirmed_at: float = NEVER
    doubted_at: float = NEVER
    acquired_at: float = NEVER
    seen_version: int = -1
    seen_at: float = NEVER
    read_version: int = -1
    holder: str = ""
    span_s: float = 0.0
    order_s: float = 0.0
    record: typing.Any = None
    kept: typing.Any = None
    open_call: bool = False
    unsettled: bool = False
    due_at: float = NEVER


@dataclasses.dataclass(slots=True, kw_only=True)
class Candidate:
    """A process that may hold the lease.

    ``rng`` is a ``random.Random`` that no other process shares: nonces
    come from it. The lease is not acquired before ``rests_until``.
    """

    cfg: Config
    rng: random.Random
    lease: Lease = dataclasses.field(default_factory=Lease)
    last_step: float | None = None
    rests_until: float = NEVER
    stopping: bool = False
