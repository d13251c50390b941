"""Callers that behave as callers should, and remember what they saw.

They locate, keep the answer, and go elsewhere when a connection is lost
or a request was refused as not run; they send the same Idempotency-Key
again, and resume streams with Last-Event-ID.
"""

import dataclasses
import json
import random

from twisted.internet import error
from twisted.internet import task

import treq

from tools.faults import calls
from tools.faults import streams

__all__ = ["Ask", "Desk", "Try", "new_desk", "perform"]

LIMIT_S = 30.0
STALL_S = 8.0
AVOID_S = 2.0
MOST_PAUSE_S = 2.0
HEAD_SLACK_S = 3.0
_REDIRECT = 307
_FINAL = frozenset({
    "unauthorized", "bad_request", "too_large", "unknown_class",
    "key_required", "key_mismatch", "key_too_old", "quarantined",
    "deadline"})
_BOOKING_RESENDS = 4
_STREAM_RESUMES = 3


@dataclasses.dataclass(slots=True)
class Try:
    """One HTTP request at one door; times in seconds.

    ``end`` is ``whole``, ``refused``, ``failed`` (an error event),
    ``cut``, ``unreached`` or ``stuck`` (no answer by the deadline).
    """

    host: str
    began: float
    resumed: bool = False
    answered: bool = False
    end: str = ""
    ended: float = 0.0
    code: str = ""
    outcome: str = ""
    retry_after_s: float = 0.0
    rid: str = ""


@dataclasses.dataclass(slots=True)
class Ask:
    """One request of a caller until its final answer.

    ``verdict`` is ``right``, ``wrong``, ``refused`` or ``lost``;
    ``patient``: does not take the first refusal for the last word.
    """

    key: str
    class_name: str
    workspace: str
    service: str = ""
    prompt: str = ""
    max_tokens: int = 0
    deadline_s: float = 20.0
    patient: bool = True
    began: float = 0.0
    ended: float = 0.0
    verdict: str = ""
    detail: str = ""
    tries: list[Try] = dataclasses.field(default_factory=list)

    def brief(self):
        """Return what became of it, in one line without its prompt."""
        tries = "; ".join(
            f"{each.host} {each.began:.2f}-{each.ended:.2f} {each.end}"
            f" {each.code} {each.outcome} {each.rid}"
            f"{' resumed' if each.resumed else ''}"
            for each in self.tries)
        return (f"{self.key} {self.class_name} {self.verdict} "
                f"[{tries}] {self.detail[:150]}")

    @property
    def booking(self):
        """Whether it may run once only."""
        return bool(self.service)

    @property
    def last(self):
        """The last try."""
        return self.tries[-1]


@dataclasses.dataclass(slots=True)
class Desk:
    """One caller's device; ``seeds`` and ``doors`` map name to URL."""

    reactor: object
    http: object
    rng: random.Random
    workspace: str
    seeds: dict[str, str]
    doors: dict[str, str] = dataclasses.field(default_factory=dict)
    until: float = 0.0
    avoid: dict[str, float] = dataclasses.field(default_factory=dict)


def new_desk(reactor, http, seeds, workspace, seed):
    """Return a device that has located nothing yet."""
    return Desk(reactor, http, random.Random(seed), workspace, seeds)


def _auth(desk):
    return {"Authorization": f"Bearer {desk.workspace}-token"}


async def _locate(desk, class_name):
    known = list((desk.doors or desk.seeds).values())
    url = desk.rng.choice(known + list(desk.seeds.values()))
    code, doc = await calls.get_json(
        desk.reactor, desk.http, f"{url}/v1/locate?class={class_name}",
        _auth(desk))
    if code == 200:
        desk.doors = {
            each["host"]: f"http://{each['address']}:{each['port']}"
            for each in doc["addresses"]}
        desk.until = desk.reactor.seconds() + doc["ttl_s"]


async def _door(desk, class_name):
    """Return name and URL of the door to use now."""
    now = desk.reactor.seconds()
    usable = _usable(desk, now)
    if now > desk.until or not usable:
        try:
            await _locate(desk, class_name)
        except Exception:
            # The door that was asked may be the dead one.
            desk.until = min(desk.until, now)
        usable = _usable(desk, now) or list(desk.seeds.items())
    return usable[0]


def _usable(desk, now):
    return [pair for pair in desk.doors.items()
            if desk.avoid.get(pair[0], 0.0) <= now]


async def perform(desk, ask):
    """Send a request until it has its final answer; never fails."""
    ask.began = desk.reactor.seconds()
    stream = streams.new_stream(ask.prompt)
    while not ask.verdict:
        try:
            pause_s = await _once(desk, ask, stream)
        except Exception as exc:
            ask.detail = repr(exc)
            pause_s = 0.5
        if not ask.verdict and _too_late(desk, ask):
            ask.verdict = _verdict_late(ask)
        if not ask.verdict:
            await task.deferLater(desk.reactor, pause_s)
    ask.ended = desk.reactor.seconds()
    return ask


def _too_late(desk, ask):
    return desk.reactor.seconds() - ask.began > LIMIT_S


def _verdict_late(ask):
    # Refused again and again, the caller knows where it stands; only
    # an answer that broke or never came is lost.
    was_told = ask.tries and ask.last.end == "refused"
    return "refused" if was_told else "lost"


