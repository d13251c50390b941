"""Items of an engine's desired state, and orders that establish them."""

import dataclasses
import enum

__all__ = ["Item", "Kind", "Order", "new_order"]


class Kind(enum.StrEnum):
    """Kinds of orders that engines accept."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """An item of an engine's desired state, or a model to unload.

    ``name`` is that of a model, an adapter or a role; ``version`` is a
    model's version, empty for any.
    """

    kind: Kind
    name: str
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine.

    ``fence`` is the fencing number of the lease holder that sends it,
    ``generation`` that of the settings it follows from.
    """

    order_id: str
    engine: str
    item: Item
    fence: int
    generation: int


def new_order(engine, item, fence, generation):
    """Return the order that establishes ``item`` on an engine.

    A retry after an unknown outcome has the same id, so that the engine
    executes the order once. The attempt number grows when an order of
    the item ends: without it, an engine whose state was reverted later
    would treat the order that repairs it as a duplicate and ignore it.
    The boot id distinguishes a restarted engine, which lost its orders,
    from one that has executed the order.
    """
    attempt = engine.attempts.get(item, 0)
    order_id = "/".join((
        str(fence), engine.name, engine.boot_id, item.kind, item.name,
        item.version, str(attempt)))
    return Order(order_id, engine.name, item, fence, generation)
