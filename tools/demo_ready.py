"""Waits for a demo fleet and reads the stand-ins' counts."""

from twisted.internet import task

import treq

from tools import demo_fleet

__all__ = ["doors", "entries_up", "get_json", "platform_up", "runs"]

EVERY_S = 0.1
CALL_S = 3.0
SETTLE_S = 2.0


def doors(fleet):
    """Return the base URLs of the entry hosts' doors."""
    return [f"http://{demo_fleet.ADDRESS}:{entry.door_port}"
            for entry in fleet.plan.entries]


async def platform_up(reactor, fleet, span_s):
    """Wait until the platform answers."""
    await _until(reactor, f"{fleet.platform_url}/counts", span_s)


async def entries_up(reactor, fleet, span_s):
    """Wait until all entry hosts are ready and know each other."""
    for door in doors(fleet):
        await _until(reactor, f"{door}/readyz", span_s)
    await task.deferLater(reactor, SETTLE_S)


async def _until(reactor, url, span_s):
    ends = reactor.seconds() + span_s
    while True:
        try:
            rsp = await treq.get(url, persistent=False, timeout=CALL_S,
                                 reactor=reactor)
            await treq.content(rsp)
            if rsp.code == 200:
                return
        except Exception as exc:
            last = repr(exc)
        else:
            last = str(rsp.code)
        if reactor.seconds() > ends:
            raise RuntimeError(f"{url} is not ready: {last}")
        await task.deferLater(reactor, EVERY_S)


async def get_json(reactor, url):
    """Return the JSON answer to a GET."""
    rsp = await treq.get(url, persistent=False, timeout=CALL_S,
                         reactor=reactor)
    return await treq.json_content(rsp)


async def runs(reactor, fleet):
    """Return what each backend server ran: role, name and counts."""
    out = []
    for pool in fleet.plan.pools:
        for i, name in enumerate(pool.names()):
            url = f"http://{demo_fleet.ADDRESS}:{pool.first_port + i}"
            out.append((pool.role, name,
                        await get_json(reactor, f"{url}/runs")))
    return out
