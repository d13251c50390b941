"""One long-lived gRPC stream between two hosts that exchange messages.

Each side's first batch carries a nonce; all later ones carry the
receiver's nonce and a sequence number without gaps, so that a batch
recorded earlier or on another link is refused. A link that received
nothing for ``limits.peer_silence_s``, although a heartbeat was due, is
closed and re-established: its connection may be dead while a new one
works.
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

__all__ = ["Link", "check_links", "handle_full_outbox", "listen",
           "new_link", "run", "stop", "wake"]

NONCE_BYTES = 8
# A sealed batch and its signature, as a message.
MAX_MESSAGE_BYTES = wire.MAX_SEALED_BYTES + 4096
CHECKS_PER_TIMEOUT = 6
REDIAL_MIN_S = 0.1
REDIAL_MAX_S = 2.0
REDIAL_SECONDARY_DELAY_S = 0.5
_CONNECTION_ERRORS = (OSError, grpclib.exceptions.GRPCError, ConnectionError,
                      grpclib.exceptions.StreamTerminatedError,
                      exceptions.LinkRefused)


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """One stream; ``host`` is empty until the peer's first batch.

    A link is confirmed once the peer has sent back this host's nonce.
    """

    stream: typing.Any
    host: str
    nonce: bytes
    last_received_at: float
    last_sent_at: float
    wake: asyncio.Event
    incarnation: int = 0
    peer_nonce: bytes = b""
    sent_count: int = 0
    received_count: int = 0
    confirmed: bool = False
    closed: bool = False
    refused: bool = False
    tasks: tuple = ()


def new_link(ctx, stream, host):
    """Return a link over a gRPC stream; ``host`` is set if dialed."""
    now = ctx.reactor.seconds()
    link = Link(stream, host, secrets.token_bytes(NONCE_BYTES), now, now,
                asyncio.Event())
    ctx.peers.unconfirmed.append(link)
    return link


class _PeerService(crocuskeel_grpc.PeerBase):
    """gRPC service for links dialed by peers."""

    def __init__(self, ctx):
        self.ctx = ctx

    async def Link(self, stream):
        _limit_messages(stream)
        link = new_link(self.ctx, stream, "")
        await run(self.ctx, link)
        if link.refused:
            # The peer may still be sending.
            await stream.cancel()


def _limit_messages(stream):
    """Refuse a large message before it is received.

    grpclib receives any size, and the signature comes with the message.
    """
    received = stream._stream
    recv_data = received.recv_data

    async def recv_limited(size):
        if size > MAX_MESSAGE_BYTES:
            raise exceptions.LinkRefused("message too large")
        return await recv_data(size)

    received.recv_data = recv_limited


async def listen(ctx):
    """Accept links on this host's peer port."""
    ctx.peers.server = grpclib.server.Server([_PeerService(ctx)])
    await ctx.peers.server.start(ctx.cfg.address, ctx.cfg.peer_port)
    check_links(ctx)


def stop(ctx):
    """Close all links and the server."""
    for host in list(ctx.peers.links):
        for link in list(ctx.peers.links[host]):
            _close(link)
    if ctx.peers.server is not None:
        ctx.peers.server.close()


def wake(ctx, host):
    """Flush the host's outbox over its link; dial if there is none."""
    host_links = ctx.peers.links.get(host)
    if host_links:
        host_links[0].wake.set()
    elif host not in ctx.peers.dial_tasks:
        _start_dial(ctx, host, 0.0)


def _start_dial(ctx, host, wait_s):
    ctx.peers.dial_tasks[host] = asyncio.ensure_future(
        _dial(ctx, host, wait_s))


def handle_full_outbox(ctx, host):
    """Close a host's links because its outbox is full."""
    _clear_outbox(ctx, host)
    for link in list(ctx.peers.links.get(host, ())):
        _close(link)


async def _dial(ctx, host, wait_s):
    delay_s = REDIAL_MIN_S
    try:
        await asyncio.sleep(wait_s)
        while not ctx.stopping and not ctx.peers.links.get(host):
            was_confirmed = await _dial_once(ctx, host)
            delay_s = REDIAL_MIN_S if was_confirmed else delay_s
            if not membership.is_live(ctx.daemon, host):
                return
            await asyncio.sleep(delay_s)
            delay_s = min(REDIAL_MAX_S, delay_s * 2)
    except Exception:
        logger.exception("failed to dial peer")
    finally:
        ctx.peers.dial_tasks.pop(host, None)


async def _dial_once(ctx, host):
    # Returns whether the link was confirmed before it ended.
    address = peers.address_of(ctx, host)
    if address is None:
        _peer_down(ctx, host)
        return False
    channel = grpclib.client.Channel(*address)
    link = None
    try:
        stub = crocuskeel_grpc.PeerStub(channel)
        async with stub.Link.open() as stream:
            await stream.send_request()
            _limit_messages(stream)
            link = new_link(ctx, stream, host)
            await run(ctx, link)
    except (*_CONNECTION_ERRORS, grpclib.exceptions.ProtocolError):
        # grpclib raises if a stream is left that neither side has ended;
        # every lost link ends this way.
        pass
    finally:
        channel.close()
    if link is None or not link.confirmed:
        _peer_down(ctx, host)
    return link is not None and link.confirmed


