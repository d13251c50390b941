"""Which route, workspace and service a request belongs to."""

import dataclasses
import functools
import hashlib

from crocuskeel.core.entry import model
from result import Err
from result import Ok

__all__ = ["Placed", "Refusal", "name_hash", "place",
           "unit_hash"]

NOT_FOUND = 404
UNAUTHORIZED = 401


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Where a request goes; ``priority`` 0 is first."""

    route: model.Route
    service: str
    workspace: str
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The status of a request that the configuration doesn't allow."""

    status: int
    reason: str


def place(catalog, request):
    """Return Ok(Placed) or Err(Refusal)."""
    route = _route(catalog, request)
    if route is None:
        return Err(Refusal(NOT_FOUND, "no route"))
    workspace = _workspace(catalog, route, request)
    if workspace is None:
        return Err(Refusal(UNAUTHORIZED, "unknown key"))
    priority = workspace.priority
    if priority is None:
        priority = route.priority
    return Ok(Placed(route, _service(route, request.rid),
                     workspace.name, priority))


def _route(catalog, request):
    path = request.path.partition("?")[0]
    for route in catalog.routes.get(request.host, ()):
        if path.startswith(route.prefix):
            return route
    return None


_NOBODY = model.Workspace("", None)


def _workspace(catalog, route, request):
    if route.public or catalog.api_keys is None:
        return _NOBODY
    return catalog.api_keys.get(request.api_key)


def _service(route, rid):
    total = sum(weight for _, weight in route.split)
    point = unit_hash(rid, "split") * total
    for service, weight in route.split:
        point -= weight
        if point < 0:
            return service
    return route.split[-1][0]


def unit_hash(*words):
    """Return a number in [0, 1) that is the same on every host."""
    digest = hashlib.blake2b("\0".join(words).encode(), digest_size=7)
    return int.from_bytes(digest.digest(), "big") / 2 ** 56


# For names of hosts, which are few and stay: the order of 65 hosts is
# asked for some hundred times a second.
name_hash = functools.lru_cache(maxsize=4096)(unit_hash)
