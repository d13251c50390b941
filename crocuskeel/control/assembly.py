"""Puts the control daemon's runtime together."""

import random
import secrets

import treq.client
from twisted.web import client as web_client

from crocuskeel.control import context
from crocuskeel.core import control
from crocuskeel import objectapi

__all__ = ["new_http", "new_runtime"]

_SEED_BITS = 128
_CONNECT_S = 1.0


def new_runtime(reactor, now, wall, cfg, on_exit):
    """Return a runtime that is not started; see ``context.Context``."""
    # Two processes with one seed would make the same nonces, and each
    # would take the other's lease for its own.
    rng = random.Random(secrets.randbits(_SEED_BITS))
    client = objectapi.new_client(
        reactor,
        objectapi.ClientConfig(cfg.platform_url, cfg.platform_token),
        objectapi.new_treq_send(reactor), rng)
    state = control.new_state(cfg.cfg, rng, now())
    return context.new_context(
        reactor, now, wall, state, client, new_http(reactor), on_exit)


def new_http(reactor):
    """Return a client that makes a new connection for each call.

    A kept connection can go silent for good while new ones work; these
    calls are few, and an order must not wait on a dead one.
    """
    agent = web_client.Agent(reactor, connectTimeout=_CONNECT_S)
    return treq.client.HTTPClient(agent)
