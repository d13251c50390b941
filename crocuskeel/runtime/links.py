"""One long-lived gRPC stream between two hosts that have business.

Each side's first batch carries a nonce; all later ones carry the
receiver's nonce and a sequence without gaps, so that a batch recorded
earlier or on another link is refused. A link on which nothing came for
``limits.peer_silence_s``, although a heartbeat was due, is closed and
made again: its connection may be dead while a new one works.
"""

import asyncio
import dataclasses
import secrets
import typing

import grpclib.client
import grpclib.exceptions
import grpclib.server
from loguru import logger

from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.runtime import exceptions
from crocuskeel.runtime import loop
from crocuskeel.runtime import peers
from crocuskeel.runtime import replays
from crocuskeel import wire
from crocuskeel.wire import crocuskeel_grpc

__all__ = ["Link", "listen", "new_link", "overflow", "run", "stop",
           "tick", "wake"]

NONCE_BYTES = 8
TICKS_PER_SILENCE = 6
REDIAL_FIRST_S = 0.1
REDIAL_MOST_S = 2.0
REDIAL_SECOND_S = 0.5
_LOST = (OSError, grpclib.exceptions.GRPCError, ConnectionError,
         grpclib.exceptions.StreamTerminatedError,
         exceptions.LinkRefused)


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """One stream; ``host`` is empty until the peer has said its name.

    ``session`` is the peer's nonce. A link is confirmed when the peer
    has sent back ours.
    """

    stream: typing.Any
    host: str
    nonce: bytes
    heard_at: float
    sent_at: float
    wake: asyncio.Event
    incarnation: int = 0
    session: bytes = b""
    sent: int = 0
    heard: int = 0
    confirmed: bool = False
    closed: bool = False
    tasks: tuple = ()


def new_link(ctx, stream, host):
    """Return a link over a gRPC stream; ``host`` only if we dialed."""
    now = ctx.reactor.seconds()
    link = Link(stream, host, secrets.token_bytes(NONCE_BYTES), now, now,
                asyncio.Event())
    ctx.peers.unconfirmed.append(link)
    return link


class _Peer(crocuskeel_grpc.PeerBase):
    """The listening side."""

    def __init__(self, ctx):
        self.ctx = ctx

    async def Link(self, stream):
        await run(self.ctx, new_link(self.ctx, stream, ""))


async def listen(ctx):
    """Accept links at this host's peer port."""
    ctx.peers.server = grpclib.server.Server([_Peer(ctx)])
    await ctx.peers.server.start(ctx.cfg.address, ctx.cfg.peer_port)
    tick(ctx)


def stop(ctx):
    """Close all links for good."""
    for host in list(ctx.peers.links):
        for link in list(ctx.peers.links[host]):
            _close(link)
    if ctx.peers.server is not None:
        ctx.peers.server.close()


def wake(ctx, host):
    """Let a link flush the host's outbox; dial if there is none."""
    group = ctx.peers.links.get(host)
    if group:
        group[0].wake.set()
    elif host not in ctx.peers.dialing:
        _start_dial(ctx, host, 0.0)


def _start_dial(ctx, host, wait_s):
    ctx.peers.dialing[host] = asyncio.ensure_future(
        _dial(ctx, host, wait_s))


def overflow(ctx, host):
    """Give up a link whose outbox is full."""
    _clear_outbox(ctx, host)
    for link in list(ctx.peers.links.get(host, ())):
        _close(link)


async def _dial(ctx, host, wait_s):
    delay_s = REDIAL_FIRST_S
    try:
        await asyncio.sleep(wait_s)
        while not ctx.stopping and not ctx.peers.links.get(host):
            up = await _dial_once(ctx, host)
            delay_s = REDIAL_FIRST_S if up else delay_s
            if not membership.is_live(ctx.daemon, host):
                return
            await asyncio.sleep(delay_s)
            delay_s = min(REDIAL_MOST_S, delay_s * 2)
    except Exception:
        logger.exception("dialing failed")
    finally:
        ctx.peers.dialing.pop(host, None)


async def _dial_once(ctx, host):
    # Returns whether the link came up before it ended.
    place = peers.address_of(ctx, host)
    if place is None:
        _lost(ctx, host)
        return False
    channel = grpclib.client.Channel(*place)
    link = None
    try:
        stub = crocuskeel_grpc.PeerStub(channel)
        async with stub.Link.open() as stream:
            await stream.send_request()
            link = new_link(ctx, stream, host)
            await run(ctx, link)
    except (*_LOST, grpclib.exceptions.ProtocolError):
        # Leaving a stream that neither side has ended is an error to
        # grpclib; here it is how every lost link ends.
        pass
    finally:
        channel.close()
    if link is None or not link.confirmed:
        _lost(ctx, host)
    return link is not None and link.confirmed


