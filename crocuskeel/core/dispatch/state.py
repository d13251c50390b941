"""State of the dispatcher: cells, queues, slots and engine statistics."""

import collections
import dataclasses
import typing

from sortedcontainers import SortedList

from crocuskeel.core.dispatch import estimates
from crocuskeel.core.dispatch import meters
from crocuskeel.core import messages

__all__ = ["Cell", "ClassQueue", "DispatchState", "EngineView", "Flow",
           "Key", "Slot", "WaitingAttempt", "add_prefix", "new_cell",
           "new_state"]

Key = tuple[str, int]
MAX_PREFIXES = 4096


def _dict_field():
    return dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class WaitingAttempt:
    """One waiting attempt.

    ``entry_host`` is the host that enqueued it. ``due`` is the latest
    start that meets the target, ``deadline`` the latest start at all; both
    are on this host's clock. ``cost`` is its expected cost.
    """

    request: messages.Enqueue
    entry_host: str
    enqueued_at: float
    due: float
    deadline: float
    cost: float
    seq: int
    late: bool = False

    @property
    def key(self) -> Key:
        """Identity of the attempt."""
        return self.request.rid, self.request.attempt


@dataclasses.dataclass(slots=True)
class Slot:
    """One granted attempt; ``updated_at`` is when it was last reported.

    ``ttft_budget_s`` is the time that was left for the first token at the
    grant, ``batch_size`` the number of attempts on the engine then, this
    one included, and ``boot_id`` the engine's boot id as known then.
    """

    entry_host: str
    engine: str
    class_name: str
    workspace: str
    tier: int
    fingerprint: str
    granted_at: float
    updated_at: float
    tokens: int = 0
    cost: float = 0.0
    exclusive: bool = False
    cache_hit: bool = False
    prefix: int = 0
    ttft_budget_s: float = 0.0
    batch_size: int = 1
    boot_id: str = ""


@dataclasses.dataclass(slots=True)
class Flow:
    """Waiting attempts of one workspace in one class.

    Those in ``on_time`` can still meet the target, those in ``late`` have
    missed it. Both hold ``(due, seq, key)``. ``queued_cost`` is the
    expected cost of all of them.
    """

    workspace: str
    weight: float
    virtual_time: float = 0.0
    queued_cost: float = 0.0
    on_time: SortedList = dataclasses.field(default_factory=SortedList)
    late: SortedList = dataclasses.field(default_factory=SortedList)


@dataclasses.dataclass(slots=True)
class ClassQueue:
    """Waiting attempts of one class in a cell.

    ``credit`` is the floor's deficit counter in grants.
    """

    name: str
    tier: int
    floor: float
    virtual_time: float = 0.0
    credit: float = 0.0
    waiting_count: int = 0
    queued_cost: float = 0.0
    virtual_clock: float = 0.0
    flows: dict[str, Flow] = _dict_field()


@dataclasses.dataclass(slots=True)
class EngineView:
    """What is learned of one backend server.

    ``unit_latency`` is the mean time between tokens, or of a whole call
    where there are no tokens, and ``unit_latency_dev`` its mean deviation.
    ``mean_concurrency`` is the mean number of attempts at the time,
    ``ttft`` the time to the first token. These are 0 while unknown.
    ``concurrency_limit`` is learned, ``max_limit`` its upper bound,
    ``reported_slots`` the slots that the engine reports.
    """

    name: str
    concurrency_limit: float
    max_limit: int
    unit_latency: float = 0.0
    unit_latency_dev: float = 0.0
    mean_concurrency: float = 0.0
    ttft: float = 0.0
    ttft_dev: float = 0.0
    samples: int = 0
    reduced_at: float = 0.0
    failures: int = 0
    paused_until: float = 0.0
    slow_backoffs: int = 0
    probing: bool = False
    boot_id: str = ""
    reported_load: int = -1
    reported_slots: int = 0
    missed_reports: int = 0
    prefixes: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)


@dataclasses.dataclass(slots=True)
class Cell:
    """One cell that this host dispatches.

    ``unreported_hosts`` are hosts whose running attempts are not yet
    known; until ``settle_until`` only slots that are certainly free are
    granted. ``ownership_lost_at`` is when another host became the cell's
    dispatcher, None while it is this host. ``top_tier_running`` counts the top
    tier's slots; ``headroom_factor`` times its square root is the number of
    slots kept free for that tier.
    """

    name: str
    service: str
    settle_until: float
    unreported_hosts: set[str]
    ownership_lost_at: float | None = None
    waiting: dict[Key, WaitingAttempt] = _dict_field()
    suspects: dict[Key, WaitingAttempt] = _dict_field()
    running: dict[Key, Slot] = _dict_field()
    running_by_engine: dict[str, set[Key]] = _dict_field()
    running_by_fingerprint: collections.Counter = dataclasses.field(
        default_factory=collections.Counter)
    class_queues: dict[str, ClassQueue] = _dict_field()
    due_times: SortedList = dataclasses.field(default_factory=SortedList)
    deadlines: SortedList = dataclasses.field(default_factory=SortedList)
    virtual_clocks: dict[int, float] = _dict_field()
    refused_at: dict[int, float] = _dict_field()
    reserved: dict[str, Key | None] = _dict_field()
    completions: meters.Meter = dataclasses.field(
        default_factory=meters.new_meter)
    grants_by_tier: dict[int, meters.Meter] = _dict_field()
    state_requested_at: dict[str, float] = _dict_field()
    targets: dict[str, float] = _dict_field()
    seq: int = 0
    top_tier_running: int = 0
    headroom_factor: float = 2.0


@dataclasses.dataclass(slots=True)
class DispatchState:
    """All cells of this host and what is learned of the engines.

    ``topology`` holds the members and cells that ``cells`` was last
    checked against, ``generation`` the settings generation that bounds the
    engines' slots. ``known_good`` are fingerprints of requests that
    finished recently.
    """

    cells: dict[str, Cell] = _dict_field()
    engines: dict[str, EngineView] = _dict_field()
    lengths: estimates.Estimates = dataclasses.field(
        default_factory=estimates.new_estimates)
    known_good: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    hit_ttft: float = 0.0
    miss_ttft: float = 0.0
    topology: typing.Any = None
    generation: int = 0


def add_prefix(view, prefix):
    """Record that an engine should have a prompt's prefix cached."""
    view.prefixes[prefix] = True
    view.prefixes.move_to_end(prefix)
    if len(view.prefixes) > MAX_PREFIXES:
        view.prefixes.popitem(last=False)


def new_state():
    """Return the state of a daemon that dispatches nothing yet."""
    return DispatchState()


def new_cell(name, service, settle_until, unreported_hosts):
    """Return an empty cell; see :class:`Cell` for the arguments."""
    return Cell(name, service, settle_until, set(unreported_hosts))
