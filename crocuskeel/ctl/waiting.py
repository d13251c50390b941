"""Waits until a settings generation is in force on every host."""

import dataclasses

from crocuskeel.ctl import fleet
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from result import Err
from result import Ok
from twisted.internet import task

__all__ = ["InForce", "wait_in_force"]

POLL_S = 0.25
DEFAULT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """``generation`` is in force on all ``hosts`` that are live."""

    generation: int
    hosts: tuple[str, ...]
    waited_s: float


async def wait_in_force(session, generation, limit_s=DEFAULT_S):
    """Return Ok(InForce), or Err naming the hosts that are behind.

    A host that does not answer counts as behind until membership
    calls it dead.
    """
    began = session.reactor.seconds()
    while True:
        asked = await fleet.ask_fleet(
            session.client, "/ops/status", {"brief": "1"})
        if asked.is_ok():
            found = asked.unwrap()
            behind = _behind(found, generation)
        waited = session.reactor.seconds() - began
        if asked.is_ok() and not behind:
            hosts = tuple(sorted(found.answers))
            return Ok(InForce(generation, hosts, round(waited, 2)))
        if waited >= limit_s:
            return asked if asked.is_err() else Err(
                _late(generation, behind, limit_s))
        await task.deferLater(session.reactor, POLL_S)


def _behind(found, generation):
    behind = {
        host: f"generation {answer['own']['generation']}"
        for host, answer in found.answers.items()
        if answer["own"]["generation"] < generation}
    return behind | found.missing


def _late(generation, behind, limit_s):
    lines = [f"  {host}: {why}" for host, why in sorted(behind.items())]
    return Failure(
        Code.NOT_IN_FORCE,
        f"generation {generation} is accepted but was not in force "
        f"everywhere within {limit_s:g} s; behind:\n" + "\n".join(lines),
        "It is not lost: hosts go on fetching it. Ask again with "
        f"crocuskeelctl settings wait {generation}",
        {"generation": generation, "behind": behind})
