"""State of the claims concern: one part for each slot in use."""

import dataclasses
import enum
import random
import typing

from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core import placement

__all__ = [
    "Ask", "ClaimsConfig", "ClaimsState", "Draft", "Phase", "Slot",
    "new_state", "owner_of",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsConfig:
    """Settings; spans in seconds, sizes in bytes.

    ``slots`` is fixed for the life of a deployment: with another number
    a key would be looked up in another ledger. ``writes_s`` and
    ``burst`` bound the commits of a slot. An entry is kept for at least
    ``kept_epochs`` times ``epoch_s``. ``ahead_s`` is how far ahead of
    this host's clock a key may be dated. ``settle_wait_s`` is how long
    outcomes wait for a claim to share a commit with.
    """

    slots: int = 64
    prefix: str = "claims"
    writes_s: float = 3.0
    burst: int = 3
    epoch_s: float = 60.0
    kept_epochs: int = 15
    ahead_s: float = 60.0
    max_bytes: int = 512 * 1024
    max_waiting: int = 2000
    settle_wait_s: float = 1.0
    backoff_s: float = 0.25
    backoff_max_s: float = 4.0
    idle_s: float = 120.0


class Phase(enum.Enum):
    """What a slot waits for from the store."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


@dataclasses.dataclass(slots=True)
class Ask:
    """A claim that waits to be answered.

    ``doubtful``: it was in a write whose outcome is not known.
    ``given_up``: the door said that it will never run this attempt.
    """

    rid: str
    key: str
    digest: str
    host: str
    incarnation: int
    issued_at: float
    deadline: float
    doubtful: bool = False
    given_up: bool = False


@dataclasses.dataclass(slots=True)
class Draft:
    """A commit in flight: the ledger it makes and what rests on it."""

    ledger: ledgers.Ledger
    base: int
    claimed: list[str] = dataclasses.field(default_factory=list)
    settled: list[tuple] = dataclasses.field(default_factory=list)
    changed: bool = False


@dataclasses.dataclass(slots=True)
class Slot:
    """One slot as this host knows it.

    ``ledger`` is None until read, and after a write that did not
    succeed. ``doubt_base``: a write on this version may still land.
    ``free_at`` is the time at which the pacing is fully paid off.
    ``settles`` maps (key, rid) to an outcome. ``looks`` wait for a
    read, which for ``looked`` has begun; the next may go out at
    ``look_at``.
    """

    number: int
    ledger: ledgers.Ledger | None = None
    phase: Phase = Phase.IDLE
    op: tuple = ()
    draft: Draft | None = None
    asks: dict[str, Ask] = dataclasses.field(default_factory=dict)
    settles: dict[tuple, ledgers.Outcome] = dataclasses.field(
        default_factory=dict)
    settle_at: float = 0.0
    looks: dict[str, Ask] = dataclasses.field(default_factory=dict)
    looked: set[str] = dataclasses.field(default_factory=set)
    look_at: float = 0.0
    doubt_base: int | None = None
    down_until: float = 0.0
    backoff_s: float = 0.0
    free_at: float = 0.0
    seen_epoch: int = -1
    seen_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ClaimsState:
    """All slots in use here; changed in place by the reducer.

    ``wall`` turns the runtime's time into Unix seconds. It serves only
    to refuse; nothing is ever run because of it.
    """

    host: str
    incarnation: int
    cfg: ClaimsConfig
    rng: random.Random
    wall: typing.Callable[[float], float] | None = None
    slots: dict[int, Slot] = dataclasses.field(default_factory=dict)
    seq: int = 0


def new_state(host, incarnation, rng, cfg=None, wall=None):
    """Return the state of a host that has read no ledger yet."""
    return ClaimsState(
        host=host, incarnation=incarnation, rng=rng,
        cfg=cfg or ClaimsConfig(), wall=wall)


def owner_of(slot, hosts):
    """Return the live host that a door should ask for ``slot``.

    A matter of efficiency: any host may serve any slot, and two that
    serve one slot only refuse each other's commits.
    """
    return placement.owner(f"claims/{slot}", hosts)
