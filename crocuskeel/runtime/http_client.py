"""HTTP connections to backend servers: one pool for each server.

Requests go to the agent that treq stands on: treq's own parsing of
addresses, cookies and redirects took a third of a request's CPU, and
here all three are unwanted. treq reads the bodies of reports.
"""

import dataclasses
import typing

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.web import client as web_client
from twisted.web import iweb
from zope.interface import implementer

__all__ = ["new_connections", "request", "retire"]

CONNECT_S = 1.0
MAX_IDLE_PER_BACKEND = 64
IDLE_S = 15.0


@dataclasses.dataclass(slots=True)
class Connections:
    """Pools and agents by a server's base URL, and one without pool."""

    reactor: typing.Any
    fresh: typing.Any
    pools: dict = dataclasses.field(default_factory=dict)
    agents: dict = dataclasses.field(default_factory=dict)


def new_connections(reactor):
    """Return the state of connections, with none open."""
    return Connections(reactor, _agent(reactor, None))


@implementer(iweb.IAgentEndpointFactory)
@dataclasses.dataclass(frozen=True, slots=True)
class _Endpoints:
    """Endpoints by IP number.

    Twisted's own look names up in a thread, even an IP number's.
    """

    reactor: typing.Any

    def endpointForURI(self, uri):
        return endpoints.TCP4ClientEndpoint(
            self.reactor, uri.host.decode(), uri.port, CONNECT_S)


@implementer(iweb.IBodyProducer)
@dataclasses.dataclass(frozen=True, slots=True)
class _Body:
    """A request's body, written at once."""

    data: bytes
    length: int

    def startProducing(self, consumer):
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self):
        """All is written: there is nothing to pause."""

    def resumeProducing(self):
        """All is written: there is nothing to resume."""

    def stopProducing(self):
        """All is written: there is nothing to stop."""


def _agent(reactor, pool):
    return web_client.Agent.usingEndpointFactory(
        reactor, _Endpoints(reactor), pool)


def _pooled(conns, base):
    agent = conns.agents.get(base)
    if agent is None:
        pool = web_client.HTTPConnectionPool(conns.reactor)
        pool.maxPersistentPerHost = MAX_IDLE_PER_BACKEND
        pool.cachedConnectionTimeout = IDLE_S
        # Twisted would send a GET or DELETE again by itself.
        pool.retryAutomatically = False
        conns.pools[base] = pool
        agent = conns.agents[base] = _agent(conns.reactor, pool)
    return agent


def request(ctx, base, method, url, headers=None, body=b"", fresh=False):
    """Send a request; fires with the response, its body unread."""
    conns = ctx.http
    agent = conns.fresh if fresh else _pooled(conns, base)
    producer = _Body(body, len(body)) if body else None
    return agent.request(
        method.encode(), url.encode(), headers, producer)


def retire(ctx, base):
    """Drop the idle connections to a server.

    When something between the ends has lost track of one connection it
    often has of all: each would cost another request its silence span.
    """
    ctx.http.agents.pop(base, None)
    pool = ctx.http.pools.pop(base, None)
    if pool is not None:
        pool.closeCachedConnections()
