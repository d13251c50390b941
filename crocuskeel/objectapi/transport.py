"""HTTP transport: treq on a connection pool without automatic retries."""

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.web import _newclient
from twisted.web import client as web_client

from crocuskeel import http_limits
from crocuskeel.objectapi import exceptions
from crocuskeel.objectapi import results

__all__ = ["new_treq_send"]

_CONNECT_TIMEOUT_S = 1.0
# Objects have a megabyte at most, and lists of them a few.
_MAX_BODY_BYTES = 16 << 20
_NOT_SENT = (
    error.ConnectError, error.DNSLookupError, error.NoRouteError,
    _newclient.RequestNotSent,
)


def _normalize_headers(headers):
    return {
        name.decode("ascii").lower(): values[-1].decode("latin-1")
        for name, values in headers.getAllRawHeaders()
    }


def new_treq_send(reactor, max_connections=8,
                  connect_timeout_s=_CONNECT_TIMEOUT_S):
    """Return ``send(method, url, headers, data, timeout_s)``.

    It returns a Deferred that fires with an ``HttpResponse`` or fails with
    ``NotSent`` or ``ResponseLost``. ``timeout_s`` bounds the call.
    """
    # It doesn't retry a DELETE whose response was lost. The retry would find
    # that the version has changed, so that a success is reported as a
    # conflict. The client decides which calls are safe to retry.
    pool = http_limits.new_pool(reactor)
    pool.maxPersistentPerHost = max_connections
    agent = web_client.Agent(
        reactor, connectTimeout=connect_timeout_s, pool=pool)
    http = treq.client.HTTPClient(agent)

    async def exchange(method, url, headers, data):
        response = await http.request(
            method, url, headers=headers, data=data, unbuffered=True)
        body = await http_limits.read_body(response, _MAX_BODY_BYTES)
        return results.HttpResponse(
            response.code, _normalize_headers(response.headers), body)

    async def send(method, url, headers, data, timeout_s):
        call = defer.Deferred.fromCoroutine(
            exchange(method, url, headers, data))
        call.addTimeout(timeout_s, reactor)
        try:
            return await call
        except _NOT_SENT as exc:
            raise exceptions.NotSent(str(exc)) from exc
        except Exception as exc:
            raise exceptions.ResponseLost(repr(exc)) from exc

    def start(method, url, headers, data, timeout_s):
        return defer.Deferred.fromCoroutine(
            send(method, url, headers, data, timeout_s))

    start.pool = pool
    return start
