"""One client for the Object API and the host list.

Every call is bounded in time, counted by kind, and paid for from one
budget of this host; a circuit refuses calls in an outage. Only what is
known not to have happened, or only reads, is sent again.
"""

import collections
import dataclasses
import random
import typing
import urllib.parse

from twisted.internet import defer
from twisted.internet import task

from crocuskeel.objectapi import answers
from crocuskeel.objectapi import budget as budgets
from crocuskeel.objectapi import circuit as circuits
from crocuskeel.objectapi import exceptions
from crocuskeel.objectapi import results

__all__ = ["ClientConfig", "PlatformClient", "new_client"]

READ = "reads"
WRITE = "writes"
WATCH = "watches"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientConfig:
    """Settings of the client; spans in seconds.

    ``call_s`` bounds one call with all its attempts, ``attempt_s`` one
    attempt. ``rate`` and ``burst`` are this host's calls a second;
    ``max_in_flight`` bounds its open calls, watches aside.
    Back-off is drawn from 0 to ``backoff_s`` times 2 to the attempt.
    """

    base_url: str
    token: str
    call_s: float = 2.0
    attempt_s: float = 1.0
    max_attempts: int = 3
    backoff_s: float = 0.05
    backoff_max_s: float = 1.0
    rate: float = 20.0
    burst: float = 40.0
    max_in_flight: int = 16
    circuit: circuits.CircuitConfig = circuits.CircuitConfig()


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """One call: what to send and how to read its answer."""

    kind: str
    method: str
    url: str
    read: typing.Callable
    headers: tuple[tuple[str, str], ...] = ()
    data: bytes | None = None
    attempt_s: float = 0.0


