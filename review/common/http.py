"""Minimal HTTP/1.1 over asyncio streams, for servers and clients."""

import asyncio
import dataclasses

MAX_HEAD = 65536


@dataclasses.dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    first: str
    headers: dict
    body: bytes = b""

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Return the head of a message, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_request(reader):
    """Return a whole request, or None at the end of the connection."""
    message = await read_head(reader)
    if message is not None:
        size = int(message.headers.get("content-length", "0"))
        if size:
            message.body = await reader.readexactly(size)
    return message


def head(first, headers):
    """Return the bytes of a head; ``headers`` holds (name, value)."""
    rows = [first, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(rows).encode("latin-1")


def answer(status, headers=(), body=b""):
    """Return the bytes of an answer with a length."""
    return head(f"HTTP/1.1 {status} X",
                [*headers, ("Content-Length", len(body))]) + body


async def read_answer(reader, on_piece=None):
    """Return a whole answer; raises if the connection ends before its end.

    ``on_piece`` is called with each piece of the body. What had arrived of
    the body is in the exception's ``got``.
    """
    message = await read_head(reader)
    if message is None:
        raise ConnectionResetError("closed without an answer")
    pieces = []

    def add(piece):
        pieces.append(piece)
        if on_piece is not None:
            on_piece(piece)

    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
                add(piece)
        else:
            left = int(message.headers.get("content-length", "0"))
            while left:
                piece = await reader.read(min(left, 16384))
                if not piece:
                    raise ConnectionResetError("closed within the body")
                left -= len(piece)
                add(piece)
    except (OSError, EOFError, ValueError) as exc:
        exc.got = message, b"".join(pieces)
        raise
    message.body = b"".join(pieces)
    return message
