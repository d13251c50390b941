"""Asks all live hosts at once."""

import dataclasses
import typing

from crocuskeel.ctl import client as clients
from result import Ok
from twisted.internet import defer

__all__ = ["FleetAnswers", "address_of", "ask_fleet", "live_hosts"]

MAX_AT_ONCE = 32
_GONE = ("dead",)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAnswers:
    """Answers by host name, and why others did not answer."""

    answers: dict[str, typing.Any]
    missing: dict[str, str]


def address_of(line):
    """Return ``address:port`` of a host's line of a status answer."""
    return f"{line['address']}:{line['door_port']}"


def live_hosts(status):
    """Return the lines of hosts that should answer."""
    return [line for line in status["hosts"]
            if line["status"] not in _GONE and line["door_port"]]


async def ask_fleet(client, path, query=None):
    """GET a path of every live host: Ok(FleetAnswers) or Err(Failure).

    Who is live is asked of the first host that answers.
    """
    first = await clients.ask(
        client, "GET", "/ops/status", {"brief": "1"})
    if first.is_err():
        return first
    gate = defer.DeferredSemaphore(MAX_AT_ONCE)
    lines = live_hosts(first.unwrap())
    asked = [
        gate.run(lambda line=line: defer.ensureDeferred(clients.ask_host(
            client, address_of(line), "GET", path, query)))
        for line in lines]
    found = await defer.gatherResults(asked, consumeErrors=True)
    answers, missing = {}, {}
    for line, each in zip(lines, found):
        if each.is_ok():
            answers[line["host"]] = each.unwrap()
        else:
            missing[line["host"]] = each.unwrap_err().message
    return Ok(FleetAnswers(answers, missing))
