"""The operator's settings of scheduling, and the services it applies to.

Source: docs/design/hard-load.md, "Where it applies".
"""

import dataclasses
import math

__all__ = ["Settings", "class_weight", "floor", "is_scheduled",
           "unknown_names", "workspace_weight"]

DEFAULT_WEIGHT = 1.0
# Value of core.entry.model.Kind.STREAM. Modules of core.entry import this
# one while their package is initialized, so it can't import theirs.
STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of scheduling; off by default.

    A service is scheduled if each of its stream classes has a limit of at
    least ``min_patience`` times its target; inf: none is. A request may wait
    for ``wait_share`` of its limit. At most ``max_waiting`` requests of a
    service wait at one host. ``class_weights`` and ``workspace_weights`` map
    a name to its weight, DEFAULT_WEIGHT if it is missing. ``class_floors``
    maps a route's name to its minimum share of admissions, 0 to 1. The
    mappings are not changed.
    """

    min_patience: float = math.inf
    wait_share: float = 0.5
    max_waiting: int = 400
    class_weights: dict = dataclasses.field(default_factory=dict)
    workspace_weights: dict = dataclasses.field(default_factory=dict)
    class_floors: dict = dataclasses.field(default_factory=dict)


def is_scheduled(settings, routes):
    """Return whether a service is scheduled.

    ``routes`` are all routes (core.entry.model.Route) of the service. Calls
    don't matter, but a service without streams is not scheduled.
    """
    streams = [route for route in routes if route.kind.value == STREAM]
    return bool(streams) and all(
        route.timeout_s >= settings.min_patience * route.target_s
        for route in streams)


def class_weight(settings, route_name):
    """Return the weight of a class."""
    return settings.class_weights.get(route_name, DEFAULT_WEIGHT)


def workspace_weight(settings, workspace_name):
    """Return the weight of a workspace within its class."""
    return settings.workspace_weights.get(workspace_name, DEFAULT_WEIGHT)


def floor(settings, route_name):
    """Return the minimum share of admissions of a class, 0 if it has none."""
    return settings.class_floors.get(route_name, 0.0)


def unknown_names(settings, route_names, workspace_names):
    """Return the sorted names in the settings that the configuration lacks.

    ``route_names`` and ``workspace_names`` are those of the configuration.
    """
    classes = settings.class_weights.keys() | settings.class_floors.keys()
    return sorted(
        classes.difference(route_names)
        | settings.workspace_weights.keys() - set(workspace_names))
