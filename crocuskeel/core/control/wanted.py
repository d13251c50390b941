"""Wanted state: what the settings say a service's engines should have."""

import dataclasses

from crocuskeel.core.control import orders

__all__ = ["Wanted", "split_model", "wanted"]

_ENGINE = "engine"
Kind = orders.Kind


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """What each engine of one service should have, in order."""

    service: str
    items: tuple[orders.Item, ...]
    checks_fence: bool


def split_model(text):
    """Return name and version of ``name:version``; no version: empty."""
    name, colon, version = text.rpartition(":")
    return (name, version) if colon and name else (text, "")


def wanted(common):
    """Return a :class:`Wanted` for each engine service.

    ``common`` is a settings tree's sections without the workspaces.
    """
    services = common.get("services", {})
    return tuple(
        Wanted(name, _items(body), body.get("checks_fence", False))
        for name, body in sorted(services.items())
        if body.get("kind") == _ENGINE)


def _items(body):
    loads = [orders.Item(Kind.LOAD_MODEL, *split_model(each))
             for each in body.get("models", ())]
    adapters = [orders.Item(Kind.LOAD_ADAPTER, each)
                for each in body.get("adapters", ())]
    role = body.get("role")
    roles = [orders.Item(Kind.SET_ROLE, role)] if role else []
    return (*loads, *adapters, *roles)