async def _once(desk, ask, stream):
    """Make one try; return how long to wait before the next."""
    host, url = await _door(desk, ask.class_name)
    attempt = Try(host, desk.reactor.seconds(), bool(stream.last_id))
    ask.tries.append(attempt)
    try:
        await _exchange(desk, ask, stream, attempt, url)
    finally:
        attempt.ended = desk.reactor.seconds()
        attempt.end = attempt.end or "cut"
    return _after(desk, ask, stream, attempt)


async def _exchange(desk, ask, stream, attempt, url):
    rsp = await _head(desk, ask, stream, attempt, url)
    if rsp is None:
        return
    attempt.answered = True
    attempt.rid = rsp.headers.getRawHeaders("X-Request-Id", [""])[0]
    parts = []
    is_stream = rsp.code == 200 and not ask.booking
    take = stream.take if is_stream else parts.append
    if is_stream:
        stream.begin(attempt.resumed)
    whole = await calls.read_body(desk.reactor, rsp, take, STALL_S)
    if not whole and not (is_stream and stream.ended):
        attempt.end = "cut"
    elif rsp.code != 200:
        _refusal(attempt, json.loads(b"".join(parts)))
    elif is_stream:
        _end_of_stream(attempt, stream)
    else:
        _judge_booking(ask, attempt, json.loads(b"".join(parts)))


async def _head(desk, ask, stream, attempt, url):
    """Return the response once its head is there, None if cut."""
    method, path, body, headers = _request(desk, ask, stream)
    target = url + path
    for _ in range(2):
        fut = desk.http.request(
            method, target, headers=headers, data=body, unbuffered=True,
            allow_redirects=False)
        wait_s = ask.deadline_s + HEAD_SLACK_S
        fut.addTimeout(wait_s, desk.reactor)
        until = desk.reactor.seconds() + wait_s
        try:
            rsp = await fut
        except Exception as exc:
            late = desk.reactor.seconds() >= until
            attempt.end = "stuck" if late else _end_of(exc)
            ask.detail = repr(exc)[:200]
            return None
        if rsp.code != _REDIRECT:
            return rsp
        target = rsp.headers.getRawHeaders("Location")[0]
        attempt.host = _host_of(desk, target)
        await treq.content(rsp)
    attempt.end = "unreached"
    return None


def _end_of(exc):
    return "unreached" if isinstance(exc, error.ConnectError) else "cut"


def _host_of(desk, target):
    return next((name for name, url in desk.seeds.items()
                 if target.startswith(url + "/")), "?")


def _request(desk, ask, stream):
    headers = {**_auth(desk), "X-Crocuskeel-Class": ask.class_name,
               "Idempotency-Key": ask.key}
    if ask.booking:
        body = json.dumps({"boat": ask.key}).encode()
        return "POST", f"/services/{ask.service}/confirm", body, headers
    if stream.last_id:
        headers["Last-Event-ID"] = stream.last_id
        name = stream.last_id.rpartition(":")[0]
        return "GET", f"/v1/streams/{name}", None, headers
    headers["Content-Type"] = "application/json"
    body = {"model": "guide-7b", "stream": True,
            "max_tokens": ask.max_tokens,
            "messages": streams.messages(ask.prompt)}
    return ("POST", "/v1/chat/completions", json.dumps(body).encode(),
            headers)


def _refusal(attempt, doc):
    attempt.end = "refused"
    attempt.code = doc["code"]
    attempt.outcome = doc["outcome"]
    attempt.retry_after_s = doc.get("retry_after", 0.0)


def _end_of_stream(attempt, stream):
    if stream.error is None:
        attempt.end = "whole"
        return
    _refusal(attempt, stream.error)
    attempt.end = "failed"


def _judge_booking(ask, attempt, doc):
    attempt.end = "whole"
    right = doc["idempotency_key"] == ask.key
    ask.verdict = "right" if right else "wrong"
    ask.detail = "" if right else str(doc)


def _after(desk, ask, stream, attempt):
    """Judge a try; return the pause before the next one."""
    if attempt.end in ("cut", "unreached", "stuck"):
        desk.avoid[attempt.host] = desk.reactor.seconds() + AVOID_S
        return 0.05
    if attempt.end == "whole":
        if not ask.booking:
            ask.verdict, ask.detail = stream.judge()
        return 0.0
    if attempt.resumed and attempt.outcome == "not_run" and (
            _resumes(ask) < _STREAM_RESUMES):
        desk.avoid[attempt.host] = desk.reactor.seconds() + AVOID_S
        return 0.1
    if stream.last_id:
        # The rest can't be had any more: ask for a whole answer anew.
        stream.forget()
        return 0.1
    return _after_refusal(desk, ask, attempt)


def _after_refusal(desk, ask, attempt):
    not_run = attempt.outcome == "not_run"
    if not_run and (attempt.code in _FINAL or not ask.patient):
        ask.verdict = "refused"
    if ask.booking and not not_run and _resends(ask) >= _BOOKING_RESENDS:
        ask.verdict = "refused"
    if attempt.code in _FINAL:
        ask.verdict = "refused"
    desk.avoid[attempt.host] = desk.reactor.seconds() + AVOID_S
    return max(0.2, min(attempt.retry_after_s, MOST_PAUSE_S))


def _resumes(ask):
    return sum(each.resumed for each in ask.tries)


def _resends(ask):
    return sum(each.end == "refused" and each.outcome != "not_run"
               for each in ask.tries)
