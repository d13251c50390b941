"""Simulated callers that follow the client protocol and record the results.

They locate entry hosts and cache the addresses, switch hosts when a
connection is lost or a request was refused as not run, retry with the same
Idempotency-Key and resume streams with Last-Event-ID.
"""

import dataclasses
import json
import random

from twisted.internet import error
from twisted.internet import task

import treq

from tools.faults import http_client
from tools.faults import streams

__all__ = ["Attempt", "Caller", "Request", "new_caller", "perform"]

REQUEST_TIMEOUT_S = 30.0
STALL_TIMEOUT_S = 8.0
AVOID_HOST_S = 2.0
MAX_RETRY_DELAY_S = 2.0
HEADERS_SLACK_S = 3.0
_REDIRECT = 307
_FINAL_CODES = frozenset({
    "unauthorized", "bad_request", "too_large", "unknown_class",
    "key_required", "key_mismatch", "key_too_old", "quarantined",
    "deadline"})
_MAX_BOOKING_RETRIES = 4
_MAX_STREAM_RESUMES = 3


@dataclasses.dataclass(slots=True)
class Attempt:
    """One HTTP request to one entry host; times in seconds.

    ``result`` is ``whole``, ``refused``, ``failed`` (an error event),
    ``cut``, ``unreached`` or ``stuck`` (no response by the deadline).
    """

    host: str
    started_at: float
    resumed: bool = False
    answered: bool = False
    result: str = ""
    ended_at: float = 0.0
    code: str = ""
    outcome: str = ""
    retry_after_s: float = 0.0
    rid: str = ""


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller with all its attempts.

    ``verdict`` is ``right``, ``wrong``, ``refused`` or ``lost``. With
    ``retries_refusals`` a refusal as not run is retried.
    """

    key: str
    class_name: str
    workspace: str
    service: str = ""
    prompt: str = ""
    max_tokens: int = 0
    deadline_s: float = 20.0
    retries_refusals: bool = True
    started_at: float = 0.0
    ended_at: float = 0.0
    verdict: str = ""
    detail: str = ""
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    def summary(self):
        """Return a one-line summary without the prompt."""
        attempts = "; ".join(
            f"{each.host} {each.started_at:.2f}-{each.ended_at:.2f}"
            f" {each.result} {each.code} {each.outcome} {each.rid}"
            f"{' resumed' if each.resumed else ''}"
            for each in self.attempts)
        return (f"{self.key} {self.class_name} {self.verdict} "
                f"[{attempts}] {self.detail[:150]}")

    @property
    def non_repeatable(self):
        """Whether it must run at most once."""
        return bool(self.service)

    @property
    def last_attempt(self):
        """The latest attempt."""
        return self.attempts[-1]


@dataclasses.dataclass(slots=True)
class Caller:
    """One caller of a workspace.

    ``seed_urls`` and ``entry_urls`` map the names of entry hosts to URLs;
    ``avoid_until`` maps names to times.
    """

    reactor: object
    http: object
    rng: random.Random
    workspace: str
    seed_urls: dict[str, str]
    entry_urls: dict[str, str] = dataclasses.field(default_factory=dict)
    addresses_valid_until: float = 0.0
    avoid_until: dict[str, float] = dataclasses.field(default_factory=dict)


def new_caller(reactor, http, seed_urls, workspace, seed):
    """Return a caller that has not located any entry host yet."""
    return Caller(reactor, http, random.Random(seed), workspace, seed_urls)


def _auth(caller):
    return {"Authorization": f"Bearer {caller.workspace}-token"}


async def _locate(caller, class_name):
    urls = list((caller.entry_urls or caller.seed_urls).values())
    url = caller.rng.choice(urls + list(caller.seed_urls.values()))
    code, doc = await http_client.get_json(
        caller.reactor, caller.http, f"{url}/v1/locate?class={class_name}",
        _auth(caller))
    if code == 200:
        caller.entry_urls = {
            each["host"]: f"http://{each['address']}:{each['port']}"
            for each in doc["addresses"]}
        caller.addresses_valid_until = caller.reactor.seconds() + doc["ttl_s"]


async def _choose_entry(caller, class_name):
    """Return name and URL of the entry host to use now."""
    now = caller.reactor.seconds()
    entries = _usable_entries(caller, now)
    if now > caller.addresses_valid_until or not entries:
        try:
            await _locate(caller, class_name)
        except Exception:
            # The entry host that was asked may be down.
            caller.addresses_valid_until = min(
                caller.addresses_valid_until, now)
        entries = (_usable_entries(caller, now)
                   or list(caller.seed_urls.items()))
    return entries[0]


def _usable_entries(caller, now):
    return [pair for pair in caller.entry_urls.items()
            if caller.avoid_until.get(pair[0], 0.0) <= now]


async def perform(caller, request):
    """Send a request until it has a verdict; never raises."""
    request.started_at = caller.reactor.seconds()
    stream = streams.new_stream(request.prompt)
    while not request.verdict:
        try:
            retry_delay_s = await _make_attempt(caller, request, stream)
        except Exception as exc:
            request.detail = repr(exc)
            retry_delay_s = 0.5
        if not request.verdict and _is_overdue(caller, request):
            request.verdict = _timeout_verdict(request)
        if not request.verdict:
            await task.deferLater(caller.reactor, retry_delay_s)
    request.ended_at = caller.reactor.seconds()
    return request


def _is_overdue(caller, request):
    return caller.reactor.seconds() - request.started_at > REQUEST_TIMEOUT_S


def _timeout_verdict(request):
    # A caller whose last attempt was refused knows the outcome; a request
    # is lost only if its answer broke off or never came.
    was_refused = request.attempts and request.last_attempt.result == "refused"
    return "refused" if was_refused else "lost"


async def _make_attempt(caller, request, stream):
    """Make one attempt; return the delay before the next in seconds."""
    host, url = await _choose_entry(caller, request.class_name)
    attempt = Attempt(host, caller.reactor.seconds(), bool(stream.last_id))
    request.attempts.append(attempt)
    try:
        await _exchange(caller, request, stream, attempt, url)
    finally:
        attempt.ended_at = caller.reactor.seconds()
        attempt.result = attempt.result or "cut"
    return _evaluate_attempt(caller, request, stream, attempt)


async def _exchange(caller, request, stream, attempt, url):
    rsp = await _await_headers(caller, request, stream, attempt, url)
    if rsp is None:
        return
    attempt.answered = True
    attempt.rid = rsp.headers.getRawHeaders("X-Request-Id", [""])[0]
    parts = []
    is_stream = rsp.code == 200 and not request.non_repeatable
    on_data = stream.feed if is_stream else parts.append
    if is_stream:
        stream.start_connection(attempt.resumed)
    complete = await http_client.read_body(
        caller.reactor, rsp, on_data, STALL_TIMEOUT_S)
    if not complete and not (is_stream and stream.complete):
        attempt.result = "cut"
    elif rsp.code != 200:
        _record_refusal(attempt, json.loads(b"".join(parts)))
    elif is_stream:
        _record_stream_end(attempt, stream)
    else:
        _check_plain_response(request, attempt, json.loads(b"".join(parts)))


async def _await_headers(caller, request, stream, attempt, url):
    """Return the response when its headers arrive, None on failure."""
    method, path, body, headers = _build_request(caller, request, stream)
    target = url + path
    for _ in range(2):
        deferred = caller.http.request(
            method, target, headers=headers, data=body, unbuffered=True,
            allow_redirects=False)
        timeout_s = request.deadline_s + HEADERS_SLACK_S
        deferred.addTimeout(timeout_s, caller.reactor)
        times_out_at = caller.reactor.seconds() + timeout_s
        try:
            rsp = await deferred
        except Exception as exc:
            timed_out = caller.reactor.seconds() >= times_out_at
            attempt.result = "stuck" if timed_out else _connection_failure(exc)
            request.detail = repr(exc)[:200]
            return None
        if rsp.code != _REDIRECT:
            return rsp
        target = rsp.headers.getRawHeaders("Location")[0]
        attempt.host = _host_name(caller, target)
        await treq.content(rsp)
    attempt.result = "unreached"
    return None


def _connection_failure(exc):
    return "unreached" if isinstance(exc, error.ConnectError) else "cut"


def _host_name(caller, target):
    return next((name for name, url in caller.seed_urls.items()
                 if target.startswith(url + "/")), "?")


def _build_request(caller, request, stream):
    headers = {**_auth(caller), "X-Crocuskeel-Class": request.class_name,
               "Idempotency-Key": request.key}
    if request.non_repeatable:
        body = json.dumps({"boat": request.key}).encode()
        return "POST", f"/services/{request.service}/confirm", body, headers
    if stream.last_id:
        headers["Last-Event-ID"] = stream.last_id
        name = stream.last_id.rpartition(":")[0]
        return "GET", f"/v1/streams/{name}", None, headers
    headers["Content-Type"] = "application/json"
    body = {"model": "guide-7b", "stream": True,
            "max_tokens": request.max_tokens,
            "messages": streams.messages(request.prompt)}
    return ("POST", "/v1/chat/completions", json.dumps(body).encode(),
            headers)


def _record_refusal(attempt, doc):
    attempt.result = "refused"
    attempt.code = doc["code"]
    attempt.outcome = doc["outcome"]
    attempt.retry_after_s = doc.get("retry_after", 0.0)


def _record_stream_end(attempt, stream):
    if stream.error is None:
        attempt.result = "whole"
        return
    _record_refusal(attempt, stream.error)
    attempt.result = "failed"


def _check_plain_response(request, attempt, doc):
    attempt.result = "whole"
    matches = doc["idempotency_key"] == request.key
    request.verdict = "right" if matches else "wrong"
    request.detail = "" if matches else str(doc)


def _evaluate_attempt(caller, request, stream, attempt):
    """Evaluate an attempt; return the delay before the next one."""
    if attempt.result in ("cut", "unreached", "stuck"):
        caller.avoid_until[attempt.host] = (
            caller.reactor.seconds() + AVOID_HOST_S)
        return 0.05
    if attempt.result == "whole":
        if not request.non_repeatable:
            request.verdict, request.detail = stream.check()
        return 0.0
    if attempt.resumed and attempt.outcome == "not_run" and (
            _resume_count(request) < _MAX_STREAM_RESUMES):
        caller.avoid_until[attempt.host] = (
            caller.reactor.seconds() + AVOID_HOST_S)
        return 0.1
    if stream.last_id:
        # The rest of the stream is unavailable: request the answer anew.
        stream.reset()
        return 0.1
    return _evaluate_refusal(caller, request, attempt)


def _evaluate_refusal(caller, request, attempt):
    not_run = attempt.outcome == "not_run"
    if not_run and (attempt.code in _FINAL_CODES
                    or not request.retries_refusals):
        request.verdict = "refused"
    if (request.non_repeatable and not not_run
            and _retry_count(request) >= _MAX_BOOKING_RETRIES):
        request.verdict = "refused"
    if attempt.code in _FINAL_CODES:
        request.verdict = "refused"
    caller.avoid_until[attempt.host] = (
        caller.reactor.seconds() + AVOID_HOST_S)
    return max(0.2, min(attempt.retry_after_s, MAX_RETRY_DELAY_S))


def _resume_count(request):
    return sum(each.resumed for each in request.attempts)


def _retry_count(request):
    return sum(each.result == "refused" and each.outcome != "not_run"
               for each in request.attempts)
