"""Messages to and from other entry hosts.

Stream messages wait in a bounded outbox for each host and go out in
batches over a link (``links``); probes go at once as datagrams.
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
           "new_peers", "receive", "send", "take"]

MAX_OUTBOX_BYTES = 16 * 1024 * 1024
MAX_BATCH_BYTES = 1024 * 1024
_DATAGRAMS = (messages.Probe, messages.ProbeAck, messages.ProbeVia)


@dataclasses.dataclass(slots=True)
class Outbox:
    """Encoded messages that wait for a link to one host."""

    frames: collections.deque = dataclasses.field(
        default_factory=collections.deque)
    size: int = 0


@dataclasses.dataclass(slots=True)
class Peers:
    """``wake(ctx, host)`` and ``overflow(ctx, host)`` belong to links.

    ``links`` maps a host to its confirmed links; the first one sends.
    ``asks`` are the replays asked of peers, by request id.
    ``takers`` maps a message's class to what takes it in the core's
    place, as ``fn(ctx, batch, message)``.
    """

    wake: typing.Callable
    overflow: typing.Callable
    send_datagram: typing.Callable
    outboxes: dict = dataclasses.field(default_factory=dict)
    links: dict = dataclasses.field(default_factory=dict)
    unconfirmed: list = dataclasses.field(default_factory=list)
    dialing: dict = dataclasses.field(default_factory=dict)
    asks: dict = dataclasses.field(default_factory=dict)
    takers: dict = dataclasses.field(default_factory=dict)
    refused: int = 0
    server: typing.Any = None
    datagrams: typing.Any = None


def new_peers(wake, overflow, send_datagram):
    """Return the state of a daemon without links."""
    return Peers(wake, overflow, send_datagram)


def handlers():
    """Return the handlers of messages to peers."""
    return {effects.Send: _send, effects.Broadcast: _broadcast}


def _send(ctx, effect):
    if isinstance(effect.message, _DATAGRAMS):
        ctx.peers.send_datagram(ctx, effect)
    else:
        send(ctx, effect.host, effect.message)


def _broadcast(ctx, effect):
    for host in membership.live(ctx.daemon):
        if host != ctx.daemon.me.host:
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
        # A peer that does not keep up: dropping messages one by one
        # would go unseen, a lost link is made good by registering anew.
        ctx.peers.overflow(ctx, host)
    else:
        ctx.peers.wake(ctx, host)


def take(outbox):
    """Take the next batch of frames out of an outbox."""
    out = []
    size = 0
    while outbox.frames and (not out or size < MAX_BATCH_BYTES):
        frame = outbox.frames.popleft()
        size += frame.ByteSize()
        out.append(frame)
    outbox.size -= size
    return out


def new_batch(ctx, receiver, sequence, frames=(), **marks):
    """Return a ``Batch`` of this host, stamped."""
    when = records.stamp(ctx)
    me = ctx.daemon.me
    return pb.Batch(
        deployment=me.deployment, sender=me.host,
        incarnation=me.incarnation, receiver=receiver, sequence=sequence,
        generation=follower.generation(ctx.daemon), clock_ms=when.ms,
        clock_count=when.count, frames=frames, **marks)


def receive(ctx, batch, address=""):
    """Take in the messages of a batch that was found genuine."""
    records.heard(ctx, (batch.clock_ms, batch.clock_count))
    for frame in batch.frames:
        _one(ctx, batch, frame, address)


def _one(ctx, batch, frame, address):
    try:
        message = wire.from_frame(frame)
    except wire.BadMessage:
        # A newer version's message; its sender will ask again or not.
        ctx.peers.refused += 1
        return
    taker = ctx.peers.takers.get(type(message))
    if taker is not None:
        taker(ctx, batch, message)
        return
    loop.feed(ctx, events.Received(
        batch.sender, batch.incarnation, message, batch.generation,
        address))


def address_of(ctx, host):
    """Return a host's (address, peer port), None if not known."""
    info = membership.info(ctx.daemon, host)
    if info is not None and info.peer_port:
        return info.address, info.peer_port
    for name, address, port in ctx.cfg.seeds:
        if name == host:
            return address, port
    return None
