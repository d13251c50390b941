"""Events that the reducer of the control daemon handles."""

import dataclasses
import enum
import typing

from crocuskeel.core.leadership.events import LeaseRead
from crocuskeel.core.leadership.events import LeaseWritten
from crocuskeel.core.leadership.events import Status

__all__ = [
    "EngineEntry", "EngineSeen", "Event", "HostsSeen", "LeaseRead",
    "LeaseWritten", "OrderAnswered", "Outcome", "SettingsChecked",
    "Status", "StopAsked", "Ticked",
]

_event = dataclasses.dataclass(frozen=True, slots=True)


class Outcome(enum.StrEnum):
    """The outcome of sending an order.

    DONE: the engine accepted it. STALE_FENCE: the engine has seen a
    higher fencing number. REFUSED: the engine refused it for another
    reason. NOT_SENT: no byte of the order was sent. UNKNOWN: the engine
    may have accepted it, or may still do so.
    """

    DONE = "done"
    STALE_FENCE = "stale_fence"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@_event
class Ticked:
    """The periodic timer fired."""


@_event
class SettingsChecked:
    """The answer to ``CheckSettings``.

    ``ok`` is False if the settings could not be read. ``common`` holds
    every section but the workspaces; it is None if no newer generation
    is in force.
    """

    ok: bool
    generation: int = 0
    common: typing.Mapping | None = None


@_event
class EngineEntry:
    """An engine in the host list."""

    name: str
    service: str
    url: str
    domain: str
    leaving: bool = False


@_event
class HostsSeen:
    """The engines in the host list; None if it could not be read."""

    engines: tuple[EngineEntry, ...] | None


@_event
class EngineSeen:
    """The answer to ``ReadEngine``.

    ``ok`` is False if the engine gave no valid answer. ``models`` has
    (name, version, ready) for each model that the engine holds.
    """

    engine: str
    ok: bool
    boot_id: str = ""
    models: tuple[tuple[str, str, bool], ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    highest_fence: int = 0


@_event
class OrderAnswered:
    """The outcome of an order; ``detail`` is text for operators."""

    order_id: str
    engine: str
    outcome: Outcome
    detail: str = ""


@_event
class StopAsked:
    """A planned stop of this process was requested."""


Event = (
    Ticked | LeaseRead | LeaseWritten | SettingsChecked | HostsSeen
    | EngineSeen | OrderAnswered | StopAsked
)
