"""Sends a request to all live hosts concurrently."""

import dataclasses
import typing

from crocuskeel.ctl import client as clients
from result import Ok
from twisted.internet import defer

__all__ = ["FleetResponses", "address_of", "request_all", "live_hosts"]

MAX_CONCURRENT_REQUESTS = 32
_DEAD_STATUSES = ("dead",)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetResponses:
    """Responses by host name, and why the other hosts sent none."""

    responses: dict[str, typing.Any]
    missing: dict[str, str]


def address_of(host):
    """Return the ``address:port`` of a host in a status response."""
    return f"{host['address']}:{host['door_port']}"


def live_hosts(status):
    """Return the hosts of a status response that should respond."""
    return [host for host in status["hosts"]
            if host["status"] not in _DEAD_STATUSES and host["door_port"]]


async def request_all(client, path, query=None):
    """GET a path from every live host: Ok(FleetResponses) or Err(Failure).

    The list of live hosts comes from the first host that responds.
    """
    first = await clients.request(
        client, "GET", "/ops/status", {"brief": "1"})
    if first.is_err():
        return first
    semaphore = defer.DeferredSemaphore(MAX_CONCURRENT_REQUESTS)
    hosts = live_hosts(first.unwrap())
    pending = [
        semaphore.run(lambda host=host: defer.ensureDeferred(
            clients.request_host(
                client, address_of(host), "GET", path, query)))
        for host in hosts]
    results = await defer.gatherResults(pending, consumeErrors=True)
    responses, missing = {}, {}
    for host, result in zip(hosts, results):
        if result.is_ok():
            responses[host["host"]] = result.unwrap()
        else:
            missing[host["host"]] = result.unwrap_err().message
    return Ok(FleetResponses(responses, missing))
