"""Reading of response bodies with a size limit."""

import treq

__all__ = ["read"]


async def read(response, max_bytes):
    """Return a body, truncated after about ``max_bytes`` bytes.

    An endless report must not exhaust memory; a truncated one fails to
    parse and is treated as missing.
    """
    chunks = []
    size = 0

    def add_chunk(chunk):
        nonlocal size
        size += len(chunk)
        if size <= max_bytes:
            chunks.append(chunk)

    await treq.collect(response, add_chunk)
    return b"".join(chunks)
