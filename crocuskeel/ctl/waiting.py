"""Waits until a settings generation is in force on all hosts."""

import dataclasses

from crocuskeel.ctl import fleet
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from result import Err
from result import Ok
from twisted.internet import task

__all__ = ["InForce", "wait_in_force"]

POLL_INTERVAL_S = 0.25
DEFAULT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """``generation`` is in force on ``hosts``, all the live ones."""

    generation: int
    hosts: tuple[str, ...]
    waited_s: float


async def wait_in_force(session, generation, timeout_s=DEFAULT_TIMEOUT_S):
    """Return Ok(InForce), or Err naming the hosts that are behind.

    A host that does not respond counts as behind until membership
    declares it dead.
    """
    started_at = session.reactor.seconds()
    while True:
        result = await fleet.request_all(
            session.client, "/ops/status", {"brief": "1"})
        if result.is_ok():
            fleet_responses = result.unwrap()
            behind = _behind(fleet_responses, generation)
        elapsed = session.reactor.seconds() - started_at
        if result.is_ok() and not behind:
            hosts = tuple(sorted(fleet_responses.responses))
            return Ok(InForce(generation, hosts, round(elapsed, 2)))
        if elapsed >= timeout_s:
            return result if result.is_err() else Err(
                _timeout_failure(generation, behind, timeout_s))
        await task.deferLater(session.reactor, POLL_INTERVAL_S)


def _behind(fleet_responses, generation):
    behind = {
        host: f"generation {response['own']['generation']}"
        for host, response in fleet_responses.responses.items()
        if response["own"]["generation"] < generation}
    return behind | fleet_responses.missing


def _timeout_failure(generation, behind, timeout_s):
    lines = [f"  {host}: {reason}" for host, reason in sorted(behind.items())]
    return Failure(
        Code.NOT_IN_FORCE,
        f"generation {generation} was accepted but was not in force "
        f"on all hosts within {timeout_s:g} s; behind:\n" + "\n".join(lines),
        "It is not lost: the hosts keep trying to fetch it. Check with "
        f"crocuskeelctl settings wait {generation}",
        {"generation": generation, "behind": behind})
