"""A steady load of calls from clients with kept connections."""

import asyncio
import itertools

from review.common import client as clients
from review.common import engine as engines

SIZE = 800


class Traffic:
    """Sends unsafe calls to all hosts in turn until it is stopped.

    ``results`` holds (time of sending, request id, status, whether the
    answer is the engine's whole one).
    """

    def __init__(self, record, fleet, path, interval_s):
        self.record = record
        self.fleet = fleet
        self.path = path
        self.interval_s = interval_s
        self.results = []
        self.idle = {}
        self.numbers = itertools.count()
        self.task = None
        self.calls = set()

    def start(self):
        """Begin to send."""
        self.task = asyncio.ensure_future(self._run())

    async def stop(self):
        """Send no more, and wait for what was sent."""
        self.task.cancel()
        if self.calls:
            await asyncio.wait(self.calls)

    async def _run(self):
        while True:
            number = next(self.numbers)
            call = asyncio.ensure_future(self._call(number))
            self.calls.add(call)
            call.add_done_callback(self.calls.discard)
            await asyncio.sleep(self.interval_s)

    async def _call(self, number):
        index = number % len(self.fleet.ips)
        idle = self.idle.setdefault(index, [])
        each = idle.pop() if idle else clients.Client(
            self.record, self.fleet.front(index))
        rid = f"call-{number}"
        at = self.record.now()
        status, body, end = await each.send(
            rid, "POST", self.path, b"x" * 600)
        whole = end == "whole" and status == 200 and (
            body == engines.body_of(rid, SIZE))
        self.results.append((at, rid, status, whole))
        if each.writer is not None:
            idle.append(each)

    def share_served(self, since, until):
        """Return (sent, served) of the calls sent in a span of time."""
        rows = [whole for at, _, _, whole in self.results
                if since <= at < until]
        return len(rows), sum(rows)
