"""The real transport: treq on a pool that repeats nothing by itself."""

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.web import _newclient
from twisted.web import client as web_client

from crocuskeel.objectapi import exceptions
from crocuskeel.objectapi import results

__all__ = ["new_treq_send"]

_CONNECT_S = 1.0
_NOT_SENT = (
    error.ConnectError, error.DNSLookupError, error.NoRouteError,
    _newclient.RequestNotSent,
)


def _lower_headers(raw):
    return {
        name.decode("ascii").lower(): values[-1].decode("latin-1")
        for name, values in raw.getAllRawHeaders()
    }


def new_treq_send(reactor, max_connections=8, connect_s=_CONNECT_S):
    """Return ``send(method, url, headers, data, timeout)``.

    It fires with an ``HttpAnswer`` or fails with ``NotSent`` or
    ``AnswerLost``. ``timeout`` bounds the call in seconds.
    """
    pool = web_client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = max_connections
    # Twisted repeats a DELETE whose answer was lost: the repeat finds
    # the version moved and a success would read as a conflict. The
    # client above knows what is safe to repeat.
    pool.retryAutomatically = False
    agent = web_client.Agent(
        reactor, connectTimeout=connect_s, pool=pool)
    http = treq.client.HTTPClient(agent)

    async def exchange(method, url, headers, data):
        rsp = await http.request(
            method, url, headers=headers, data=data)
        body = await rsp.content()
        return results.HttpAnswer(
            rsp.code, _lower_headers(rsp.headers), body)

    async def send(method, url, headers, data, timeout):
        call = defer.Deferred.fromCoroutine(
            exchange(method, url, headers, data))
        call.addTimeout(timeout, reactor)
        try:
            return await call
        except _NOT_SENT as exc:
            raise exceptions.NotSent(str(exc)) from exc
        except Exception as exc:
            raise exceptions.AnswerLost(repr(exc)) from exc

    def start(method, url, headers, data, timeout):
        return defer.Deferred.fromCoroutine(
            send(method, url, headers, data, timeout))

    start.pool = pool
    return start
