"""Puts a daemon's runtime together; starts and stops it."""

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
from crocuskeel.runtime import door
from crocuskeel.runtime import eager
from crocuskeel.runtime import http_client
from crocuskeel.runtime import kept
from crocuskeel.runtime import links
from crocuskeel.runtime import loop
from crocuskeel.runtime import operations
from crocuskeel.runtime import peers
from crocuskeel.runtime import platform_calls
from crocuskeel.runtime import polling
from crocuskeel.runtime import records
from crocuskeel.runtime import replays
from crocuskeel.runtime import settings
from crocuskeel.runtime import watchdog

__all__ = ["new_runtime", "start"]

EXIT_CHECK_S = 0.1
# Over the watchdog's span for callers that take nothing.
EXIT_MOST_S = 30.0


def new_runtime(reactor, cfg, wall, reduce=reducer.reduce):
    """Return a runtime that is not started.

    ``wall()`` returns Unix seconds. The incarnation is the time of the
    start in milliseconds: hosts keep nothing that could count starts.
    """
    identity = settings.identity(cfg, int(wall() * 1000))
    daemon = factory.new_daemon(
        identity, cfg.limits, wall=_wall_of(reactor, wall))
    ctx = context.new_context(reactor, cfg, daemon, reduce)
    ctx.records = records.new_records(reactor, wall, cfg.statsd)
    ctx.fail = callers.fail
    ctx.kept = kept.new_store(cfg.limits.replay_kept_s)
    ctx.http = http_client.new_connections(reactor)
    ctx.polls = polling.new_polls()
    ctx.ops = {}
    ctx.platform = _new_platform(reactor, cfg, identity)
    ctx.peers = peers.new_peers(
        links.wake, links.overflow, datagrams.send)
    ctx.peers.datagrams = datagrams.new_datagrams()
    ctx.peers.takers = {
        messages.ReplayAsk: replays.ask_received,
        messages.ReplayChunk: replays.chunk_received,
    }
    _register(ctx)
    return ctx


def _wall_of(reactor, wall):
    """Return what turns the runtime's time into Unix seconds."""
    def unix_s(now):
        return wall() + now - reactor.seconds()

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
    loop.register(ctx, {effects.Exit: _exit})
    operations.register_all(ctx)


async def start(ctx):
    """Open the ports, then tell the core that the daemon is up."""
    cfg = ctx.cfg
    datagrams.listen(ctx)
    await defer.Deferred.fromFuture(
        asyncio.ensure_future(links.listen(ctx)))
    site = bounded_request.new_site(
        ctx.reactor, door.new_app(ctx).resource())
    ctx.door_port = eager.listen(
        ctx.reactor, cfg.door_port, site, cfg.address)
    watchdog.start(ctx)
    polling.start(ctx)
    records.note(ctx, "started", door=cfg.door_port, peers=cfg.peer_port)
    loop.feed(ctx, events.Started())


def _exit(ctx, _effect):
    # What is relayed from kept answers has no attempt that the core
    # waits for: these callers, too, get their whole answers.
    ends = ctx.reactor.seconds() + EXIT_MOST_S
    ctx.door_port.stopListening()
    _exit_when_idle(ctx, ends)


def _exit_when_idle(ctx, ends):
    # An ended answer may still wait here for a caller that reads slowly:
    # exiting now would cut off a stream that was whole.
    busy = callers.waiting(ctx) or eager.unsent(ctx.door_port)
    if busy and ctx.reactor.seconds() < ends:
        ctx.reactor.callLater(EXIT_CHECK_S, _exit_when_idle, ctx, ends)
        return
    records.note(ctx, "stopped")
    records.flush(ctx)
    ctx.stopping = True
    links.stop(ctx)
    ctx.reactor.callLater(EXIT_CHECK_S, ctx.on_exit)
