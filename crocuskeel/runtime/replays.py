"""Answers a caller from a kept answer, of this host or of a peer."""

import dataclasses

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.runtime import callers
from crocuskeel.runtime import kept
from crocuskeel.runtime import loop
from crocuskeel.runtime import peers

__all__ = ["Ask", "chunk_received", "ask_received", "handlers",
           "peer_lost", "sweep"]

ANSWER_S = 3.0
BOUNDARY = b"\n\n"
CHUNK_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class Ask:
    """A caller whose answer is asked of a peer."""

    rid: str
    host: str
    last_at: float


def handlers():
    """Return the handlers of replays."""
    return {effects.Replay: _replay, effects.ReplayFrom: _replay_from}


def _replay(ctx, effect):
    def reader(word, data, answer):
        if answer is None:
            _deliver(ctx, effect.rid, word, data, 0, b"")
        else:
            _deliver(ctx, effect.rid, word, data, answer.status,
                     answer.content_type)

    kept.read(ctx, effect.held, effect.after, "", reader)


def _deliver(ctx, rid, word, data, status, content_type):
    held = ctx.held.get(rid)
    if held is None:
        return
    if word == "more" and not data:
        return
    if word == "more":
        if not held.begun:
            callers.begin(held, status, content_type)
        if held.sse:
            held.events += data.count(BOUNDARY)
        callers.write(held, data)
        return
    if word == "end":
        if not held.begun:
            callers.begin(held, status, content_type)
        callers.end(ctx, held)
        _closed(ctx, rid, events.AttemptEnd.DONE)
        return
    _closed(ctx, rid, events.AttemptEnd.GONE)


def _closed(ctx, rid, end):
    loop.feed(ctx, events.AttemptClosed(rid, 0, end))


def _replay_from(ctx, effect):
    if effect.rid not in ctx.held:
        return
    ctx.peers.asks[effect.rid] = Ask(
        effect.rid, effect.host, ctx.reactor.seconds())
    peers.send(ctx, effect.host, messages.ReplayAsk(
        effect.held, effect.rid, effect.after, effect.proof))


def ask_received(ctx, batch, ask):
    """Answer a peer's ``ReplayAsk`` from what this host keeps."""
    def reader(word, data, answer):
        status = answer.status if answer else 0
        kind = answer.content_type.decode("latin-1") if answer else ""
        for piece in _pieces(data):
            peers.send(ctx, batch.sender, messages.ReplayChunk(
                ask.ask, word, piece, status, kind))

    # The core must know: it would cancel a stream that nobody reads.
    loop.feed(ctx, events.Received(
        batch.sender, batch.incarnation, ask, batch.generation))
    kept.read(ctx, ask.rid, ask.after, ask.proof, reader)


def _pieces(data):
    # Cut after whole events, so that a caller whose relay ends midway
    # can go on from an event elsewhere.
    out = []
    at = 0
    while len(data) - at > CHUNK_BYTES:
        cut = data.rfind(BOUNDARY, at, at + CHUNK_BYTES)
        end = cut + len(BOUNDARY) if cut >= 0 else at + CHUNK_BYTES
        out.append(data[at:end])
        at = end
    return [*out, data[at:]]


def chunk_received(ctx, batch, chunk):
    """Relay a peer's ``ReplayChunk`` to the caller who waits for it."""
    ask = ctx.peers.asks.get(chunk.ask)
    if ask is None or ask.host != batch.sender:
        return
    ask.last_at = ctx.reactor.seconds()
    if chunk.status != "more":
        del ctx.peers.asks[chunk.ask]
    _deliver(ctx, chunk.ask, chunk.status, chunk.data,
             chunk.http_status, chunk.content_type.encode("latin-1"))


def peer_lost(ctx, host):
    """End what was asked of a peer whose link is lost."""
    for ask in list(ctx.peers.asks.values()):
        if ask.host == host:
            _give_up(ctx, ask)


def sweep(ctx, now):
    """Give up asks that a peer does not answer."""
    for ask in list(ctx.peers.asks.values()):
        held = ctx.held.get(ask.rid)
        begun = held is not None and held.begun
        if held is None or (not begun and ask.last_at + ANSWER_S < now):
            _give_up(ctx, ask)


def _give_up(ctx, ask):
    ctx.peers.asks.pop(ask.rid, None)
    _closed(ctx, ask.rid, events.AttemptEnd.GONE)
