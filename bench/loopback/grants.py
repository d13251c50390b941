"""CPU of a grant: batched over one link, or one unary call each.

Both ends run in this process: an Enqueue goes one way and a Grant
comes back, sealed and checked as between two daemons.
"""

import asyncio
import dataclasses
import time

import grpclib.client
import grpclib.const
import grpclib.server

from bench.loopback import hop
from bench.loopback import processes
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.runtime import links
from crocuskeel.runtime import peers
from crocuskeel.runtime import program
from crocuskeel import wire
from crocuskeel.wire import crocuskeel_pb2 as pb

__all__ = ["measure"]

GRANTS = 2000
BATCHES = (1, 10, 50)
UNARY = "/crocuskeel.Bench/Ask"
ASK = messages.Enqueue("a.1.1", 1, "llm/0", "llm", "ask", "one", 1)
GRANT = messages.Grant("a.1.1", 1, "llm/0", "llm-1")


async def measure(reactor, ports):
    """Print the CPU of a grant for each way."""
    for size in BATCHES:
        cost = await _linked(reactor, ports[:2], size)
        processes.emit(f"grant.link_batch_{size}", cost * 1e6, "us",
                       GRANTS)
    cost = await _unary(reactor, ports[2])
    processes.emit("grant.unary", cost * 1e6, "us", GRANTS)


async def _linked(reactor, ports, size):
    arrived = asyncio.Queue()

    def grants(_daemon, event, _now):
        if type(event) is events.Received:
            peers.send(right, event.sender, GRANT)
        return []

    def counts(_daemon, event, _now):
        if type(event) is events.Received:
            arrived.put_nowait(event)
        return []

    left = _new_end(reactor, "left", ports[0], ("right", ports[1]), counts)
    right = _new_end(reactor, "right", ports[1], ("left", ports[0]), grants)
    await links.listen(right)
    try:
        await _round(left, arrived, 1)
        began = time.process_time()
        for _ in range(GRANTS // size):
            await _round(left, arrived, size)
        return (time.process_time() - began) / GRANTS
    finally:
        for end in (left, right):
            end.stopping = True
            links.stop(end)
        await asyncio.sleep(0.1)


async def _round(left, arrived, size):
    for _ in range(size):
        peers.send(left, "right", ASK)
    for _ in range(size):
        await arrived.get()


def _new_end(reactor, host, port, other, reduce):
    ctx = program.new_runtime(
        reactor, hop.new_settings(host, port), time.time, reduce)
    name, other_port = other
    ctx.cfg = _with_seed(ctx.cfg, name, other_port)
    return ctx


def _with_seed(cfg, name, port):
    return dataclasses.replace(cfg, seeds=((name, "127.0.0.1", port),))


class _Asked:
    """The unary service."""

    def __init__(self, ctx):
        self.ctx = ctx

    def __mapping__(self):
        return {UNARY: grpclib.const.Handler(
            self._ask, grpclib.const.Cardinality.UNARY_UNARY,
            pb.Sealed, pb.Sealed)}

    async def _ask(self, stream):
        _open(self.ctx, await stream.recv_message())
        await stream.send_message(_sealed(self.ctx, GRANT))


def _open(ctx, sealed):
    batch = wire.open_sealed(
        ctx.cfg.key, sealed, "bench", ctx.daemon.me.host)
    return [wire.from_frame(frame) for frame in batch.frames]


def _sealed(ctx, message):
    batch = peers.new_batch(
        ctx, ctx.daemon.me.host, 1, [wire.to_frame(message)])
    return wire.seal(ctx.cfg.key, batch)


async def _unary(reactor, port):
    ctx = program.new_runtime(
        reactor, hop.new_settings("left"), time.time, None)
    server = grpclib.server.Server([_Asked(ctx)])
    await server.start("127.0.0.1", port)
    channel = grpclib.client.Channel("127.0.0.1", port)
    call = grpclib.client.UnaryUnaryMethod(
        channel, UNARY, pb.Sealed, pb.Sealed)
    try:
        _open(ctx, await call(_sealed(ctx, ASK)))
        began = time.process_time()
        for _ in range(GRANTS):
            _open(ctx, await call(_sealed(ctx, ASK)))
        return (time.process_time() - began) / GRANTS
    finally:
        channel.close()
        server.close()
        await server.wait_closed()
