"""Effects of the control daemon, as data for its runtime."""

import dataclasses

from crocuskeel.core.control import orders
from crocuskeel.core.leadership.effects import ReadLease
from crocuskeel.core.leadership.effects import Record
from crocuskeel.core.leadership.effects import WriteLease

__all__ = ["CheckSettings", "Effect", "Exit", "ReadEngine", "ReadHosts",
           "ReadLease", "Record", "SendOrder", "WriteLease", "record_order"]

_effect = dataclasses.dataclass(frozen=True, slots=True)


@_effect
class CheckSettings:
    """Read the settings if they are newer than generation ``have``."""

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
    """Send an order, after ``may_send`` allowed it once more.

    It must be given up after ``span_s`` seconds, its connection closed;
    answered by ``OrderAnswered``.
    """

    order: orders.Order
    url: str
    span_s: float


def record_order(kind, order, *fields):
    """Return the record of an event of an order."""
    return Record(kind, (
        ("engine", order.engine), ("order", order.item.kind.value),
        ("name", order.item.name), ("version", order.item.version),
        ("fence", order.fence), ("generation", order.generation),
        *fields))


@_effect
class Exit:
    """The program may end."""


Effect = (
    ReadLease | WriteLease | CheckSettings | ReadHosts | ReadEngine
    | SendOrder | Record | Exit
)
