"""State of the control daemon.

All times are seconds of this process's own monotonic clock.
"""

import dataclasses
import typing

from crocuskeel.core.control import orders
from crocuskeel.core.control import rates
from crocuskeel.core import leadership

__all__ = ["Config", "ControlState", "EngineView", "Pool",
           "NEVER", "new_state"]

NEVER = leadership.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class Config(leadership.Config):
    """Settings of the control daemon, those of its lease among them.

    Spans are in seconds; ``load_s`` bounds a load. ``share`` and
    ``domain_share`` are the shares of a service's engines, in all and
    in one failure domain, that may be out of service at once.
    ``loads_per_s`` and ``load_burst`` are the weight store's limit.
    ``max_reads`` bounds reads of engines open at once, ``reads_per_s``
    those a second.
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
    """One engine as last observed, and the order it was given.

    ``models`` is name to (version, ready). ``order`` is on its way,
    ``taken`` was accepted and is not confirmed yet. No order goes out
    before ``hold_until``. ``lacking`` is the difference of wanted and
    observed state. ``seen_at`` is when the newest answer was
    asked for.
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
    seen_at: float = NEVER
    asked_at: float = NEVER
    reading: bool = False
    loading_since: float | None = None
    lacking: tuple[orders.Item, ...] = ()
    order: orders.Order | None = None
    taken: orders.Order | None = None
    taken_at: float = NEVER
    hold_until: float = NEVER
    failures: int = 0
    rounds: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Pool:
    """A service's rollout: ``items`` are what its engines should have."""

    items: tuple[orders.Item, ...] = ()
    checks_fence: bool = False
    failures: int = 0
    paused: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class ControlState(leadership.Candidate):
    """All that the control daemon knows; nothing of it is stored.

    ``pace_s`` is the time between two reads of an engine whose service
    is not as wanted.
    """

    cfg: Config
    bucket: rates.Bucket
    generation: int = 0
    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    engines: dict[str, EngineView] = dataclasses.field(
        default_factory=dict)
    settings_at: float = NEVER
    settings_asked_at: float = NEVER
    settings_open: bool = False
    hosts_asked_at: float = NEVER
    hosts_open: bool = False
    planned: typing.Any = None
    pace_s: float = 0.0
    releasing: bool = False
    ended: bool = False


def new_state(cfg, rng, now):
    """Return the state of a control daemon that has just started.

    ``rng`` is a ``random.Random`` that no other process shares: lease
    nonces come from it.
    """
    return ControlState(
        cfg=cfg, rng=rng,
        bucket=rates.new_bucket(cfg.loads_per_s, cfg.load_burst, now),
        pace_s=cfg.observe_s)
