"""Clients that keep their connections, as PROTOCOL.md describes them."""

import asyncio
import socket

from review.common import engine
from review.common import http

HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"


class Client:
    """A client with a kept connection to one host.

    With ``rate`` it reads an answer's body at so many bytes a second, and its
    receive buffer is small, as on a slow link.
    """

    def __init__(self, record, address, rate=None):
        self.record = record
        self.address = address
        self.rate = rate
        self.reader = None
        self.writer = None

    async def connect(self):
        """Connect; raises OSError."""
        sock = socket.socket()
        sock.setblocking(False)
        limit = 65536
        if self.rate is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            limit = 4096
        loop = asyncio.get_running_loop()
        await asyncio.wait_for(
            loop.sock_connect(sock, self.address), 1.0)
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=limit)

    async def send(self, rid, method, path, body=b"", deadline_ms=3000,
                   headers=()):
        """Send a request; return (status, body, how the answer ended).

        The status is 0 if no whole head came; the end is "whole" or the
        reason why the answer isn't.
        """
        if self.writer is None:
            try:
                await self.connect()
            except (OSError, asyncio.TimeoutError) as exc:
                self.record.add("no_connection", rid=rid, why=repr(exc))
                return 0, b"", "no connection"
        rows = [("Host", HOST), (engine.REQUEST_ID, rid),
                ("X-Crocuskeel-Deadline-Ms", deadline_ms),
                ("Authorization", f"Bearer {KEY}"), *headers]
        if body or method != "GET":
            rows.append(("Content-Length", len(body)))
        at = self.record.add("client_sends", rid=rid, method=method,
                             path=path, host=self.address[0])
        try:
            self.writer.write(http.head(f"{method} {path} HTTP/1.1", rows)
                              + body)
            status, got, end = await asyncio.wait_for(
                self._receive(), deadline_ms / 1000)
        except asyncio.TimeoutError:
            status, got, end = 0, b"", "time limit"
        except OSError as exc:
            status, got, end = 0, b"", repr(exc)
        took = self.record.now() - at
        self.record.add("client_got", rid=rid, status=status,
                        bytes=len(got), end=end.replace(" ", "_"),
                        took=f"{took:.3f}")
        if end != "whole":
            self.close()
        return status, got, end

    async def _receive(self):
        if self.rate is None:
            return await self._read(http.read_answer(self.reader))
        return await self._read(self._read_slowly())

    async def _read(self, reading):
        try:
            message = await reading
        except (OSError, EOFError, ValueError) as exc:
            message, body = getattr(exc, "got", (None, b""))
            status = message.status if message is not None else 0
            return status, body, f"broken off: {exc!r}"
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        return message.status, message.body, "whole"

    async def _read_slowly(self):
        message = await http.read_head(self.reader)
        if message is None:
            raise ConnectionResetError("closed without an answer")
        left = int(message.headers.get("content-length", "0"))
        pieces = []
        step = max(1, int(self.rate * 0.05))
        while left:
            await asyncio.sleep(0.05)
            due = min(left, step)
            while due:
                try:
                    piece = await self.reader.read(due)
                    if not piece:
                        raise ConnectionResetError("closed within the body")
                except OSError as exc:
                    exc.got = message, b"".join(pieces)
                    raise
                due -= len(piece)
                left -= len(piece)
                pieces.append(piece)
        message.body = b"".join(pieces)
        return message

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = self.reader = None
