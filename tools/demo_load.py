"""Load generator that verifies every answer it receives."""

import dataclasses
import json
import random

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import task
from twisted.web import client as web_client

import treq

from standins import texts

__all__ = ["Answer", "LoadGenerator", "TrafficClass", "locate",
           "new_generator", "run", "send"]

ANSWER_TIMEOUT_S = 90.0
LOCATE_TIMEOUT_S = 5.0
MAX_REDIRECTS = 2
_REDIRECT = 307


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficClass:
    """A request class and its share of the load.

    ``service`` is set for requests to a plain service.
    """

    class_name: str
    share: float
    service: str = ""


@dataclasses.dataclass(slots=True)
class Answer:
    """Result of one request; times in seconds.

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
class LoadGenerator:
    """State of the generator.

    ``entry_urls`` are the base URLs of the entry hosts to use.
    """

    reactor: object
    http: object
    rng: random.Random
    entry_urls: list[str]
    sent_count: int = 0
    answers: list = dataclasses.field(default_factory=list)


def new_generator(reactor, entry_urls, seed=1):
    """Return a generator that knows the URLs of some entry hosts."""
    pool = web_client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 200
    pool.retryAutomatically = False
    agent = web_client.Agent(reactor, connectTimeout=3.0, pool=pool)
    return LoadGenerator(reactor, treq.client.HTTPClient(agent),
                         random.Random(seed), list(entry_urls))


async def locate(generator, workspace):
    """Locate entry hosts and use their addresses from now on."""
    entry_url = generator.rng.choice(generator.entry_urls)
    rsp = await generator.http.get(
        f"{entry_url}/v1/locate", headers=_auth(workspace),
        timeout=LOCATE_TIMEOUT_S, reactor=generator.reactor)
    doc = await rsp.json()
    if rsp.code == 200:
        generator.entry_urls = [f"http://{each['address']}:{each['port']}"
                                for each in doc["addresses"]]
    return rsp.code, doc


def _auth(workspace):
    return {"Authorization": f"Bearer {workspace}-token"}


async def run(generator, traffic_classes, workspaces, rate, duration_s):
    """Send a mixed load for ``duration_s`` seconds; return the answers.

    ``workspaces`` maps names to weights; ``rate`` is the mean number of
    requests per second, which are sent at random intervals.
    """
    ends_at = generator.reactor.seconds() + duration_s
    pending = []
    while generator.reactor.seconds() < ends_at:
        traffic = _choose_weighted(
            generator, [(each, each.share) for each in traffic_classes])
        workspace = _choose_weighted(generator, list(workspaces.items()))
        deferred = defer.Deferred.fromCoroutine(
            send(generator, traffic, workspace))
        pending.append(deferred)
        delay_s = generator.rng.expovariate(rate)
        await task.deferLater(generator.reactor, delay_s)
    await defer.gatherResults(pending)
    return generator.answers


def _choose_weighted(generator, weighted_values):
    values, weights = zip(*weighted_values)
    return generator.rng.choices(values, weights)[0]


async def send(generator, traffic, workspace):
    """Send one request and check its answer; never raises."""
    generator.sent_count += 1
    answer = Answer(traffic.class_name, workspace, "lost",
                    key=f"demo-{generator.sent_count}")
    send_request = _send_plain if traffic.service else _send_chat
    deferred = defer.Deferred.fromCoroutine(
        send_request(generator, traffic, answer))
    deferred.addTimeout(ANSWER_TIMEOUT_S, generator.reactor)
    try:
        await deferred
    except Exception as exc:
        answer.detail = repr(exc)
    generator.answers.append(answer)
    return answer


async def _exchange(generator, answer, path, body, headers):
    # A draining entry host redirects its callers to another one; treq
    # does not follow the redirect of a POST by itself.
    url = generator.rng.choice(generator.entry_urls) + path
    headers = {**_auth(answer.workspace), **headers,
               "X-Crocuskeel-Class": answer.class_name}
    for _ in range(MAX_REDIRECTS + 1):
        rsp = await generator.http.post(
            url, data=body, headers=headers, unbuffered=True,
            allow_redirects=False, reactor=generator.reactor)
        answer.rid = rsp.headers.getRawHeaders("X-Request-Id", [""])[0]
        if rsp.code != _REDIRECT:
            return rsp
        url = rsp.headers.getRawHeaders("Location")[0]
        await treq.content(rsp)
    return rsp


async def _record_refusal(answer, rsp):
    doc = json.loads(await treq.content(rsp))
    answer.verdict = "refused"
    answer.code = doc["code"]
    answer.outcome = doc["outcome"]


async def _send_plain(generator, traffic, answer):
    started_at = generator.reactor.seconds()
    rsp = await _exchange(
        generator, answer, f"/services/{traffic.service}/confirm",
        json.dumps({"boat": answer.key}).encode(),
        {"Idempotency-Key": answer.key})
    if rsp.code != 200:
        return await _record_refusal(answer, rsp)
    doc = json.loads(await treq.content(rsp))
    answer.ttft_s = generator.reactor.seconds() - started_at
    answer.tokens = 1
    matches = doc["idempotency_key"] == answer.key
    answer.verdict = "right" if matches else "wrong"


async def _send_chat(generator, traffic, answer):
    prompt = f"{answer.key} {answer.class_name} " + "tide and wind " * 30
    messages = [{"role": "user", "content": prompt}]
    body = json.dumps({"model": "guide-7b", "messages": messages,
                       "stream": True}).encode()
    started_at = generator.reactor.seconds()
    rsp = await _exchange(generator, answer, "/v1/chat/completions", body,
                          {"Content-Type": "application/json"})
    if rsp.code != 200:
        return await _record_refusal(answer, rsp)
    reader = _StreamReader(generator.reactor)
    rsp.deliverBody(reader)
    data = await reader.done
    answer.ttft_s = reader.first_at - started_at
    answer.itl_s = (reader.last_at - reader.first_at) / max(
        1, reader.event_count - 1)
    check_stream(answer, data, texts.prompt_text(messages))


class _StreamReader(protocol.Protocol):
    """Collects a stream and the arrival times of its first and last data."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.parts = []
        self.event_count = 0
        self.first_at = 0.0
        self.last_at = 0.0
        self.done = defer.Deferred()

    def dataReceived(self, data):
        self.last_at = self.reactor.seconds()
        self.first_at = self.first_at or self.last_at
        self.event_count += data.count(b"\n\n")
        self.parts.append(data)

    def connectionLost(self, reason=protocol.connectionDone):
        if reason.check(web_client.ResponseDone):
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(reason)


def check_stream(answer, data, prompt):
    """Check that a stream is complete, ordered and the prompt's answer."""
    answer.verdict = "wrong"
    words = []
    usage = None
    event_numbers = []
    for event in data.decode().split("\n\n")[:-1]:
        lines = dict(line.split(": ", 1) for line in event.split("\n"))
        if lines.get("event") == "error":
            doc = json.loads(lines["data"])
            answer.verdict = "lost"
            answer.code, answer.outcome = doc["code"], doc["outcome"]
            return
        event_numbers.append(int(lines["id"].rpartition(":")[2]))
        if lines["data"] == "[DONE]":
            break
        chunk = json.loads(lines["data"])
        words.append(chunk["choices"][0]["delta"].get("content", ""))
        usage = chunk.get("usage", usage)
    if usage is None or event_numbers != list(
            range(1, len(event_numbers) + 1)):
        answer.detail = f"events {event_numbers[:3]}..{event_numbers[-3:]}"
        return
    answer.tokens = usage["completion_tokens"]
    expected = texts.expected_text(prompt, answer.tokens)
    if "".join(words) == expected:
        answer.verdict = "right"
