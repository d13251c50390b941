"""State of a process that may hold the lease.

All times are seconds of this process's own clock, which continues while
the process or its host is suspended.
"""

import dataclasses
import random
import typing

__all__ = ["Candidate", "Config", "Lease", "NEVER", "Sent"]

NEVER = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Settings of the lease; times in seconds.

    ``span_s`` is the span of the lease. ``margin_s`` covers the drift of
    clocks over a span and the delay of an order in the network.
    ``order_s`` is the maximum duration of an order. A step that comes
    later than ``jump_s`` after the previous one indicates a pause. A
    process that lost the lease, or has just started, does not acquire it
    for ``cooldown_s``.
    """

    host: str
    span_s: float = 15.0
    margin_s: float = 2.0
    renew_s: float = 4.0
    jump_s: float = 2.0
    order_s: float = 5.0
    cooldown_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A write of this process: when it was first sent, and its record.

    ``era`` is the store's era that the record is of.
    """

    at: float
    record: typing.Any = None
    era: int = 0


@dataclasses.dataclass(slots=True)
class Lease:
    """What this process knows of the lease.

    ``fence`` is the object's version after the acquisition, ``version``
    that after the newest known write. ``sent`` holds the writes of this
    process by number. ``confirmed_at`` is the sending time of the newest
    one known to have taken effect; it is ignored if it is earlier than
    ``doubted_at``. ``seen_version`` was first seen at ``seen_at``, -1 if
    none was seen; ``read_version`` was read from the object itself.
    ``holder``, ``span_s`` and ``order_s`` are those of the current or
    latest other holder.

    ``record`` is a JSON value that the holder stores in the object for
    the next one; ``committed_record`` is known to be stored there.
    ``record_era`` is the store's era that the record read from the object
    is of: if that of the object's version is newer, the store was restored
    and holders may have acted of whom the record says nothing.
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
    record_era: int = 0
    holder: str = ""
    span_s: float = 0.0
    order_s: float = 0.0
    record: typing.Any = None
    committed_record: typing.Any = None
    call_in_progress: bool = False
    write_uncertain: bool = False
    due_at: float = NEVER


@dataclasses.dataclass(slots=True, kw_only=True)
class Candidate:
    """A process that may hold the lease.

    ``rng`` is a ``random.Random`` that no other process shares, as nonces
    are drawn from it. The lease is not acquired before
    ``cooldown_until``. ``era`` is the newest era of the store that this
    process knows.
    """

    cfg: Config
    rng: random.Random
    lease: Lease = dataclasses.field(default_factory=Lease)
    last_step_at: float | None = None
    cooldown_until: float = NEVER
    stopping: bool = False
    era: int = -1
