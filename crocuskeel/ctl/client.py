"""Sends HTTP requests to entry hosts, one by one until one responds."""

import dataclasses
import json
import typing
import urllib.parse

from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel import objectapi
from result import Err
from result import Ok

__all__ = ["Client", "request", "request_host"]

READ_TIMEOUT_S = 5.0
# A commit may wait for the Object API for up to about 14 s.
WRITE_TIMEOUT_S = 20.0
_FIRST_ERROR = 400
_FIRST_SERVER_ERROR = 500
_CODES = {
    400: Code.USAGE, 401: Code.REFUSED, 403: Code.REFUSED,
    404: Code.NOT_FOUND, 409: Code.REFUSED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """``hosts`` are ``address:port``, tried in order.

    ``send(method, url, headers, data, timeout)`` returns a Deferred of
    a ``objectapi.HttpResponse``, or fails with ``objectapi.NotSent`` or
    ``objectapi.ResponseLost``.
    """

    hosts: tuple[str, ...]
    token: str = dataclasses.field(repr=False)
    send: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class _HostFailure:
    """A host that was not reached, or sent no usable response."""

    host: str
    why: str
    sent: bool


async def request(client, method, path, query=None, body=None):
    """Try the hosts in turn; Ok of the JSON response or Err(Failure).

    A host that can't be reached or that responds with a server error
    (5xx) is skipped. A request with a body must be safe to repeat; the
    body then contains ``"resent": true``, since the first host may
    still be processing it.
    """
    failures = []
    for host in client.hosts:
        if body is not None and any(each.sent for each in failures):
            body = {**body, "resent": True}
        result = await _send(client, host, method, path, query, body)
        if not isinstance(result, _HostFailure):
            return result
        failures.append(result)
    return Err(_unreachable(failures, method))


async def request_host(client, host, method, path, query=None, body=None):
    """Send a request to one host, ``address:port``; as :func:`request`."""
    single_host = dataclasses.replace(client, hosts=(host,))
    return await request(single_host, method, path, query, body)


def _unreachable(failures, method):
    lines = [f"  {each.host}: {each.why}" for each in failures]
    data = {"hosts": [dataclasses.asdict(each) for each in failures]}
    if method != "GET" and any(each.sent for each in failures):
        return Failure(
            Code.UNKNOWN_OUTCOME,
            "no host confirmed whether the change was made:\n"
            + "\n".join(lines),
            "Check before you send it again: crocuskeelctl settings log",
            data)
    return Failure(
        Code.UNREACHABLE, "no host responded:\n" + "\n".join(lines),
        "Check the addresses in --host or CROCUSKEELCTL_HOSTS, and that "
        "the daemons are running.", data)


async def _send(client, host, method, path, query, body):
    url = f"http://{host}{urllib.parse.quote(path)}"
    if query:
        url += "?" + urllib.parse.urlencode(query, doseq=True)
    headers = {"Authorization": f"Bearer {client.token}"}
    data = None
    if body is not None:
        headers["Content-Type"] = "application/json"
        data = json.dumps(body).encode()
    timeout = READ_TIMEOUT_S if method == "GET" else WRITE_TIMEOUT_S
    try:
        response = await client.send(method, url, headers, data, timeout)
    except objectapi.NotSent as exc:
        return _HostFailure(host, f"not reached: {exc}", False)
    except objectapi.ResponseLost as exc:
        return _HostFailure(host, f"no response: {exc}", True)
    return _parse_response(host, response)


def _parse_response(host, response):
    try:
        body = json.loads(response.body)
    except (ValueError, RecursionError):
        return _HostFailure(host, f"HTTP {response.status}, not JSON", True)
    if response.status >= _FIRST_SERVER_ERROR:
        return _HostFailure(host, _error_text(body, response.status), True)
    if response.status >= _FIRST_ERROR:
        return Err(Failure(
            _CODES.get(response.status, Code.REFUSED),
            f"{host}: {_error_text(body, response.status)}", "", body))
    return Ok(body)


def _error_text(body, status):
    detail = body.get("detail") if isinstance(body, dict) else ""
    return f"HTTP {status}: {detail}" if detail else f"HTTP {status}"
