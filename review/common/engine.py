"""A stand-in of an engine that runs calls, as PROTOCOL.md describes it."""

import asyncio
import hashlib

from review.common import http

STAMP = "X-Crocuskeel-Server-Stamp"
REQUEST_ID = "X-Crocuskeel-Request-Id"


class Engine:
    """One boot of an engine with an entry in the store.

    ``runs`` holds a row for each request that it began to run:
    (time, request id). ``plan(request)`` returns (work in s, size of the
    answer's body).
    """

    def __init__(self, record, store, sid, service, zone, plan, slots=6):
        self.record = record
        self.store = store
        self.sid = sid
        self.service = service
        self.zone = zone
        self.plan = plan
        self.slots = slots
        self.runs = []
        self.working = set()
        self.writers = set()
        self.server = None
        self.address = ""
        self.leaving = False
        self.is_up = False

    def entry(self, state="ready"):
        """Return the engine's entry for the store."""
        return {"Service": self.service, "Addr": self.address,
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": state, "ColdLeftMs": 0, "Seq": 1}

    async def start(self, ip):
        """Listen on a free port and register."""
        self.server = await asyncio.start_server(self._serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        self.is_up = True
        self.store.put("servers", self.sid, self.entry())

    def drain(self):
        """Report that it is draining; return the time of the store's ack."""
        self.leaving = True
        self.store.put("servers", self.sid, self.entry("draining"))
        return self.record.add("engine_draining", sid=self.sid)

    def exit(self):
        """End the process: its connections end, its entry is removed."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.store.remove("servers", self.sid)
        self.record.add("engine_exit", sid=self.sid,
                        at_work=len(self.working))

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await http.read_request(reader)
                if request is None:
                    break
                await self._answer(request, writer)
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        if request.target == "/health":
            status = 503 if self.leaving else 200
            writer.write(http.answer(
                status, [("X-Crocuskeel-Instance", self.sid)]))
            return
        rid = request.headers.get("x-crocuskeel-request-id", "")
        expected = request.headers.get("x-crocuskeel-expect-instance")
        if expected and expected != self.sid:
            self.record.add("engine_421", sid=self.sid, rid=rid)
            writer.write(http.answer(
                421, [("X-Crocuskeel-Instance", self.sid)]))
            return
        load = ("X-Crocuskeel-Server-Load",
                f"{len(self.working)},0,{self.slots}")
        if len(self.working) >= self.slots:
            writer.write(http.answer(
                503, [("X-Crocuskeel-Not-Run", 1), (REQUEST_ID, rid), load]))
            return
        at = self.record.add("engine_runs", sid=self.sid, rid=rid)
        self.runs.append((at, rid))
        self.working.add(rid)
        try:
            work_s, size = self.plan(request)
            await asyncio.sleep(work_s)
        finally:
            self.working.discard(rid)
        self.record.add("engine_answers", sid=self.sid, rid=rid, bytes=size)
        headers = [(REQUEST_ID, rid), (STAMP, f"stamp.{self.sid}.{rid}"),
                   load]
        if self.leaving:
            headers.append(("Connection", "close"))
        writer.write(http.answer(200, headers, body_of(rid, size)))
        await writer.drain()


def body_of(rid, size):
    """Return the body of the answer to a request."""
    seed = hashlib.sha256(rid.encode()).hexdigest().encode()
    return (seed * (size // len(seed) + 1))[:size]
