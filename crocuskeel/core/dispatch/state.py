"""State of the dispatcher: cells, queues, slots and learned engines."""

import collections
import dataclasses
import typing

from sortedcontainers import SortedList

from crocuskeel.core.dispatch import estimates
from crocuskeel.core.dispatch import meters
from crocuskeel.core import messages

__all__ = ["Cell", "ClassQueue", "DispatchState", "EngineView", "Flow",
           "Key", "Slot", "Waiting", "keep_prefix", "new_cell", "new_state"]

Key = tuple[str, int]
MAX_PREFIXES = 4096


def _dict():
    return dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Waiting:
    """One waiting attempt.

    ``due`` is the latest start that meets the target, ``deadline`` the
    latest start at all; both on this host's clock. ``cost`` is its
    expected work.
    """

    ask: messages.Enqueue
    door: str
    since: float
    due: float
    deadline: float
    cost: float
    seq: int
    late: bool = False

    @property
    def key(self) -> Key:
        """Identity of the attempt."""
        return self.ask.rid, self.ask.attempt


@dataclasses.dataclass(slots=True)
class Slot:
    """One granted attempt; ``heard_at`` is the last news of it.

    ``first_by_s`` is the time left for the first token at the grant,
    ``boot_id`` the engine's boot id as known then.
    """

    door: str
    engine: str
    class_name: str
    workspace: str
    tier: int
    fingerprint: str
    granted_at: float
    heard_at: float
    tokens: int = 0
    cost: float = 0.0
    alone: bool = False
    hit: bool = False
    prefix: int = 0
    first_by_s: float = 0.0
    batch: int = 1
    boot_id: str = ""


@dataclasses.dataclass(slots=True)
class Flow:
    """Waiting work of one workspace in one class.

    ``fresh`` can still meet the target; ``late`` has missed it. Both
    hold ``(due, seq, key)``. ``work`` is the expected cost waiting.
    """

    workspace: str
    weight: float
    virtual: float = 0.0
    work: float = 0.0
    fresh: SortedList = dataclasses.field(default_factory=SortedList)
    late: SortedList = dataclasses.field(default_factory=SortedList)


@dataclasses.dataclass(slots=True)
class ClassQueue:
    """Waiting work of one class in a cell.

    ``credit`` is the floor's deficit counter in grants.
    """

    name: str
    tier: int
    floor: float
    virtual: float = 0.0
    credit: float = 0.0
    waiting: int = 0
    work: float = 0.0
    clock: float = 0.0
    flows: dict[str, Flow] = _dict()


@dataclasses.dataclass(slots=True)
class EngineView:
    """What is learned of one backend server.

    ``pace`` is the mean time between tokens, or of a whole call where
    there are no tokens, ``spread`` its mean deviation; ``crowd`` the
    mean number of attempts at the time; ``ttft`` the time to the first
    token; 0 while unknown. ``limit`` is the learned concurrency limit,
    ``most`` its upper bound, ``told`` the slots the engine reports.
    """

    name: str
    limit: float
    most: int
    pace: float = 0.0
    spread: float = 0.0
    crowd: float = 0.0
    ttft: float = 0.0
    ttft_spread: float = 0.0
    samples: int = 0
    cut_at: float = 0.0
    failures: int = 0
    off_until: float = 0.0
    eased: int = 0
    probing: bool = False
    boot_id: str = ""
    reported: int = -1
    told: int = 0
    missed_reports: int = 0
    prefixes: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)


@dataclasses.dataclass(slots=True)
class Cell:
    """One cell that this host dispatches.

    ``unheard`` are hosts whose running work is not yet known; until
    ``settle_until`` only what is surely free is granted. ``lost_at`` is
    when another host became its dispatcher, None while it is ours.
    ``top_held`` counts the top tier's slots, ``headroom`` the learned
    slots kept free for it, as a multiple of the root of ``top_held``.
    """

    name: str
    service: str
    settle_until: float
    unheard: set[str]
    lost_at: float | None = None
    waiting: dict[Key, Waiting] = _dict()
    suspects: dict[Key, Waiting] = _dict()
    running: dict[Key, Slot] = _dict()
    by_engine: dict[str, set[Key]] = _dict()
    in_flight: collections.Counter = dataclasses.field(
        default_factory=collections.Counter)
    classes: dict[str, ClassQueue] = _dict()
    dues: SortedList = dataclasses.field(default_factory=SortedList)
    deadlines: SortedList = dataclasses.field(default_factory=SortedList)
    clocks: dict[int, float] = _dict()
    refused_at: dict[int, float] = _dict()
    reserved: dict[str, Key | None] = _dict()
    drain: meters.Meter = dataclasses.field(
        default_factory=meters.new_meter)
    granted: dict[int, meters.Meter] = _dict()
    asked_at: dict[str, float] = _dict()
    targets: dict[str, float] = _dict()
    seq: int = 0
    top_held: int = 0
    headroom: float = 2.0


@dataclasses.dataclass(slots=True)
class DispatchState:
    """All cells of this host and what is learned of the engines.

    ``view`` is the membership and grouping that ``cells`` was last
    checked against, ``generation`` the settings that bound the engines'
    slots. ``proven`` are fingerprints that lately finished.
    """

    cells: dict[str, Cell] = _dict()
    engines: dict[str, EngineView] = _dict()
    lengths: estimates.Estimates = dataclasses.field(
        default_factory=estimates.new_estimates)
    proven: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    hit_ttft: float = 0.0
    miss_ttft: float = 0.0
    view: typing.Any = None
    generation: int = 0


def keep_prefix(view, prefix):
    """Note that an engine should have a prompt's prefix cached."""
    view.prefixes[prefix] = True
    view.prefixes.move_to_end(prefix)
    if len(view.prefixes) > MAX_PREFIXES:
        view.prefixes.popitem(last=False)


def new_state():
    """Return the state of a daemon that dispatches nothing yet."""
    return DispatchState()


def new_cell(name, service, settle_until, unheard):
    """Return an empty cell; see :class:`Cell` for the arguments."""
    return Cell(name, service, settle_until, set(unheard))