async def run(ctx, link):
    """Read and write a link until it ends."""
    reader = asyncio.ensure_future(_read(ctx, link))
    writer = asyncio.ensure_future(_write(ctx, link))
    link.tasks = (reader, writer)
    try:
        await asyncio.wait(
            link.tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        _close(link)
        # This must precede any await: the peer's reset may cancel this
        # task, and a dead link left first in its host's list would block
        # all messages to that host indefinitely.
        _link_ended(ctx, link)
        for result in await asyncio.gather(
                *link.tasks, return_exceptions=True):
            _log_link_error(ctx, link, result)


def _log_link_error(ctx, link, result):
    if isinstance(result, exceptions.LinkRefused):
        link.refused = True
        ctx.peers.refused_count += 1
        logger.warning("link refused: {}", result)
    elif isinstance(result, Exception) and not isinstance(
            result, _CONNECTION_ERRORS):
        logger.opt(exception=result).error("link failed")


def _close(link):
    link.closed = True
    for task in link.tasks:
        task.cancel()


async def _write(ctx, link):
    nonce_sent = bool(link.host)
    if nonce_sent:
        await _flush(ctx, link, (), nonce=link.nonce)
    while True:
        await link.wake.wait()
        link.wake.clear()
        if not link.peer_nonce:
            continue
        if not nonce_sent:
            nonce_sent = True
            await _flush(ctx, link, (), nonce=link.nonce)
        host_links = ctx.peers.links.get(link.host)
        outbox = ctx.peers.outboxes.get(link.host)
        if host_links and host_links[0] is link and outbox is not None:
            while outbox.frames:
                await _flush(ctx, link, peers.next_batch(outbox))
        if _heartbeat_due(ctx, link):
            await _flush(ctx, link, ())


def _heartbeat_due(ctx, link):
    interval_s = ctx.daemon.limits.peer_silence_s / CHECKS_PER_TIMEOUT
    unanswered = link.sent_count < 2 and link.confirmed
    return unanswered or (
        ctx.reactor.seconds() - link.last_sent_at >= interval_s)


async def _flush(ctx, link, frames, nonce=b""):
    link.sent_count += 1
    link.last_sent_at = ctx.reactor.seconds()
    batch = peers.new_batch(
        ctx, link.host, link.sent_count, frames, nonce=nonce,
        session=link.peer_nonce)
    await link.stream.send_message(wire.seal(ctx.cfg.key, batch))


async def _read(ctx, link):
    while True:
        sealed = await link.stream.recv_message()
        if sealed is None:
            return
        batch = _verify_batch(ctx, link, sealed)
        link.last_received_at = ctx.reactor.seconds()
        if batch.session:
            _confirm_link(ctx, link)
        peers.receive(ctx, batch)


def _verify_batch(ctx, link, sealed):
    identity = ctx.daemon.identity
    try:
        batch = wire.open_sealed(
            ctx.cfg.key, sealed, identity.deployment, identity.host)
    except wire.WireError as exc:
        raise exceptions.LinkRefused(type(exc).__name__) from exc
    link.received_count += 1
    if batch.sequence != link.received_count:
        raise exceptions.LinkRefused("batch out of sequence")
    if link.received_count == 1:
        _handle_first_batch(link, batch)
    if batch.sender != link.host or batch.incarnation != link.incarnation:
        raise exceptions.LinkRefused("batch from another sender")
    _check_session(link, batch)
    return batch


def _handle_first_batch(link, batch):
    if link.host and batch.sender != link.host:
        raise exceptions.LinkRefused("another host answered the dial")
    if not batch.nonce:
        raise exceptions.LinkRefused("first batch has no nonce")
    link.host = batch.sender
    link.incarnation = batch.incarnation
    link.peer_nonce = batch.nonce
    link.wake.set()


def _check_session(link, batch):
    # Only a batch made for this link carries its nonce, so a batch
    # recorded on an earlier link can't be replayed here.
    if batch.session != link.nonce and (batch.session or batch.frames):
        raise exceptions.LinkRefused("batch belongs to another link")


def _confirm_link(ctx, link):
    if link.confirmed:
        return
    link.confirmed = True
    if link in ctx.peers.unconfirmed:
        ctx.peers.unconfirmed.remove(link)
    ctx.peers.links.setdefault(link.host, []).append(link)
    link.wake.set()
    loop.feed(ctx, events.PeerUp(link.host, link.incarnation))


def _link_ended(ctx, link):
    if link in ctx.peers.unconfirmed:
        ctx.peers.unconfirmed.remove(link)
    host_links = ctx.peers.links.get(link.host, [])
    if link not in host_links:
        return
    host_links.remove(link)
    _peer_down(ctx, link.host)
    if host_links:
        host_links[0].wake.set()
        loop.feed(ctx, events.PeerUp(link.host, host_links[0].incarnation))
    else:
        _redial(ctx, link.host)


def _redial(ctx, host):
    # Both ends detect the end of a link. One dials at once, the other
    # only if that fails; otherwise every failure would create two links.
    if ctx.stopping or host in ctx.peers.dial_tasks or not (
            membership.is_live(ctx.daemon, host)):
        return
    dials_first = ctx.daemon.identity.host < host
    _start_dial(ctx, host, 0.0 if dials_first else REDIAL_SECONDARY_DELAY_S)


def _peer_down(ctx, host):
    _clear_outbox(ctx, host)
    replays.fail_peer_requests(ctx, host)
    loop.feed(ctx, events.PeerDown(host))


def _clear_outbox(ctx, host):
    ctx.peers.outboxes.pop(host, None)


def check_links(ctx):
    """Send due heartbeats and close silent links."""
    silence_s = ctx.daemon.limits.peer_silence_s
    if ctx.stopping:
        return
    ctx.reactor.callLater(silence_s / CHECKS_PER_TIMEOUT, check_links, ctx)
    now = ctx.reactor.seconds()
    links = [link for host_links in ctx.peers.links.values()
             for link in host_links] + ctx.peers.unconfirmed
    for link in links:
        if now - link.last_received_at > silence_s:
            _close(link)
        elif link.peer_nonce:
            link.wake.set()
