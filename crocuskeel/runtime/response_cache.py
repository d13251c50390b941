"""Cache of responses, so that a caller can receive them again.

Limited in total size and in time. Readers can follow a response that is
still being received.
"""

import dataclasses

__all__ = ["CachedResponse", "append", "fail", "find", "finish", "new_cache",
           "new_response", "read", "remove_expired", "set_head"]

MAX_BYTES = 32 * 1024 * 1024
OPEN = "open"
DONE = "done"
FAILED = "failed"
_BOUNDARY = b"\n\n"


@dataclasses.dataclass(slots=True)
class CachedResponse:
    """One cached response.

    ``updated_at`` is when it was created, ended or last found in use.
    """

    rid: str
    proof: str
    updated_at: float
    state: str = OPEN
    http_status: int = 0
    content_type: bytes = b""
    chunks: list = dataclasses.field(default_factory=list)
    size: int = 0
    readers: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Cache:
    """All cached responses, oldest first; ``size`` is in bytes."""

    ttl_s: float
    max_bytes: int
    responses: dict = dataclasses.field(default_factory=dict)
    size: int = 0


def new_cache(ttl_s, max_bytes=MAX_BYTES):
    """Return an empty cache that keeps responses for ``ttl_s``."""
    return Cache(ttl_s, max_bytes)


def new_response(ctx, rid, proof):
    """Start caching a request's response, replacing an earlier one."""
    _remove(ctx.response_cache, rid)
    response = CachedResponse(rid, proof, ctx.reactor.seconds())
    ctx.response_cache.responses[rid] = response
    return response


def find(ctx, rid):
    """Return the :class:`CachedResponse` of a request or None."""
    return ctx.response_cache.responses.get(rid)


def set_head(response, http_status, content_type):
    """Store the head of a response."""
    response.http_status = http_status
    response.content_type = content_type


def append(ctx, response, data):
    """Append data to a response."""
    cache = ctx.response_cache
    response.chunks.append(data)
    response.size += len(data)
    cache.size += len(data)
    for reader in response.readers:
        reader("more", data, response)
    if cache.size > cache.max_bytes:
        _evict_oldest(cache)


def finish(ctx, response):
    """Mark a response as complete."""
    _close(ctx, response, DONE, "end")


def fail(ctx, rid):
    """Remove a request's response that will never be complete."""
    response = ctx.response_cache.responses.get(rid)
    if response is not None and response.state == OPEN:
        _close(ctx, response, FAILED, "failed")
        _remove(ctx.response_cache, rid)


def _close(ctx, response, state, chunk_status):
    response.state = state
    response.updated_at = ctx.reactor.seconds()
    readers, response.readers = response.readers, []
    for reader in readers:
        reader(chunk_status, b"", response)


def read(ctx, rid, after, proof, reader):
    """Pass a response to ``reader(status, data, response)``.

    ``status`` has the values of ``ReplayChunk.status``. The first
    ``after`` events are skipped; ``proof`` must match the cached one
    unless it is empty.
    """
    response = ctx.response_cache.responses.get(rid)
    if response is None or not response.http_status or (
            proof and proof != response.proof):
        reader("unknown", b"", None)
        return
    data = b"".join(response.chunks)
    if after:
        parts = data.split(_BOUNDARY, after)
        data = parts[-1] if len(parts) > after else b""
    reader("more", data, response)
    if response.state == DONE:
        reader("end", b"", response)
    else:
        response.readers.append(reader)


def remove_expired(ctx, now):
    """Remove responses whose ``updated_at`` is older than the TTL."""
    cache = ctx.response_cache
    expired_before = now - cache.ttl_s
    for response in list(cache.responses.values()):
        if response.updated_at > expired_before:
            break
        if response.state == OPEN and response.rid in ctx.exchanges:
            response.updated_at = now
            continue
        _remove(cache, response.rid)


def _evict_oldest(cache):
    for rid in list(cache.responses):
        if cache.size <= cache.max_bytes:
            return
        _remove(cache, rid)


def _remove(cache, rid):
    response = cache.responses.pop(rid, None)
    if response is None:
        return
    cache.size -= response.size
    readers, response.readers = response.readers, []
    for reader in readers:
        reader("failed", b"", response)
