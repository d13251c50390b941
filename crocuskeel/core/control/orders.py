"""What an engine should have, and the orders that bring it there."""

import dataclasses
import enum

__all__ = ["Item", "Kind", "Order", "new_order"]


class Kind(enum.StrEnum):
    """Kinds of orders that engines take."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One thing that an engine should have, or should not.

    ``name`` is a model, an adapter or a role; ``version`` is that of a
    model, empty for any.
    """

    kind: Kind
    name: str
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to one engine.

    ``fence`` is the fencing number of the holder that gives it and
    ``generation`` that of the settings which want it.
    """

    order_id: str
    engine: str
    item: Item
    fence: int
    generation: int


def new_order(engine, item, fence, generation):
    """Return the order that makes ``item`` so on an engine.

    The id is the same for each repeat whose outcome is unknown, so
    that the engine carries it out once. The round grows when an order
    of the item has ended: without it, an engine whose state was undone
    later would take the order that repairs it for a repeat and do
    nothing. The boot id tells a restarted engine, which forgot its
    orders, from one that has carried the order out.
    """
    turn = engine.rounds.get(item, 0)
    order_id = "/".join((
        str(fence), engine.name, engine.boot_id, item.kind, item.name,
        item.version, str(turn)))
    return Order(order_id, engine.name, item, fence, generation)
