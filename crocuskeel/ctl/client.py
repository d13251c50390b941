"""Asks entry hosts over HTTP, one after the other until one answers."""

import dataclasses
import json
import typing
import urllib.parse

from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel import objectapi
from result import Err
from result import Ok

__all__ = ["Client", "ask", "ask_host"]

READ_S = 5.0
# A commit may wait for the Object API for up to some 14 s.
WRITE_S = 20.0
_FIRST_ERROR = 400
_FIRST_SERVER_ERROR = 500
_CODES = {
    400: Code.USAGE, 401: Code.REFUSED, 403: Code.REFUSED,
    404: Code.NOT_FOUND, 409: Code.REFUSED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """``hosts`` are ``address:port``, tried in their order.

    ``send(method, url, headers, data, timeout)`` returns a Deferred of
    a ``objectapi.HttpAnswer``, or fails with ``objectapi.NotSent`` or
    ``objectapi.AnswerLost``.
    """

    hosts: tuple[str, ...]
    token: str = dataclasses.field(repr=False)
    send: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class _NoAnswer:
    """A host that could not be asked, or could not answer now."""

    host: str
    why: str
    sent: bool


async def ask(client, method, path, query=None, body=None):
    """Ask the hosts in turn; Ok of the JSON answer or Err(Failure).

    A host that can't be reached, or that says it can't answer now
    (5xx), is passed over. A body must be safe to send twice; it then
    says ``"resent": true``, since the first host may still be at work.
    """
    passed = []
    for host in client.hosts:
        if body is not None and any(each.sent for each in passed):
            body = {**body, "resent": True}
        found = await _exchange(client, host, method, path, query, body)
        if not isinstance(found, _NoAnswer):
            return found
        passed.append(found)
    return Err(_unreachable(passed, method))


async def ask_host(client, host, method, path, query=None, body=None):
    """Ask one host, ``address:port``; as :func:`ask`."""
    only = dataclasses.replace(client, hosts=(host,))
    return await ask(only, method, path, query, body)


def _unreachable(passed, method):
    lines = [f"  {each.host}: {each.why}" for each in passed]
    data = {"hosts": [dataclasses.asdict(each) for each in passed]}
    if method != "GET" and any(each.sent for each in passed):
        return Failure(
            Code.UNKNOWN_OUTCOME,
            "no host said whether the change was made:\n"
            + "\n".join(lines),
            "Look before you send it again: crocuskeelctl settings log",
            data)
    return Failure(
        Code.UNREACHABLE, "no host answered:\n" + "\n".join(lines),
        "Check the addresses in --host or CROCUSKEELCTL_HOSTS and that "
        "the daemons run.", data)


async def _exchange(client, host, method, path, query, body):
    url = f"http://{host}{urllib.parse.quote(path)}"
    if query:
        url += "?" + urllib.parse.urlencode(query, doseq=True)
    headers = {"Authorization": f"Bearer {client.token}"}
    data = None
    if body is not None:
        headers["Content-Type"] = "application/json"
        data = json.dumps(body).encode()
    timeout = READ_S if method == "GET" else WRITE_S
    try:
        answer = await client.send(method, url, headers, data, timeout)
    except objectapi.NotSent as exc:
        return _NoAnswer(host, f"not reached: {exc}", False)
    except objectapi.AnswerLost as exc:
        return _NoAnswer(host, f"no answer: {exc}", True)
    return _read(host, answer)


def _read(host, answer):
    try:
        body = json.loads(answer.body)
    except ValueError:
        return _NoAnswer(host, f"HTTP {answer.status}, no JSON", True)
    if answer.status >= _FIRST_SERVER_ERROR:
        return _NoAnswer(host, _words(body, answer.status), True)
    if answer.status >= _FIRST_ERROR:
        return Err(Failure(
            _CODES.get(answer.status, Code.REFUSED),
            f"{host}: {_words(body, answer.status)}", "", body))
    return Ok(body)


def _words(body, status):
    detail = body.get("detail") if isinstance(body, dict) else ""
    return f"HTTP {status}: {detail}" if detail else f"HTTP {status}"