@dataclasses.dataclass(slots=True)
class PlatformClient:
    """State of the client; made by :func:`new_client`."""

    reactor: typing.Any
    cfg: ClientConfig
    send: typing.Callable
    rng: random.Random
    budget: budgets.Budget
    circuit: circuits.Circuit
    counts: collections.Counter
    in_flight: int = 0

    # Calls. Each returns a Deferred that fires with a result, within a
    # bounded time. Cancelling one ends it as lost.

    def get(self, path):
        """Read an object: Found, NotFound, Unavailable, Rejected."""
        return self._start(_Call(
            READ, "GET", self._object_url(path), answers.found))

    def put(self, path, body, version):
        """Replace the object that has ``version``: a write result."""
        return self._start(_Call(
            WRITE, "PUT", self._object_url(path), answers.written,
            (("If-Match", answers.etag(version)),), body))

    def create(self, path, body):
        """Write an object that must not exist yet: a write result."""
        return self._start(_Call(
            WRITE, "PUT", self._object_url(path), answers.written,
            (("If-None-Match", "*"),), body))

    def delete(self, path, version):
        """Delete the object that has ``version``: a write result."""
        return self._start(_Call(
            WRITE, "DELETE", self._object_url(path), answers.deleted,
            (("If-Match", answers.etag(version)),)))

    def watch(self, path, version, timeout_s):
        """Wait for another version: Found, NotFound or Unchanged.

        While the circuit is not closed the platform is asked not to
        wait: a probe that waits would hold all other calls back.
        """
        if self.circuit.state() != circuits.CLOSED:
            timeout_s = 0.0
        query = urllib.parse.urlencode(
            {"watch": version, "timeout_s": f"{timeout_s:g}"})
        url = f"{self._object_url(path)}?{query}"
        return self._start(_Call(
            WATCH, "GET", url, answers.watched(version),
            attempt_s=timeout_s + self.cfg.attempt_s))

    def list_objects(self, prefix):
        """List objects by prefix: Listed, Unavailable or Rejected."""
        query = urllib.parse.urlencode({"prefix": prefix})
        return self._start(_Call(
            READ, "GET", f"{self.cfg.base_url}/objects?{query}",
            answers.listed))

    def hosts(self):
        """Read the host list: HostList, Unavailable or Rejected."""
        return self._start(_Call(
            READ, "GET", f"{self.cfg.base_url}/hosts", answers.hosts))

    # How a call goes.

    def _object_url(self, path):
        quoted = urllib.parse.quote(path)
        return f"{self.cfg.base_url}/objects/{quoted}"

    def _start(self, call):
        return defer.Deferred.fromCoroutine(self._run(call))

    async def _run(self, call):
        span_s = max(self.cfg.call_s, call.attempt_s)
        ends = self.reactor.seconds() + span_s
        attempt = 0
        while True:
            result = await self._attempt(call, ends)
            attempt += 1
            wait_s = self._backoff_s(result, attempt)
            left_s = ends - self.reactor.seconds() - wait_s
            if not self._again(result, attempt) or left_s <= 0:
                return result
            await task.deferLater(self.reactor, wait_s)

    def _again(self, result, attempt):
        """Only what is known not to have happened is sent again."""
        return (
            isinstance(result, results.Unavailable)
            and result.reason in answers.WORTH_A_REPEAT
            and attempt < self.cfg.max_attempts)

    def _backoff_s(self, result, attempt):
        cap = min(self.cfg.backoff_max_s,
                  self.cfg.backoff_s * 2 ** attempt)
        jitter = self.rng.uniform(0.0, cap)
        return max(jitter, getattr(result, "retry_after_s", 0.0))

    async def _attempt(self, call, ends):
        now = self.reactor.seconds()
        if self.circuit.refuses(now):
            return results.Unavailable(
                answers.CIRCUIT_OPEN, self.circuit.retry_after_s(now))
        # A store that hangs gives no failure before the first timeout:
        # until then only this bound keeps calls from piling up.
        if call.kind != WATCH and (
                self.in_flight >= self.cfg.max_in_flight):
            return results.Unavailable(answers.IN_FLIGHT)
        if not self.budget.take(now):
            return results.Unavailable(
                answers.BUDGET_SPENT, self.budget.wait_s(now))
        epoch = self.circuit.admit(now)
        self.counts[call.kind] += 1
        held = 0 if call.kind == WATCH else 1
        self.in_flight += held
        result, healthy = await self._exchange(call, ends - now)
        self.in_flight -= held
        now = self.reactor.seconds()
        if healthy:
            self.circuit.succeeded(epoch, now)
        else:
            self.circuit.failed(epoch, now)
        return result

    async def _exchange(self, call, left_s):
        """Send once; return the result and whether the API is well."""
        is_write = call.kind == WRITE
        headers = dict(call.headers)
        headers["Authorization"] = f"Bearer {self.cfg.token}"
        timeout = min(left_s, call.attempt_s or self.cfg.attempt_s)
        fut = self.send(
            call.method, call.url, headers, call.data, timeout)
        # A transport whose own bound fails must not hold the caller:
        # an open connection can go silent for good.
        fut.addTimeout(timeout, self.reactor)
        try:
            answer = await fut
        except exceptions.NotSent:
            return results.Unavailable(answers.NOT_SENT), False
        except defer.CancelledError:
            return answers.lost(is_write, answers.CANCELLED), False
        except (exceptions.AnswerLost, defer.TimeoutError):
            return answers.lost(is_write, answers.LOST), False
        return answers.judge(call.read, answer, is_write)


def new_client(reactor, cfg, send, rng):
    """Return a client.

    ``send(method, url, headers, data, timeout)`` returns a Deferred of
    an ``HttpAnswer`` that fails with ``NotSent`` or ``AnswerLost``;
    ``rng`` is a seeded ``random.Random``, another one on each host.
    """
    budget = budgets.new_budget(cfg.rate, cfg.burst, reactor.seconds())
    return PlatformClient(
        reactor=reactor, cfg=cfg, send=send, rng=rng, budget=budget,
        circuit=circuits.new_circuit(cfg.circuit, rng, budget),
        counts=collections.Counter())
