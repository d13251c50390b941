"""The desired state of each service's engines, from the settings."""

import dataclasses

from crocuskeel.core.control import orders

__all__ = ["DesiredState", "desired_states", "split_model"]

_ENGINE = "engine"
Kind = orders.Kind


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """The items that each engine of a service should have, in order."""

    service: str
    items: tuple[orders.Item, ...]
    checks_fence: bool


def split_model(text):
    """Split ``name:version``; the version is empty if there is none."""
    name, colon, version = text.rpartition(":")
    return (name, version) if colon and name else (text, "")


def desired_states(common):
    """Return a :class:`DesiredState` for each engine service.

    ``common`` holds the sections of the settings but the workspaces.
    """
    services = common.get("services", {})
    return tuple(
        DesiredState(name, _desired_items(body),
                     body.get("checks_fence", False))
        for name, body in sorted(services.items())
        if body.get("kind") == _ENGINE)


def _desired_items(body):
    loads = [orders.Item(Kind.LOAD_MODEL, *split_model(each))
             for each in body.get("models", ())]
    adapters = [orders.Item(Kind.LOAD_ADAPTER, each)
                for each in body.get("adapters", ())]
    role = body.get("role")
    roles = [orders.Item(Kind.SET_ROLE, role)] if role else []
    return (*loads, *adapters, *roles)
