"""Which services of a host are scheduled, and their state.

A deployment's configuration and the operator's settings decide: see
``settings.is_scheduled``. For all other services nothing here takes effect.
"""

import collections

from crocuskeel.core.entry import model
from crocuskeel.core.scheduling import arrivals
from crocuskeel.core.scheduling import groups
from crocuskeel.core.scheduling import plan
from crocuskeel.core.scheduling import rates
from crocuskeel.core.scheduling import settings
from crocuskeel.core.scheduling import waiting_room

__all__ = ["Schedule", "find", "forget_server", "new_schedule"]


class Schedule:
    """The state of one scheduled service at a host.

    ``queue_target_s`` is the shortest target of the classes that are not
    interactive; ``gap_s`` the longest pause of the interactive ones, None
    if there are none. ``gates`` holds a plan.Rejecting for each
    class, ``priorities`` the priority of each. The room was last looked
    through at ``dispatched_at``. ``rejected`` holds (at, tokens) of prompts
    that were rejected lately.
    """

    __slots__ = ("room", "rates", "group", "gates", "gap_s",
                 "queue_target_s", "dispatched_at", "rejected", "arrivals",
                 "priorities")

    def __init__(self, cfg, routes):
        self.room = waiting_room.new_room(
            cfg.max_waiting, cfg.class_weights, cfg.workspace_weights)
        self.rates = rates.new_rates()
        self.group = groups.new_group()
        self.gates = {}
        self.dispatched_at = 0.0
        self.rejected = collections.deque()
        self.arrivals = arrivals.new_arrivals()
        self.set_routes(routes)

    def set_routes(self, routes):
        """Apply the routes of a new configuration."""
        self.priorities = {route.name: route.priority for route in routes}
        self.gap_s = groups.interactive_gap_s(routes)
        streams = [route for route in routes
                   if route.kind is model.Kind.STREAM]
        others = [route.target_s for route in streams
                  if not groups.is_interactive(route, self.gap_s)]
        self.queue_target_s = min(
            others, default=min(route.target_s for route in streams))

    def gate(self, route):
        """Return the gate of a class."""
        return self.gates.setdefault(route.name, plan.new_gate())


def new_schedule(cfg, routes):
    """Return the state of a service with these settings and routes."""
    return Schedule(cfg, routes)


def find(host, service):
    """Return the Schedule of a service, or None if it isn't scheduled."""
    if host.scheduled_catalog is not host.catalog:
        _apply_catalog(host)
    return host.schedules.get(service)


def forget_server(host, server):
    """Forget what was learned of a server that left or restarted."""
    schedule = host.schedules.get(server.service)
    if schedule is not None:
        rates.restart(schedule.rates, server.sid)
        schedule.group.gaps.pop(server.sid, None)


def _apply_catalog(host):
    """Compute which services are scheduled under a new configuration."""
    host.scheduled_catalog = host.catalog
    schedules = {}
    for service in host.catalog.services.values():
        if service.engine is None:
            continue
        routes = _routes(host.catalog, service.name)
        if not settings.is_scheduled(host.scheduling, routes):
            continue
        known = host.schedules.get(service.name)
        if known is None:
            known = new_schedule(host.scheduling, routes)
        else:
            known.set_routes(routes)
        schedules[service.name] = known
    host.schedules = schedules


def _routes(catalog, service):
    return [route for routes in catalog.routes.values() for route in routes
            if any(name == service for name, _ in route.split)]
