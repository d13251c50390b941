"""Routes whose streams may have begun at services that they don't lead to.

A configuration moves a route to another service, splits it in another way, or
drops it so that its paths fall to another route. A caller that takes up a
stream of before can't go on there: parts of two services' answers don't fit
together. While such callers may come back, the streams of a route that has
moved go on only where it is known that they began.

Hosts that have not seen the former configuration hear of it as of a version
that is gone: of a service with the name of the route.
"""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import origins

__all__ = ["is_moved", "note_catalog"]

# Other hosts put a configuration in force up to so much later, s.
MARGIN_S = 5.0
_PREFIX = "route\0"


def is_moved(host, route, now):
    """Return whether streams of a route may have begun elsewhere.

    So they may have if there is a configuration that this host lacks.
    """
    return (host.catalog_behind_at is not None
            or bool(origins.versions_of(host, _PREFIX + route.name, now)))


def note_catalog(host, former, now):
    """Note the routes that the configuration in force has moved.

    ``former`` is the one before it, None at first. Returns effects.
    """
    if former is None:
        return []
    names = [route.name for name, routes in host.catalog.routes.items()
             for route in _moved(former.routes.get(name, ()), routes)]
    if not names:
        return []
    left_ms = round(1000 * (origins.life_s(host) + MARGIN_S))
    return [effects.LogEvent("routes_moved", {
        "version": host.catalog.version, "routes": names}),
        *origins.merge_former(host, [
            (_PREFIX + name, "", left_ms) for name in names], now)]


def _moved(former, current):
    """Return which of the current routes of a host name have moved."""
    before = {route.prefix: route for route in former}
    prefixes = {route.prefix for route in current}
    gone = [route for route in former if route.prefix not in prefixes]
    return [route for route in current if route.resumable
            and any(_differ(each, route)
                    for each in _predecessors(route, before, gone))]


def _predecessors(route, before, gone):
    """Return the former routes that a route's paths may have had."""
    same = before.get(route.prefix)
    if same is None:
        covering = [prefix for prefix in before
                    if route.prefix.startswith(prefix)]
        same = before[max(covering, key=len)] if covering else None
    found = [each for each in gone if each.prefix.startswith(route.prefix)]
    return found if same is None else [same, *found]


def _differ(former, route):
    return (former.split, former.resumable) != (route.split, route.resumable)
