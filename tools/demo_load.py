"""A small load generator: callers that check every answer they get."""

import dataclasses
import json
import random

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import task
from twisted.web import client as web_client

import treq

from standins import texts

__all__ = ["Answer", "Caller", "Mix", "locate", "new_caller", "run", "send"]

WAIT_S = 90.0
LOCATE_S = 5.0
REDIRECTS = 2
_REDIRECT = 307


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """One kind of request: its class, share, and service if plain."""

    class_name: str
    share: float
    service: str = ""


@dataclasses.dataclass(slots=True)
class Answer:
    """What became of one request; spans in seconds.

    ``verdict`` is ``right``, ``refused``, ``wrong`` or ``lost``.
    """

    class_name: str
    workspace: str
    verdict: str
    code: str = ""
    outcome: str = ""
    key: str = ""
    ttft_s: float = 0.0
    itl_s: float = 0.0
    tokens: int = 0
    rid: str = ""
    detail: str = ""


@dataclasses.dataclass(slots=True)
class Caller:
    """State of the generator; ``doors`` are base URLs in use."""

    reactor: object
    http: object
    rng: random.Random
    doors: list[str]
    seen: int = 0
    answers: list = dataclasses.field(default_factory=list)


def new_caller(reactor, doors, seed=1):
    """Return a generator that knows some doors."""
    pool = web_client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 200
    pool.retryAutomatically = False
    agent = web_client.Agent(reactor, connectTimeout=3.0, pool=pool)
    return Caller(reactor, treq.client.HTTPClient(agent),
                  random.Random(seed), list(doors))


async def locate(caller, workspace):
    """Ask a door for addresses and use these from now on."""
    door = caller.rng.choice(caller.doors)
    rsp = await caller.http.get(
        f"{door}/v1/locate", headers=_auth(workspace),
        timeout=LOCATE_S, reactor=caller.reactor)
    doc = await rsp.json()
    if rsp.code == 200:
        caller.doors = [f"http://{each['address']}:{each['port']}"
                        for each in doc["addresses"]]
    return rsp.code, doc


def _auth(workspace):
    return {"Authorization": f"Bearer {workspace}-token"}


async def run(caller, mixes, workspaces, rate, span_s):
    """Send a mixed load for a span; return the answers.

    ``workspaces`` maps names to weights; ``rate`` is requests a second,
    at random gaps.
    """
    ends = caller.reactor.seconds() + span_s
    waiting = []
    while caller.reactor.seconds() < ends:
        mix = _draw(caller, [(m, m.share) for m in mixes])
        workspace = _draw(caller, list(workspaces.items()))
        fut = defer.Deferred.fromCoroutine(
            send(caller, mix, workspace))
        waiting.append(fut)
        gap = caller.rng.expovariate(rate)
        await task.deferLater(caller.reactor, gap)
    await defer.gatherResults(waiting)
    return caller.answers


def _draw(caller, pairs):
    values, weights = zip(*pairs)
    return caller.rng.choices(values, weights)[0]


async def send(caller, mix, workspace):
    """Send one request and check its answer; never fails."""
    caller.seen += 1
    answer = Answer(mix.class_name, workspace, "lost",
                    key=f"demo-{caller.seen}")
    call = _plain if mix.service else _chat
    fut = defer.Deferred.fromCoroutine(call(caller, mix, answer))
    fut.addTimeout(WAIT_S, caller.reactor)
    try:
        await fut
    except Exception as exc:
        answer.detail = repr(exc)
    caller.answers.append(answer)
    return answer


async def _exchange(caller, answer, path, body, headers):
    # A leaving door sends its callers elsewhere; a treq client does not
    # follow a redirected POST by itself.
    url = caller.rng.choice(caller.doors) + path
    headers = {**_auth(answer.workspace), **headers,
               "X-Crocuskeel-Class": answer.class_name}
    for _ in range(REDIRECTS + 1):
        rsp = await caller.http.post(
            url, data=body, headers=headers, unbuffered=True,
            allow_redirects=False, reactor=caller.reactor)
        answer.rid = rsp.headers.getRawHeaders("X-Request-Id", [""])[0]
        if rsp.code != _REDIRECT:
            return rsp
        url = rsp.headers.getRawHeaders("Location")[0]
        await treq.content(rsp)
    return rsp


async def _refused(answer, rsp):
    doc = json.loads(await treq.content(rsp))
    answer.verdict = "refused"
    answer.code = doc["code"]
    answer.outcome = doc["outcome"]


async def _plain(caller, mix, answer):
    began = caller.reactor.seconds()
    rsp = await _exchange(
        caller, answer, f"/services/{mix.service}/confirm",
        json.dumps({"boat": answer.key}).encode(),
        {"Idempotency-Key": answer.key})
    if rsp.code != 200:
        return await _refused(answer, rsp)
    doc = json.loads(await treq.content(rsp))
    answer.ttft_s = caller.reactor.seconds() - began
    answer.tokens = 1
    right = doc["idempotency_key"] == answer.key
    answer.verdict = "right" if right else "wrong"


async def _chat(caller, mix, answer):
    prompt = f"{answer.key} {answer.class_name} " + "tide and wind " * 30
    messages = [{"role": "user", "content": prompt}]
    body = json.dumps({"model": "guide-7b", "messages": messages,
                       "stream": True}).encode()
    began = caller.reactor.seconds()
    rsp = await _exchange(caller, answer, "/v1/chat/completions", body,
                          {"Content-Type": "application/json"})
    if rsp.code != 200:
        return await _refused(answer, rsp)
    reader = _Events(caller.reactor)
    rsp.deliverBody(reader)
    data = await reader.done
    answer.ttft_s = reader.first_at - began
    answer.itl_s = (reader.last_at - reader.first_at) / max(
        1, reader.chunks - 1)
    check_stream(answer, data, texts.prompt_text(messages))


class _Events(protocol.Protocol):
    """Collects a stream and the times of its first and last bytes."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.parts = []
        self.chunks = 0
        self.first_at = 0.0
        self.last_at = 0.0
        self.done = defer.Deferred()

    def dataReceived(self, data):
        self.last_at = self.reactor.seconds()
        self.first_at = self.first_at or self.last_at
        self.chunks += data.count(b"\n\n")
        self.parts.append(data)

    def connectionLost(self, reason=protocol.connectionDone):
        if reason.check(web_client.ResponseDone):
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(reason)


def check_stream(answer, data, prompt):
    """Judge a stream: whole, in order, and this prompt's own answer."""
    answer.verdict = "wrong"
    words = []
    usage = None
    numbers = []
    for event in data.decode().split("\n\n")[:-1]:
        lines = dict(line.split(": ", 1) for line in event.split("\n"))
        if lines.get("event") == "error":
            doc = json.loads(lines["data"])
            answer.verdict = "lost"
            answer.code, answer.outcome = doc["code"], doc["outcome"]
            return
        numbers.append(int(lines["id"].rpartition(":")[2]))
        if lines["data"] == "[DONE]":
            break
        chunk = json.loads(lines["data"])
        words.append(chunk["choices"][0]["delta"].get("content", ""))
        usage = chunk.get("usage", usage)
    if usage is None or numbers != list(range(1, len(numbers) + 1)):
        answer.detail = f"events {numbers[:3]}..{numbers[-3:]}"
        return
    answer.tokens = usage["completion_tokens"]
    want = texts.expected_text(prompt, answer.tokens)
    if "".join(words) == want:
        answer.verdict = "right"
