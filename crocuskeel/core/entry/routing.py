"""Resolves the route, workspace and service of a request."""

import dataclasses
import functools
import hashlib

from crocuskeel.core.entry import model
from result import Err
from result import Ok

__all__ = ["Destination", "Refusal", "cached_unit_hash", "resolve",
           "service_of", "unit_hash"]

NOT_FOUND = 404
UNAUTHORIZED = 401


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """Where a request is sent; ``priority`` 0 is the most urgent."""

    route: model.Route
    service: str
    workspace: str
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Status and reason for a request that the configuration rejects."""

    status: int
    reason: str


def resolve(catalog, request):
    """Return Ok(Destination) or Err(Refusal)."""
    route = _route(catalog, request)
    if route is None:
        return Err(Refusal(NOT_FOUND, "no route"))
    workspace = _workspace(catalog, route, request)
    if workspace is None:
        return Err(Refusal(UNAUTHORIZED, "unknown key"))
    priority = workspace.priority
    if priority is None:
        priority = route.priority
    # A stream that a caller takes up goes on at the service that began it, if
    # the caller names its first request.
    return Ok(Destination(route, service_of(
        route, request.resumes or request.rid), workspace.name, priority))


def _route(catalog, request):
    path = request.path.partition("?")[0]
    for route in catalog.routes.get(request.host, ()):
        if path.startswith(route.prefix):
            return route
    return None


_ANONYMOUS = model.Workspace("", None)


def _workspace(catalog, route, request):
    if route.public or catalog.api_keys is None:
        return _ANONYMOUS
    if not request.api_key:
        # A key that is configured as an empty text is nobody's.
        return None
    return catalog.api_keys.get(request.api_key)


def service_of(route, rid):
    """Return the service to which a route leads the request of an id."""
    total = sum(weight for _, weight in route.split)
    point = unit_hash(rid, "split") * total
    for service, weight in route.split:
        point -= weight
        if point < 0:
            return service
    return route.split[-1][0]


def unit_hash(*words):
    """Hash strings to a number in [0, 1) that is the same on all hosts."""
    digest = hashlib.blake2b("\0".join(words).encode(), digest_size=7)
    return int.from_bytes(digest.digest(), "big") / 2 ** 56


# Cached variant for host names, which are few and change rarely: the order
# of 65 hosts is computed some hundred times a second.
cached_unit_hash = functools.lru_cache(maxsize=4096)(unit_hash)
