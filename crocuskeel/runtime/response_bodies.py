"""Reading of response bodies with a size limit."""

from crocuskeel import http_limits

__all__ = ["read"]


async def read(response, max_bytes):
    """Return a body, empty if it has more than ``max_bytes``.

    An endless report must not exhaust memory; an empty one fails to parse
    and is treated as missing.
    """
    try:
        return await http_limits.read_body(response, max_bytes, True)
    except http_limits.TooLarge:
        return b""
