"""Assembles a daemon's runtime; starts and stops it."""

import asyncio
import random

from twisted.internet import defer

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import factory
from crocuskeel.core import messages
from crocuskeel.core import reducer
from crocuskeel import objectapi
from crocuskeel.objectapi import transport
from crocuskeel.runtime import attempts
from crocuskeel.runtime import bounded_request
from crocuskeel.runtime import callers
from crocuskeel.runtime import context
from crocuskeel.runtime import datagrams
from crocuskeel.runtime import direct_writes
from crocuskeel.runtime import http_api
from crocuskeel.runtime import http_client
from crocuskeel.runtime import links
from crocuskeel.runtime import loop
from crocuskeel.runtime import operations
from crocuskeel.runtime import peers
from crocuskeel.runtime import platform_calls
from crocuskeel.runtime import polling
from crocuskeel.runtime import records
from crocuskeel.runtime import replays
from crocuskeel.runtime import response_cache
from crocuskeel.runtime import settings
from crocuskeel.runtime import watchdog

__all__ = ["new_runtime", "start"]

EXIT_CHECK_INTERVAL_S = 0.1
# Longer than the watchdog's timeout for callers that stop reading.
EXIT_TIMEOUT_S = 30.0


def new_runtime(reactor, cfg, wall_clock, reduce=reducer.reduce):
    """Return a runtime that is not started.

    ``wall_clock()`` returns Unix seconds. The incarnation is the start
    time in milliseconds: hosts store nothing that could count starts.
    """
    identity = settings.identity(cfg, int(wall_clock() * 1000))
    daemon = factory.new_daemon(
        identity, cfg.limits, wall_clock=_new_unix_clock(reactor, wall_clock))
    ctx = context.new_context(reactor, cfg, daemon, reduce)
    ctx.records = records.new_records(reactor, wall_clock, cfg.statsd)
    ctx.fail_request = callers.fail_request
    ctx.response_cache = response_cache.new_cache(cfg.limits.replay_kept_s)
    ctx.connections = http_client.new_connections(reactor)
    ctx.polls = polling.new_polls()
    ctx.ops = {}
    ctx.platform = _new_platform(reactor, cfg, identity)
    ctx.peers = peers.new_peers(
        links.wake, links.handle_full_outbox, datagrams.send)
    ctx.peers.datagrams = datagrams.new_datagrams()
    ctx.peers.message_handlers = {
        messages.ReplayAsk: replays.handle_replay_ask,
        messages.ReplayChunk: replays.handle_replay_chunk,
    }
    _register(ctx)
    return ctx


def _new_unix_clock(reactor, wall_clock):
    """Return a function that converts reactor time to Unix seconds."""
    def unix_s(now):
        return wall_clock() + now - reactor.seconds()

    return unix_s


def _new_platform(reactor, cfg, identity):
    if not cfg.platform_url:
        return None
    rng = random.Random(f"{identity.host}/{identity.incarnation}")
    return objectapi.new_client(
        reactor,
        objectapi.ClientConfig(cfg.platform_url, cfg.platform_token),
        transport.new_treq_send(reactor), rng)


def _register(ctx):
    for table in (loop.timer_handlers(), callers.handlers(),
                  attempts.handlers(), replays.handlers(),
                  peers.handlers(), platform_calls.handlers(),
                  records.handlers()):
        loop.register(ctx, table)
    loop.register(ctx, {effects.Exit: _start_exit})
    operations.register_all(ctx)


async def start(ctx):
    """Open the ports, then tell the core that the daemon has started."""
    cfg = ctx.cfg
    datagrams.listen(ctx)
    await defer.Deferred.fromFuture(
        asyncio.ensure_future(links.listen(ctx)))
    site = bounded_request.new_site(
        ctx.reactor, http_api.new_app(ctx).resource())
    ctx.door_port = direct_writes.listen(
        ctx.reactor, cfg.door_port, site, cfg.address)
    watchdog.start(ctx)
    polling.start(ctx)
    records.record_event(
        ctx, "started", door=cfg.door_port, peers=cfg.peer_port)
    loop.feed(ctx, events.Started())


def _start_exit(ctx, _effect):
    # Responses replayed from the cache have no attempt that the core
    # waits for, so this waits until they are complete as well.
    deadline = ctx.reactor.seconds() + EXIT_TIMEOUT_S
    ctx.door_port.stopListening()
    _exit_when_idle(ctx, deadline)


def _exit_when_idle(ctx, deadline):
    # A finished response may still be queued for a caller that reads
    # slowly; exiting now would truncate a complete stream.
    unfinished = callers.count_waiting(ctx) or direct_writes.count_unsent(
        ctx.door_port)
    if unfinished and ctx.reactor.seconds() < deadline:
        ctx.reactor.callLater(
            EXIT_CHECK_INTERVAL_S, _exit_when_idle, ctx, deadline)
        return
    records.record_event(ctx, "stopped")
    records.flush(ctx)
    ctx.stopping = True
    links.stop(ctx)
    ctx.reactor.callLater(EXIT_CHECK_INTERVAL_S, ctx.on_exit)
