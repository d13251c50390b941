"""Events of the control daemon."""

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
    """How the sending of an order ended.

    DONE: the engine has taken it. STALE_FENCE: the engine knows a newer
    holder. REFUSED: another refusal. NOT_SENT: no byte of the order
    left. UNKNOWN: it may have been taken, or may be later.
    """

    DONE = "done"
    STALE_FENCE = "stale_fence"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@_event
class Ticked:
    """Time went on; comes at a steady pace."""


@_event
class SettingsChecked:
    """The settings in force, or None as ``common`` if unchanged.

    ``ok`` is False where they could not be read. ``common`` holds
    every section but the workspaces.
    """

    ok: bool
    generation: int = 0
    common: typing.Mapping | None = None


@_event
class EngineEntry:
    """One engine of the host list."""

    name: str
    service: str
    url: str
    domain: str
    leaving: bool = False


@_event
class HostsSeen:
    """The host list's engines; None where it could not be read."""

    engines: tuple[EngineEntry, ...] | None


@_event
class EngineSeen:
    """The answer to ``ReadEngine``; not ``ok``: none came.

    ``models`` are (name, version, ready) of each model it has.
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
    """How an order ended; ``detail`` is for operators."""

    order_id: str
    engine: str
    outcome: Outcome
    detail: str = ""


@_event
class StopAsked:
    """Planned stop of this program."""


Event = (
    Ticked | LeaseRead | LeaseWritten | SettingsChecked | HostsSeen
    | EngineSeen | OrderAnswered | StopAsked
)
