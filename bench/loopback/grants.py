"""CPU time of a grant: batched over one link or as a unary call.

Both ends run in this process: an Enqueue message is sent and a Grant
message is returned, sealed and verified as between two daemons.
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

GRANT_COUNT = 2000
BATCH_SIZES = (1, 10, 50)
UNARY_PATH = "/crocuskeel.Bench/Ask"
ENQUEUE = messages.Enqueue("a.1.1", 1, "llm/0", "llm", "ask", "one", 1)
GRANT = messages.Grant("a.1.1", 1, "llm/0", "llm-1")


async def measure(reactor, ports):
    """Print the CPU time of a grant for each transport."""
    for size in BATCH_SIZES:
        cost_s = await _link_cost_s(reactor, ports[:2], size)
        processes.emit(f"grant.link_batch_{size}", cost_s * 1e6, "us",
                       GRANT_COUNT)
    cost_s = await _unary_cost_s(reactor, ports[2])
    processes.emit("grant.unary", cost_s * 1e6, "us", GRANT_COUNT)


async def _link_cost_s(reactor, ports, size):
    received = asyncio.Queue()

    def reply_with_grant(_daemon, event, _now):
        if type(event) is events.Received:
            peers.send(right, event.sender, GRANT)
        return []

    def collect(_daemon, event, _now):
        if type(event) is events.Received:
            received.put_nowait(event)
        return []

    left = _new_endpoint(
        reactor, "left", ports[0], ("right", ports[1]), collect)
    right = _new_endpoint(
        reactor, "right", ports[1], ("left", ports[0]), reply_with_grant)
    await links.listen(right)
    try:
        await _exchange_batch(left, received, 1)
        started_at = time.process_time()
        for _ in range(GRANT_COUNT // size):
            await _exchange_batch(left, received, size)
        return (time.process_time() - started_at) / GRANT_COUNT
    finally:
        for endpoint in (left, right):
            endpoint.stopping = True
            links.stop(endpoint)
        await asyncio.sleep(0.1)


async def _exchange_batch(left, received, size):
    for _ in range(size):
        peers.send(left, "right", ENQUEUE)
    for _ in range(size):
        await received.get()


def _new_endpoint(reactor, host, port, peer, reduce):
    ctx = program.new_runtime(
        reactor, hop.new_settings(host, port), time.time, reduce)
    name, peer_port = peer
    ctx.cfg = _with_seed(ctx.cfg, name, peer_port)
    return ctx


def _with_seed(cfg, name, port):
    return dataclasses.replace(cfg, seeds=((name, "127.0.0.1", port),))


class _GrantService:
    """A gRPC service that answers each Enqueue with a Grant."""

    def __init__(self, ctx):
        self.ctx = ctx

    def __mapping__(self):
        return {UNARY_PATH: grpclib.const.Handler(
            self._handle_enqueue, grpclib.const.Cardinality.UNARY_UNARY,
            pb.Sealed, pb.Sealed)}

    async def _handle_enqueue(self, stream):
        _open_sealed(self.ctx, await stream.recv_message())
        await stream.send_message(_seal(self.ctx, GRANT))


def _open_sealed(ctx, sealed):
    batch = wire.open_sealed(
        ctx.cfg.key, sealed, "bench", ctx.daemon.identity.host)
    return [wire.from_frame(frame) for frame in batch.frames]


def _seal(ctx, message):
    batch = peers.new_batch(
        ctx, ctx.daemon.identity.host, 1, [wire.to_frame(message)])
    return wire.seal(ctx.cfg.key, batch)


async def _unary_cost_s(reactor, port):
    ctx = program.new_runtime(
        reactor, hop.new_settings("left"), time.time, None)
    server = grpclib.server.Server([_GrantService(ctx)])
    await server.start("127.0.0.1", port)
    channel = grpclib.client.Channel("127.0.0.1", port)
    call = grpclib.client.UnaryUnaryMethod(
        channel, UNARY_PATH, pb.Sealed, pb.Sealed)
    try:
        _open_sealed(ctx, await call(_seal(ctx, ENQUEUE)))
        started_at = time.process_time()
        for _ in range(GRANT_COUNT):
            _open_sealed(ctx, await call(_seal(ctx, ENQUEUE)))
        return (time.process_time() - started_at) / GRANT_COUNT
    finally:
        channel.close()
        server.close()
        await server.wait_closed()
