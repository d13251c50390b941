"""Creates the runtime of the control daemon."""

import random
import secrets

import treq.client
from twisted.web import client as web_client

from crocuskeel.control import context
from crocuskeel.core import control
from crocuskeel import http_limits
from crocuskeel import objectapi

__all__ = ["new_http", "new_runtime"]

_SEED_BITS = 128
_CONNECT_TIMEOUT_S = 1.0


def new_runtime(reactor, now, wall_clock, cfg, on_exit):
    """Return a runtime that is not started; see ``context.Context``."""
    # Two processes with the same seed would generate the same nonces, and
    # each would mistake the other's lease for its own.
    rng = random.Random(secrets.randbits(_SEED_BITS))
    client = objectapi.new_client(
        reactor,
        objectapi.ClientConfig(cfg.platform_url, cfg.platform_token),
        objectapi.new_treq_send(reactor), rng)
    state = control.new_state(cfg.cfg, rng, now())
    return context.new_context(
        reactor, now, wall_clock, state, client, new_http(reactor), on_exit)


def new_http(reactor):
    """Return an HTTP client that opens a new connection for each call.

    A persistent connection can hang forever while new ones work. These
    calls are few, and an order must not wait on a dead connection.
    """
    agent = web_client.Agent(
        reactor, connectTimeout=_CONNECT_TIMEOUT_S,
        pool=http_limits.new_pool(reactor, persistent=False))
    return treq.client.HTTPClient(agent)
