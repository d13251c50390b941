"""Samples the settings generation of each host during the drive."""

import dataclasses

from twisted.internet import defer
from twisted.internet import task

from tools.faults import http_client

__all__ = ["Sample", "Sampler", "new_sampler", "run"]

INTERVAL_S = 0.25
CALL_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A host's response to a request sent at ``sent_at``."""

    host: str
    sent_at: float
    received_at: float
    generation: int


@dataclasses.dataclass(slots=True)
class Sampler:
    """State of the sampler, which samples until ``running`` is False."""

    reactor: object
    http: object
    entry_urls: dict[str, str]
    token: str
    running: bool = True
    samples: list = dataclasses.field(default_factory=list)


def new_sampler(reactor, http, entry_urls, token):
    """Return a sampler without samples."""
    return Sampler(reactor, http, entry_urls, token)


async def run(sampler):
    """Sample all hosts concurrently at regular intervals."""
    await defer.gatherResults([
        defer.Deferred.fromCoroutine(_sample_host(sampler, name, url))
        for name, url in sampler.entry_urls.items()])


async def _sample_host(sampler, name, url):
    headers = {"Authorization": f"Bearer {sampler.token}"}
    while sampler.running:
        sent_at = sampler.reactor.seconds()
        try:
            code, doc = await http_client.get_json(
                sampler.reactor, sampler.http, f"{url}/v1/locate",
                headers, CALL_TIMEOUT_S)
        except Exception:
            code, doc = 0, None
        if code == 200:
            sampler.samples.append(Sample(
                name, sent_at, sampler.reactor.seconds(),
                doc["generation"]))
        await task.deferLater(sampler.reactor, INTERVAL_S)
