"""Probes between entry hosts: sealed datagrams at the peer port."""

import dataclasses

from google.protobuf import message as pb_message
from loguru import logger
from twisted.internet import protocol

from crocuskeel.runtime import peers
from crocuskeel import wire
from crocuskeel.wire import crocuskeel_pb2 as pb

__all__ = ["Datagrams", "listen", "new_datagrams", "send"]

MAX_BYTES = 8 * 1024
MAX_SENDERS = 4096
WINDOW = 256


@dataclasses.dataclass(slots=True)
class _Seen:
    """Sequence numbers seen of one sender's incarnation."""

    incarnation: int
    highest: int = 0
    recent: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Datagrams:
    """State of the datagram port."""

    port: object = None
    transport: object = None
    sent: int = 0
    seen: dict = dataclasses.field(default_factory=dict)
    sources: dict = dataclasses.field(default_factory=dict)


class _Port(protocol.DatagramProtocol):
    """Opens what arrives and hands it on."""

    noisy = False

    def __init__(self, ctx):
        self.ctx = ctx

    def datagramReceived(self, data, addr):
        _received(self.ctx, data, addr)


def new_datagrams():
    """Return the state of a port that is not open yet."""
    return Datagrams()


def listen(ctx):
    """Open the datagram port."""
    state = ctx.peers.datagrams
    port = _Port(ctx)
    state.port = ctx.reactor.listenUDP(
        ctx.cfg.peer_port, port, interface=ctx.cfg.address,
        maxPacketSize=MAX_BYTES)
    state.transport = port.transport


def send(ctx, effect):
    """Send a message of a ``Send`` effect as a datagram."""
    state = ctx.peers.datagrams
    place = _place(ctx, effect)
    if place is None or state.transport is None:
        return
    state.sent += 1
    batch = peers.new_batch(
        ctx, effect.host, state.sent, [wire.to_frame(effect.message)])
    data = wire.seal(ctx.cfg.key, batch).SerializeToString()
    if len(data) > MAX_BYTES:
        logger.warning("a datagram of {} bytes is not sent", len(data))
        return
    state.transport.write(data, place)


def _place(ctx, effect):
    if effect.address:
        return effect.address, effect.port
    known = peers.address_of(ctx, effect.host)
    return known or ctx.peers.datagrams.sources.get(effect.host)


def _received(ctx, data, addr):
    me = ctx.daemon.me
    try:
        sealed = pb.Sealed.FromString(data)
        batch = wire.open_sealed(
            ctx.cfg.key, sealed, me.deployment, me.host)
    except (pb_message.DecodeError, wire.WireError):
        ctx.peers.refused += 1
        return
    if batch.session or batch.nonce or not _fresh(ctx, batch):
        ctx.peers.refused += 1
        return
    if len(ctx.peers.datagrams.sources) < MAX_SENDERS:
        ctx.peers.datagrams.sources[batch.sender] = addr
    peers.receive(ctx, batch, addr[0])


def _fresh(ctx, batch):
    # Datagrams overtake each other, so a window and not a strict order;
    # one that is played again or is older than the window is dropped.
    seen = ctx.peers.datagrams.seen
    known = seen.get(batch.sender)
    if known is None or batch.incarnation > known.incarnation:
        if known is None and len(seen) >= MAX_SENDERS:
            return False
        known = seen[batch.sender] = _Seen(batch.incarnation)
    if batch.incarnation < known.incarnation:
        # An older process of the same name has to be told of the newer
        # one; membership answers its probes and ignores all else.
        return True
    number = batch.sequence
    if number in known.recent or number <= known.highest - WINDOW:
        return False
    known.recent.add(number)
    if number > known.highest:
        known.highest = number
        known.recent = {each for each in known.recent
                        if each > number - WINDOW}
    return True
