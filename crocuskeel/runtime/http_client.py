"""HTTP connections to backend servers: one pool for each server.

Requests use Twisted's agent directly, without treq: treq's handling of
URLs, cookies and redirects took a third of a request's CPU time, and
none of it is needed here.
"""

import dataclasses
import typing

from crocuskeel import http_limits
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.web import client as web_client
from twisted.web import iweb
from zope.interface import implementer

__all__ = ["drop_idle_connections", "new_connections", "request"]

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_PER_BACKEND = 64
IDLE_TIMEOUT_S = 15.0


@dataclasses.dataclass(slots=True)
class Connections:
    """Pools and agents by base URL, and one agent without a pool."""

    reactor: typing.Any
    unpooled_agent: typing.Any
    pools: dict = dataclasses.field(default_factory=dict)
    agents: dict = dataclasses.field(default_factory=dict)


def new_connections(reactor):
    """Return connection state with no open connections."""
    return Connections(reactor, _new_agent(
        reactor, http_limits.new_pool(reactor, persistent=False)))


@implementer(iweb.IAgentEndpointFactory)
@dataclasses.dataclass(frozen=True, slots=True)
class _EndpointFactory:
    """Creates endpoints for IP addresses.

    Twisted's own endpoints resolve names in a thread, even if the name
    is an IP address.
    """

    reactor: typing.Any

    def endpointForURI(self, uri):
        return endpoints.TCP4ClientEndpoint(
            self.reactor, uri.host.decode(), uri.port, CONNECT_TIMEOUT_S)


@implementer(iweb.IBodyProducer)
@dataclasses.dataclass(frozen=True, slots=True)
class _BodyProducer:
    """Writes a request body in a single call."""

    data: bytes
    length: int

    def startProducing(self, consumer):
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self):
        """Do nothing: the body is already written."""

    def resumeProducing(self):
        """Do nothing: the body is already written."""

    def stopProducing(self):
        """Do nothing: the body is already written."""


def _new_agent(reactor, pool):
    return web_client.Agent.usingEndpointFactory(
        reactor, _EndpointFactory(reactor), pool)


def _pooled_agent(connections, base_url):
    agent = connections.agents.get(base_url)
    if agent is None:
        pool = http_limits.new_pool(connections.reactor)
        pool.maxPersistentPerHost = MAX_IDLE_PER_BACKEND
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        connections.pools[base_url] = pool
        agent = connections.agents[base_url] = _new_agent(
            connections.reactor, pool)
    return agent


def request(ctx, base_url, method, url, headers=None, body=b"",
            new_connection=False):
    """Send a request; return a Deferred of the response, body unread."""
    connections = ctx.connections
    agent = (connections.unpooled_agent if new_connection
             else _pooled_agent(connections, base_url))
    producer = _BodyProducer(body, len(body)) if body else None
    return agent.request(
        method.encode(), url.encode(), headers, producer)


def drop_idle_connections(ctx, base_url):
    """Close the idle connections to a server.

    A middlebox that has lost the state of one connection has often lost
    that of all: each would cost one more request its silence timeout.
    """
    ctx.connections.agents.pop(base_url, None)
    pool = ctx.connections.pools.pop(base_url, None)
    if pool is not None:
        pool.closeCachedConnections()
