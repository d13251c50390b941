"""Probes between entry hosts: authenticated datagrams on the peer port."""

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
WINDOW_SIZE = 256


@dataclasses.dataclass(slots=True)
class _ReplayWindow:
    """Sequence numbers received from one incarnation of a sender."""

    incarnation: int
    highest: int = 0
    received: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Datagrams:
    """State of the datagram port."""

    port: object = None
    transport: object = None
    sent_count: int = 0
    windows: dict = dataclasses.field(default_factory=dict)
    last_addresses: dict = dataclasses.field(default_factory=dict)


class _ProbeProtocol(protocol.DatagramProtocol):
    """Verifies received datagrams and passes their messages on."""

    noisy = False

    def __init__(self, ctx):
        self.ctx = ctx

    def datagramReceived(self, data, addr):
        _datagram_received(self.ctx, data, addr)


def new_datagrams():
    """Return the state of a port that is not open yet."""
    return Datagrams()


def listen(ctx):
    """Open the datagram port."""
    state = ctx.peers.datagrams
    port = _ProbeProtocol(ctx)
    state.port = ctx.reactor.listenUDP(
        ctx.cfg.peer_port, port, interface=ctx.cfg.address,
        maxPacketSize=MAX_BYTES)
    state.transport = port.transport


def send(ctx, effect):
    """Send a message of a ``Send`` effect as a datagram."""
    state = ctx.peers.datagrams
    destination = _destination(ctx, effect)
    if destination is None or state.transport is None:
        return
    state.sent_count += 1
    batch = peers.new_batch(
        ctx, effect.host, state.sent_count, [wire.to_frame(effect.message)])
    data = wire.seal(ctx.cfg.key, batch).SerializeToString()
    if len(data) > MAX_BYTES:
        logger.warning(
            "datagram of {} bytes exceeds the size limit; not sent",
            len(data))
        return
    state.transport.write(data, destination)


def _destination(ctx, effect):
    if effect.address:
        return effect.address, effect.port
    address = peers.address_of(ctx, effect.host)
    return address or ctx.peers.datagrams.last_addresses.get(effect.host)


def _datagram_received(ctx, data, addr):
    identity = ctx.daemon.identity
    try:
        sealed = pb.Sealed.FromString(data)
        batch = wire.open_sealed(
            ctx.cfg.key, sealed, identity.deployment, identity.host)
    except (pb_message.DecodeError, wire.WireError):
        ctx.peers.refused_count += 1
        return
    if batch.session or batch.nonce or not _is_new(ctx, batch):
        ctx.peers.refused_count += 1
        return
    if len(ctx.peers.datagrams.last_addresses) < MAX_SENDERS:
        ctx.peers.datagrams.last_addresses[batch.sender] = addr
    peers.receive(ctx, batch, addr[0])


def _is_new(ctx, batch):
    # Datagrams can arrive out of order, so this uses a sliding window
    # rather than a strict sequence. Replayed datagrams and those older
    # than the window are dropped.
    windows = ctx.peers.datagrams.windows
    window = windows.get(batch.sender)
    if window is None or batch.incarnation > window.incarnation:
        if window is None and len(windows) >= MAX_SENDERS:
            return False
        window = windows[batch.sender] = _ReplayWindow(batch.incarnation)
    if batch.incarnation < window.incarnation:
        # An older process of the same name must learn of the newer one:
        # membership answers its probes and ignores its other messages.
        return True
    sequence = batch.sequence
    if (sequence in window.received
            or sequence <= window.highest - WINDOW_SIZE):
        return False
    window.received.add(sequence)
    if sequence > window.highest:
        window.highest = sequence
        window.received = {number for number in window.received
                           if number > sequence - WINDOW_SIZE}
    return True
