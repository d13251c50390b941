"""State of the claims component, kept per slot in use."""

import dataclasses
import enum
import random
import typing

from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core import placement

__all__ = [
    "ClaimRequest", "ClaimsConfig", "ClaimsState", "Commit", "Phase", "Slot",
    "new_state", "slot_owner",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsConfig:
    """Settings; durations in seconds, sizes in bytes.

    ``slots`` must not change during the life of a deployment, because
    a key would then be looked up in another ledger. ``commits_per_s`` and
    ``burst`` limit the commits per second of a slot. An entry is kept
    for at least ``kept_epochs`` times ``epoch_s``. ``max_ahead_s`` is
    how far ahead of this host's clock a key may be dated.
    ``outcome_delay_s`` is how long outcomes wait for a claim with which
    they can share a commit.
    """

    slots: int = 64
    prefix: str = "claims"
    commits_per_s: float = 3.0
    burst: int = 3
    epoch_s: float = 60.0
    kept_epochs: int = 15
    max_ahead_s: float = 60.0
    max_bytes: int = 512 * 1024
    max_pending: int = 2000
    outcome_delay_s: float = 1.0
    backoff_s: float = 0.25
    backoff_max_s: float = 4.0
    evict_after_s: float = 120.0


class Phase(enum.Enum):
    """The store operation that a slot waits for."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


@dataclasses.dataclass(slots=True)
class ClaimRequest:
    """A claim or lookup that waits for its answer.

    ``in_doubt``: it was part of a write whose result is unknown.
    ``abandoned``: the entry host will never run this attempt.
    """

    rid: str
    key: str
    digest: str
    host: str
    incarnation: int
    issued_at: float
    deadline: float
    in_doubt: bool = False
    abandoned: bool = False


@dataclasses.dataclass(slots=True)
class Commit:
    """A commit in flight: the new ledger and the changes in it."""

    ledger: ledgers.Ledger
    base_version: int
    claimed: list[str] = dataclasses.field(default_factory=list)
    settled: list[tuple] = dataclasses.field(default_factory=list)
    changed: bool = False


@dataclasses.dataclass(slots=True)
class Slot:
    """One slot as this host knows it.

    ``ledger`` is None until read, and after a write that did not
    succeed. ``in_doubt_version``: a write based on this version may
    still be applied. ``rate_full_at`` is when the rate limit allows a
    full burst again. ``outcomes`` maps (key, rid) to an outcome that is
    not written yet. ``lookups`` wait for a read, which has started for
    ``lookups_in_read``; the next may start at ``next_lookup_read``.
    """

    number: int
    ledger: ledgers.Ledger | None = None
    phase: Phase = Phase.IDLE
    op: tuple = ()
    commit: Commit | None = None
    requests: dict[str, ClaimRequest] = dataclasses.field(default_factory=dict)
    outcomes: dict[tuple, ledgers.Outcome] = dataclasses.field(
        default_factory=dict)
    outcomes_due: float = 0.0
    lookups: dict[str, ClaimRequest] = dataclasses.field(default_factory=dict)
    lookups_in_read: set[str] = dataclasses.field(default_factory=set)
    next_lookup_read: float = 0.0
    in_doubt_version: int | None = None
    backoff_until: float = 0.0
    backoff_s: float = 0.0
    rate_full_at: float = 0.0
    seen_epoch: int = -1
    epoch_seen_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ClaimsState:
    """All slots in use on this host; changed in place by the reducer.

    ``wall_clock`` converts the runtime's time to Unix seconds. It is only
    used to refuse requests, never to run one.
    """

    host: str
    incarnation: int
    cfg: ClaimsConfig
    rng: random.Random
    wall_clock: typing.Callable[[float], float] | None = None
    slots: dict[int, Slot] = dataclasses.field(default_factory=dict)
    seq: int = 0


def new_state(host, incarnation, rng, cfg=None, wall_clock=None):
    """Return the state of a host that has read no ledger yet."""
    return ClaimsState(
        host=host, incarnation=incarnation, rng=rng,
        cfg=cfg or ClaimsConfig(), wall_clock=wall_clock)


def slot_owner(slot, hosts):
    """Return the live host that entry hosts should ask for ``slot``.

    This only matters for efficiency: any host may serve any slot, and
    two hosts that serve the same slot only conflict in their commits.
    """
    return placement.owner(f"claims/{slot}", hosts)