async def run(ctx, link):
    """Read and write a link until it ends."""
    reads = asyncio.ensure_future(_read(ctx, link))
    writes = asyncio.ensure_future(_write(ctx, link))
    link.tasks = (reads, writes)
    try:
        await asyncio.wait(
            link.tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        _close(link)
        # Before anything is awaited: the peer's reset may cancel this
        # very task, and a dead link left first of its group would hold
        # back all messages to that host for good.
        _ended(ctx, link)
        for result in await asyncio.gather(
                *link.tasks, return_exceptions=True):
            _explain(ctx, link, result)


def _explain(ctx, link, result):
    if isinstance(result, exceptions.LinkRefused):
        ctx.peers.refused += 1
        logger.warning("link refused: {}", result)
    elif isinstance(result, Exception) and not isinstance(
            result, _LOST):
        logger.opt(exception=result).error("link failed")


def _close(link):
    link.closed = True
    for one in link.tasks:
        one.cancel()


async def _write(ctx, link):
    dialed = bool(link.host)
    if dialed:
        await _flush(ctx, link, (), nonce=link.nonce)
    while True:
        await link.wake.wait()
        link.wake.clear()
        if not link.session:
            continue
        if not dialed:
            dialed = True
            await _flush(ctx, link, (), nonce=link.nonce)
        group = ctx.peers.links.get(link.host)
        outbox = ctx.peers.outboxes.get(link.host)
        if group and group[0] is link and outbox is not None:
            while outbox.frames:
                await _flush(ctx, link, peers.take(outbox))
        if _beat_due(ctx, link):
            await _flush(ctx, link, ())


def _beat_due(ctx, link):
    span = ctx.daemon.limits.peer_silence_s / TICKS_PER_SILENCE
    unanswered = link.sent < 2 and link.confirmed
    return unanswered or ctx.reactor.seconds() - link.sent_at >= span


async def _flush(ctx, link, frames, nonce=b""):
    link.sent += 1
    link.sent_at = ctx.reactor.seconds()
    batch = peers.new_batch(
        ctx, link.host, link.sent, frames, nonce=nonce,
        session=link.session)
    await link.stream.send_message(wire.seal(ctx.cfg.key, batch))


async def _read(ctx, link):
    while True:
        sealed = await link.stream.recv_message()
        if sealed is None:
            return
        batch = _genuine(ctx, link, sealed)
        link.heard_at = ctx.reactor.seconds()
        if batch.session:
            _confirm(ctx, link)
        peers.receive(ctx, batch)


def _genuine(ctx, link, sealed):
    me = ctx.daemon.me
    try:
        batch = wire.open_sealed(
            ctx.cfg.key, sealed, me.deployment, me.host)
    except wire.WireError as exc:
        raise exceptions.LinkRefused(type(exc).__name__) from exc
    link.heard += 1
    if batch.sequence != link.heard:
        raise exceptions.LinkRefused("a batch out of sequence")
    if link.heard == 1:
        _greet(link, batch)
    if batch.sender != link.host or batch.incarnation != link.incarnation:
        raise exceptions.LinkRefused("another sender on a link")
    _check_session(link, batch)
    return batch


def _greet(link, batch):
    if link.host and batch.sender != link.host:
        raise exceptions.LinkRefused("another host answered")
    if not batch.nonce:
        raise exceptions.LinkRefused("a first batch without nonce")
    link.host = batch.sender
    link.incarnation = batch.incarnation
    link.session = batch.nonce
    link.wake.set()


def _check_session(link, batch):
    # Only a batch made for this very link carries its nonce: one that
    # was recorded on an earlier link can't be played again here.
    if batch.session != link.nonce and (batch.session or batch.frames):
        raise exceptions.LinkRefused("a batch of another link")


def _confirm(ctx, link):
    if link.confirmed:
        return
    link.confirmed = True
    if link in ctx.peers.unconfirmed:
        ctx.peers.unconfirmed.remove(link)
    ctx.peers.links.setdefault(link.host, []).append(link)
    link.wake.set()
    loop.feed(ctx, events.PeerUp(link.host, link.incarnation))


def _ended(ctx, link):
    if link in ctx.peers.unconfirmed:
        ctx.peers.unconfirmed.remove(link)
    group = ctx.peers.links.get(link.host, [])
    if link not in group:
        return
    group.remove(link)
    _lost(ctx, link.host)
    if group:
        group[0].wake.set()
        loop.feed(ctx, events.PeerUp(link.host, group[0].incarnation))
    else:
        _redial(ctx, link.host)


def _redial(ctx, host):
    # Both ends see a link end: one dials at once, the other only if
    # that fails, or every fault would leave two links behind.
    if ctx.stopping or host in ctx.peers.dialing or not (
            membership.is_live(ctx.daemon, host)):
        return
    first = ctx.daemon.me.host < host
    _start_dial(ctx, host, 0.0 if first else REDIAL_SECOND_S)


def _lost(ctx, host):
    _clear_outbox(ctx, host)
    replays.peer_lost(ctx, host)
    loop.feed(ctx, events.PeerDown(host))


def _clear_outbox(ctx, host):
    ctx.peers.outboxes.pop(host, None)


def tick(ctx):
    """Send the heartbeats that are due; close the silent links."""
    silence_s = ctx.daemon.limits.peer_silence_s
    if ctx.stopping:
        return
    ctx.reactor.callLater(silence_s / TICKS_PER_SILENCE, tick, ctx)
    now = ctx.reactor.seconds()
    links = [link for group in ctx.peers.links.values()
             for link in group] + ctx.peers.unconfirmed
    for link in links:
        if now - link.heard_at > silence_s:
            _close(link)
        elif link.session:
            link.wake.set()
