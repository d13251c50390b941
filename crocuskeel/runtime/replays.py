"""Replays a response to a caller from the cache of this host or a peer."""

import dataclasses

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.runtime import callers
from crocuskeel.runtime import loop
from crocuskeel.runtime import peers
from crocuskeel.runtime import response_cache

__all__ = ["ReplayRequest", "fail_expired", "fail_peer_requests",
           "handle_replay_ask", "handle_replay_chunk", "handlers"]

RESPONSE_TIMEOUT_S = 3.0
BOUNDARY = b"\n\n"
CHUNK_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class ReplayRequest:
    """A replay requested from a peer for a caller."""

    rid: str
    host: str
    last_data_at: float


def handlers():
    """Return the handlers of the replay effects."""
    return {effects.Replay: _replay, effects.ReplayFrom: _replay_from}


def _replay(ctx, effect):
    def reader(status, data, cached):
        if cached is None:
            _write_chunk(ctx, effect.rid, status, data, 0, b"")
        else:
            _write_chunk(ctx, effect.rid, status, data,
                         cached.http_status, cached.content_type)

    response_cache.read(ctx, effect.original_rid, effect.after, "", reader)


def _write_chunk(ctx, rid, status, data, http_status, content_type):
    exchange = ctx.exchanges.get(rid)
    if exchange is None:
        return
    if status == "more" and not data:
        return
    if status == "more":
        if not exchange.response_started:
            callers.start_response(exchange, http_status, content_type)
        if exchange.is_sse:
            exchange.event_count += data.count(BOUNDARY)
        callers.write(exchange, data)
        return
    if status == "end":
        if not exchange.response_started:
            callers.start_response(exchange, http_status, content_type)
        callers.finish_response(ctx, exchange)
        _report_closed(ctx, rid, events.AttemptEnd.DONE)
        return
    _report_closed(ctx, rid, events.AttemptEnd.STREAM_UNKNOWN)


def _report_closed(ctx, rid, end):
    loop.feed(ctx, events.AttemptClosed(rid, 0, end))


def _replay_from(ctx, effect):
    if effect.rid not in ctx.exchanges:
        return
    ctx.peers.replay_requests[effect.rid] = ReplayRequest(
        effect.rid, effect.host, ctx.reactor.seconds())
    peers.send(ctx, effect.host, messages.ReplayAsk(
        effect.original_rid, effect.rid, effect.after, effect.proof))


def handle_replay_ask(ctx, batch, request):
    """Answer a peer's ``ReplayAsk`` from this host's response cache."""
    def reader(status, data, cached):
        http_status = cached.http_status if cached else 0
        content_type = cached.content_type.decode("latin-1") if cached else ""
        for part in _split_data(data):
            peers.send(ctx, batch.sender, messages.ReplayChunk(
                request.ask, status, part, http_status, content_type))

    # The core must know, or it would cancel the stream as unread.
    loop.feed(ctx, events.Received(
        batch.sender, batch.incarnation, request, batch.generation))
    response_cache.read(ctx, request.rid, request.after, request.proof, reader)


def _split_data(data):
    # Splits after complete events, so that a caller whose replay ends
    # midway can resume after an event on another host.
    parts = []
    start = 0
    while len(data) - start > CHUNK_BYTES:
        cut = data.rfind(BOUNDARY, start, start + CHUNK_BYTES)
        end = cut + len(BOUNDARY) if cut >= 0 else start + CHUNK_BYTES
        parts.append(data[start:end])
        start = end
    return [*parts, data[start:]]


def handle_replay_chunk(ctx, batch, chunk):
    """Write a peer's ``ReplayChunk`` to the caller waiting for it."""
    request = ctx.peers.replay_requests.get(chunk.ask)
    if request is None or request.host != batch.sender:
        return
    request.last_data_at = ctx.reactor.seconds()
    if chunk.status != "more":
        del ctx.peers.replay_requests[chunk.ask]
    _write_chunk(ctx, chunk.ask, chunk.status, chunk.data,
                 chunk.http_status, chunk.content_type.encode("latin-1"))


def fail_peer_requests(ctx, host):
    """Fail the replays requested from a peer whose link is lost."""
    for request in list(ctx.peers.replay_requests.values()):
        if request.host == host:
            _fail_replay(ctx, request)


def fail_expired(ctx, now):
    """Fail replay requests that a peer does not answer."""
    for request in list(ctx.peers.replay_requests.values()):
        exchange = ctx.exchanges.get(request.rid)
        started = exchange is not None and exchange.response_started
        if exchange is None or (
                not started
                and request.last_data_at + RESPONSE_TIMEOUT_S < now):
            _fail_replay(ctx, request)


def _fail_replay(ctx, request):
    ctx.peers.replay_requests.pop(request.rid, None)
    _report_closed(ctx, request.rid, events.AttemptEnd.STREAM_UNKNOWN)
