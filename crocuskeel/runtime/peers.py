"""Messages to and from other entry hosts.

Stream messages are queued in a bounded outbox for each host and sent in
batches over a link (``links``); probes are sent at once as datagrams.
"""

import collections
import dataclasses
import typing

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.runtime import loop
from crocuskeel.runtime import records
from crocuskeel import wire
from crocuskeel.wire import crocuskeel_pb2 as pb

__all__ = ["Outbox", "Peers", "address_of", "handlers", "new_batch",
           "new_peers", "next_batch", "receive", "send"]

MAX_OUTBOX_BYTES = 16 * 1024 * 1024
MAX_BATCH_BYTES = 1024 * 1024
_DATAGRAM_MESSAGES = (messages.Probe, messages.ProbeAck, messages.ProbeVia)


@dataclasses.dataclass(slots=True)
class Outbox:
    """Encoded messages queued for a link to one host."""

    frames: collections.deque = dataclasses.field(
        default_factory=collections.deque)
    size: int = 0


@dataclasses.dataclass(slots=True)
class Peers:
    """State of the connections to peers.

    ``wake(ctx, host)`` and ``handle_full_outbox(ctx, host)`` are
    functions of ``links``. ``links`` maps a host to its confirmed links;
    the first one sends. ``replay_requests`` are the replays requested
    from peers, by request id. ``message_handlers`` maps a message class
    to ``fn(ctx, batch, message)``, which handles it instead of the core.
    """

    wake: typing.Callable
    handle_full_outbox: typing.Callable
    send_datagram: typing.Callable
    outboxes: dict = dataclasses.field(default_factory=dict)
    links: dict = dataclasses.field(default_factory=dict)
    unconfirmed: list = dataclasses.field(default_factory=list)
    dial_tasks: dict = dataclasses.field(default_factory=dict)
    replay_requests: dict = dataclasses.field(default_factory=dict)
    message_handlers: dict = dataclasses.field(default_factory=dict)
    refused_count: int = 0
    server: typing.Any = None
    datagrams: typing.Any = None


def new_peers(wake, handle_full_outbox, send_datagram):
    """Return the state of a daemon that has no links."""
    return Peers(wake, handle_full_outbox, send_datagram)


def handlers():
    """Return the handlers of the effects that send to peers."""
    return {effects.Send: _send, effects.Broadcast: _broadcast}


def _send(ctx, effect):
    if isinstance(effect.message, _DATAGRAM_MESSAGES):
        ctx.peers.send_datagram(ctx, effect)
    else:
        send(ctx, effect.host, effect.message)


def _broadcast(ctx, effect):
    for host in membership.live(ctx.daemon):
        if host != ctx.daemon.identity.host:
            send(ctx, host, effect.message)


def send(ctx, host, message):
    """Queue a message for a host."""
    outbox = ctx.peers.outboxes.get(host)
    if outbox is None:
        outbox = ctx.peers.outboxes[host] = Outbox()
    frame = wire.to_frame(message)
    outbox.frames.append(frame)
    outbox.size += frame.ByteSize()
    if outbox.size > MAX_OUTBOX_BYTES:
        # The peer can't keep up. Dropping single messages would go
        # unnoticed; after a lost link, the core registers its work again.
        ctx.peers.handle_full_outbox(ctx, host)
    else:
        ctx.peers.wake(ctx, host)


def next_batch(outbox):
    """Remove the next batch of frames from an outbox and return it."""
    frames = []
    size = 0
    while outbox.frames and (not frames or size < MAX_BATCH_BYTES):
        frame = outbox.frames.popleft()
        size += frame.ByteSize()
        frames.append(frame)
    outbox.size -= size
    return frames


def new_batch(ctx, receiver, sequence, frames=(), **fields):
    """Return a ``Batch`` from this host with a clock stamp."""
    timestamp = records.clock_stamp(ctx)
    identity = ctx.daemon.identity
    return pb.Batch(
        deployment=identity.deployment, sender=identity.host,
        incarnation=identity.incarnation, receiver=receiver,
        sequence=sequence, generation=follower.generation(ctx.daemon),
        clock_ms=timestamp.ms, clock_count=timestamp.count,
        frames=frames, **fields)


def receive(ctx, batch, address=""):
    """Handle the messages of a verified batch."""
    records.merge_clock(ctx, (batch.clock_ms, batch.clock_count))
    for frame in batch.frames:
        _receive_frame(ctx, batch, frame, address)


def _receive_frame(ctx, batch, frame, address):
    try:
        message = wire.from_frame(frame)
    except wire.BadMessage:
        # A message of a newer version; any retry is up to its sender.
        ctx.peers.refused_count += 1
        return
    handler = ctx.peers.message_handlers.get(type(message))
    if handler is not None:
        handler(ctx, batch, message)
        return
    loop.feed(ctx, events.Received(
        batch.sender, batch.incarnation, message, batch.generation,
        address))


def address_of(ctx, host):
    """Return a host's (address, peer port), None if unknown."""
    info = membership.member_info(ctx.daemon, host)
    if info is not None and info.peer_port:
        return info.address, info.peer_port
    for name, address, port in ctx.cfg.seeds:
        if name == host:
            return address, port
    return None
