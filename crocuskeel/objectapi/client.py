"""Client of the Object API and the host list.

Every call has a timeout, is counted by kind and takes a token from the
budget of this host; a circuit breaker refuses calls during an outage. A
call is retried only if it is known to have had no effect or only reads.
"""

import collections
import dataclasses
import random
import typing
import urllib.parse

from twisted.internet import defer
from twisted.internet import task

from crocuskeel.objectapi import circuit as circuits
from crocuskeel.objectapi import exceptions
from crocuskeel.objectapi import responses
from crocuskeel.objectapi import results
from crocuskeel.objectapi import token_bucket as token_buckets

__all__ = ["ClientConfig", "PlatformClient", "new_client"]

READ = "reads"
WRITE = "writes"
WATCH = "watches"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientConfig:
    """Settings of the client; durations in seconds.

    ``call_s`` bounds one call with all its attempts, ``attempt_s`` one
    attempt. ``rate`` and ``burst`` limit this host's calls a second;
    ``max_in_flight`` bounds its concurrent calls other than watches.
    The backoff is drawn from 0 to ``backoff_s * 2 ** attempt``, at most
    ``backoff_max_s``.
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
    """A call: the request to send and the parser of its response."""

    kind: str
    method: str
    url: str
    parse: typing.Callable
    headers: tuple[tuple[str, str], ...] = ()
    data: bytes | None = None
    attempt_s: float = 0.0


@dataclasses.dataclass(slots=True)
class PlatformClient:
    """The client; created by :func:`new_client`."""

    reactor: typing.Any
    cfg: ClientConfig
    send: typing.Callable
    rng: random.Random
    budget: token_buckets.TokenBucket
    circuit: circuits.Circuit
    counts: collections.Counter
    in_flight: int = 0

    # Calls. Each returns a Deferred that fires with a result within a
    # bounded time. A cancelled call has the result of a lost response.

    def get(self, path):
        """Read an object: Found, NotFound, Unavailable, Rejected."""
        return self._start(_Call(
            READ, "GET", self._object_url(path), responses.parse_found))

    def put(self, path, body, version):
        """Replace the object that has ``version``: a write result."""
        return self._start(_Call(
            WRITE, "PUT", self._object_url(path), responses.parse_written,
            (("If-Match", responses.etag(version)),), body))

    def create(self, path, body):
        """Write an object that must not exist yet: a write result."""
        return self._start(_Call(
            WRITE, "PUT", self._object_url(path), responses.parse_written,
            (("If-None-Match", "*"),), body))

    def delete(self, path, version):
        """Delete the object that has ``version``: a write result."""
        return self._start(_Call(
            WRITE, "DELETE", self._object_url(path), responses.parse_deleted,
            (("If-Match", responses.etag(version)),)))

    def watch(self, path, version, timeout_s):
        """Wait for another version: Found, NotFound or Unchanged.

        While the circuit is not closed the platform is asked not to
        wait: a waiting probe would block all other calls.
        """
        if self.circuit.state() != circuits.CLOSED:
            timeout_s = 0.0
        query = urllib.parse.urlencode(
            {"watch": version, "timeout_s": f"{timeout_s:g}"})
        url = f"{self._object_url(path)}?{query}"
        return self._start(_Call(
            WATCH, "GET", url, responses.watch_parser(version),
            attempt_s=timeout_s + self.cfg.attempt_s))

    def list_objects(self, prefix):
        """List objects by prefix: Listed, Unavailable or Rejected."""
        query = urllib.parse.urlencode({"prefix": prefix})
        return self._start(_Call(
            READ, "GET", f"{self.cfg.base_url}/objects?{query}",
            responses.parse_listing))

    def hosts(self):
        """Read the host list: HostList, Unavailable or Rejected."""
        return self._start(_Call(
            READ, "GET", f"{self.cfg.base_url}/hosts", responses.parse_hosts))

    # Execution of a call.

    def _object_url(self, path):
        quoted = urllib.parse.quote(path)
        return f"{self.cfg.base_url}/objects/{quoted}"

    def _start(self, call):
        return defer.Deferred.fromCoroutine(self._run_with_retries(call))

    async def _run_with_retries(self, call):
        span_s = max(self.cfg.call_s, call.attempt_s)
        deadline = self.reactor.seconds() + span_s
        attempt = 0
        while True:
            result = await self._attempt(call, deadline)
            attempt += 1
            wait_s = self._backoff_s(result, attempt)
            remaining_s = deadline - self.reactor.seconds() - wait_s
            if not self._may_retry(result, attempt) or remaining_s <= 0:
                return result
            await task.deferLater(self.reactor, wait_s)

    def _may_retry(self, result, attempt):
        """Return whether the call had no effect and has attempts left."""
        return (
            isinstance(result, results.Unavailable)
            and result.reason in responses.RETRYABLE_REASONS
            and attempt < self.cfg.max_attempts)

    def _backoff_s(self, result, attempt):
        max_wait_s = min(self.cfg.backoff_max_s,
                         self.cfg.backoff_s * 2 ** attempt)
        jitter = self.rng.uniform(0.0, max_wait_s)
        return max(jitter, getattr(result, "retry_after_s", 0.0))

    async def _attempt(self, call, deadline):
        now = self.reactor.seconds()
        if self.circuit.refuses(now):
            return results.Unavailable(
                responses.CIRCUIT_OPEN, self.circuit.retry_after_s(now))
        # A store that hangs causes no failure before the first timeout;
        # until then only this limit keeps calls from accumulating.
        if call.kind != WATCH and (
                self.in_flight >= self.cfg.max_in_flight):
            return results.Unavailable(responses.IN_FLIGHT)
        if not self.budget.take(now):
            return results.Unavailable(
                responses.BUDGET_SPENT, self.budget.wait_s(now))
        epoch = self.circuit.admit(now)
        self.counts[call.kind] += 1
        slots = 0 if call.kind == WATCH else 1
        self.in_flight += slots
        result, healthy = await self._send_once(call, deadline - now)
        self.in_flight -= slots
        now = self.reactor.seconds()
        if healthy:
            self.circuit.succeeded(epoch, now)
        else:
            self.circuit.failed(epoch, now)
        return result

    async def _send_once(self, call, remaining_s):
        """Send once; return the result and whether the API is healthy."""
        is_write = call.kind == WRITE
        headers = dict(call.headers)
        headers["Authorization"] = f"Bearer {self.cfg.token}"
        timeout_s = min(remaining_s, call.attempt_s or self.cfg.attempt_s)
        deferred = self.send(
            call.method, call.url, headers, call.data, timeout_s)
        # Don't rely on the transport's own timeout: an open connection
        # can hang forever, and the caller must not wait for it.
        deferred.addTimeout(timeout_s, self.reactor)
        try:
            response = await deferred
        except exceptions.NotSent:
            return results.Unavailable(responses.NOT_SENT), False
        except defer.CancelledError:
            return responses.lost_result(is_write, responses.CANCELLED), False
        except (exceptions.ResponseLost, defer.TimeoutError):
            return responses.lost_result(is_write, responses.LOST), False
        return responses.classify(call.parse, response, is_write)


def new_client(reactor, cfg, send, rng):
    """Return a client.

    ``send(method, url, headers, data, timeout_s)`` returns a Deferred of
    an ``HttpResponse`` that fails with ``NotSent`` or ``ResponseLost``;
    ``rng`` is a ``random.Random`` whose seed differs on each host.
    """
    budget = token_buckets.new_token_bucket(
        cfg.rate, cfg.burst, reactor.seconds())
    return PlatformClient(
        reactor=reactor, cfg=cfg, send=send, rng=rng, budget=budget,
        circuit=circuits.new_circuit(cfg.circuit, rng, budget),
        counts=collections.Counter())
