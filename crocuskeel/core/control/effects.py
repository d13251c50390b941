"""Effects that the reducer returns for the runtime to carry out."""

import dataclasses

from crocuskeel.core.control import orders
from crocuskeel.core.leadership.effects import ReadLease
from crocuskeel.core.leadership.effects import Record
from crocuskeel.core.leadership.effects import WriteLease

__all__ = ["CheckSettings", "Effect", "Exit", "ReadEngine", "ReadHosts",
           "ReadLease", "Record", "SendOrder", "WriteLease", "order_record"]

_effect = dataclasses.dataclass(frozen=True, slots=True)


@_effect
class CheckSettings:
    """Read the settings if a generation after ``have`` is in force.

    Answered by ``SettingsChecked``.
    """

    have: int


@_effect
class ReadHosts:
    """Read the host list; answered by ``HostsSeen``."""


@_effect
class ReadEngine:
    """Read an engine's state; answered by ``EngineSeen``."""

    engine: str
    url: str


@_effect
class SendOrder:
    """Send an order, if ``may_send`` still allows it.

    The runtime must abort the call and close its connection after
    ``span_s`` seconds. Answered by ``OrderAnswered``.
    """

    order: orders.Order
    url: str
    span_s: float


def order_record(kind, order, *fields):
    """Return the timeline event ``kind`` of an order."""
    return Record(kind, (
        ("engine", order.engine), ("order", order.item.kind.value),
        ("name", order.item.name), ("version", order.item.version),
        ("fence", order.fence), ("generation", order.generation),
        *fields))


@_effect
class Exit:
    """End the process; the planned stop is complete."""


Effect = (
    ReadLease | WriteLease | CheckSettings | ReadHosts | ReadEngine
    | SendOrder | Record | Exit
)
