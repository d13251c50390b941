"""Samples the settings generation that each host serves, all along."""

import dataclasses

from twisted.internet import defer
from twisted.internet import task

from tools.faults import calls

__all__ = ["Sample", "Sampler", "new_sampler", "run"]

EVERY_S = 0.25
CALL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A host's answer; asked at ``sent_at``, here at ``at``."""

    host: str
    sent_at: float
    at: float
    generation: int


@dataclasses.dataclass(slots=True)
class Sampler:
    """``samples`` grow until ``on`` is False."""

    reactor: object
    http: object
    doors: dict[str, str]
    token: str
    on: bool = True
    samples: list = dataclasses.field(default_factory=list)


def new_sampler(reactor, http, doors, token):
    """Return a sampler that has no sample yet."""
    return Sampler(reactor, http, doors, token)


async def run(sampler):
    """Ask every host again and again, each for itself."""
    await defer.gatherResults([
        defer.Deferred.fromCoroutine(_one_host(sampler, name, url))
        for name, url in sampler.doors.items()])


async def _one_host(sampler, name, url):
    headers = {"Authorization": f"Bearer {sampler.token}"}
    while sampler.on:
        sent_at = sampler.reactor.seconds()
        try:
            code, doc = await calls.get_json(
                sampler.reactor, sampler.http, f"{url}/v1/locate",
                headers, CALL_S)
        except Exception:
            code, doc = 0, None
        if code == 200:
            sampler.samples.append(Sample(
                name, sent_at, sampler.reactor.seconds(),
                doc["generation"]))
        await task.deferLater(sampler.reactor, EVERY_S)
