"""State of the control daemon.

All times are seconds of this process's own monotonic clock.
"""

import dataclasses
import typing

from crocuskeel.core.control import load_limit
from crocuskeel.core.control import orders
from crocuskeel.core import leadership

__all__ = ["Config", "ControlState", "EngineView", "Pool",
           "NEVER", "new_state"]

NEVER = leadership.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class Config(leadership.Config):
    """Settings of the control daemon, including those of its lease.

    Durations are in seconds; ``load_s`` bounds a load. ``share`` and
    ``domain_share`` are the fractions of a service's engines, in total
    and in one failure domain, that may be unavailable at once.
    ``loads_per_s`` and ``load_burst`` are the weight store's rate limit.
    ``max_reads`` bounds concurrent reads of engines, ``reads_per_s``
    their rate.
    """

    load_s: float = 600.0
    observe_s: float = 2.0
    idle_observe_s: float = 30.0
    settings_s: float = 2.0
    hosts_s: float = 5.0
    share: float = 0.25
    domain_share: float = 0.5
    max_failures: int = 3
    backoff_s: float = 5.0
    backoff_max_s: float = 300.0
    loads_per_s: float = 0.5
    load_burst: float = 4.0
    max_reads: int = 64
    reads_per_s: float = 100.0


@dataclasses.dataclass(slots=True)
class EngineView:
    """An engine as last observed, and its current order.

    ``models`` maps a name to (version, ready). ``sent_order`` is in
    flight, ``accepted_order`` was accepted but is not confirmed yet. No
    order is sent before ``hold_until``. ``pending_items`` is the
    difference of desired and observed state. ``observed_at`` is when the
    newest answer was requested, ``requested_at`` when the newest read
    began. ``attempts`` counts the ended orders by item.
    """

    name: str
    service: str
    url: str
    domain: str
    leaving: bool = False
    boot_id: str = ""
    models: dict = dataclasses.field(default_factory=dict)
    adapters: tuple[str, ...] = ()
    role: str = ""
    observed_at: float = NEVER
    requested_at: float = NEVER
    read_pending: bool = False
    loading_since: float | None = None
    pending_items: tuple[orders.Item, ...] = ()
    sent_order: orders.Order | None = None
    accepted_order: orders.Order | None = None
    accepted_at: float = NEVER
    hold_until: float = NEVER
    failures: int = 0
    attempts: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Pool:
    """A service's rollout; ``items`` is the desired state of its engines."""

    items: tuple[orders.Item, ...] = ()
    checks_fence: bool = False
    failures: int = 0
    paused: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class ControlState(leadership.Candidate):
    """The whole state of the control daemon; none of it is persisted.

    ``read_interval_s`` is the time between two reads of an engine whose
    service has not reached its desired state.
    """

    cfg: Config
    load_bucket: load_limit.Bucket
    generation: int = 0
    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    engines: dict[str, EngineView] = dataclasses.field(
        default_factory=dict)
    settings_read_at: float = NEVER
    settings_requested_at: float = NEVER
    settings_read_pending: bool = False
    hosts_requested_at: float = NEVER
    hosts_read_pending: bool = False
    last_plan: typing.Any = None
    read_interval_s: float = 0.0
    releasing: bool = False
    ended: bool = False


def new_state(cfg, rng, now):
    """Return the initial state of a control daemon.

    ``rng`` is a ``random.Random`` for lease nonces; its seed must differ
    from that of every other process.
    """
    return ControlState(
        cfg=cfg, rng=rng,
        load_bucket=load_limit.new_bucket(
            cfg.loads_per_s, cfg.load_burst, now),
        read_interval_s=cfg.observe_s)
