"""Waits for a demo fleet and reads the stand-ins' run counts."""

from twisted.internet import task

import treq

from tools import demo_fleet

__all__ = ["doors", "entries_up", "get_json", "platform_up", "read_run_counts"]

POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 3.0
MEMBERSHIP_SETTLE_S = 2.0


def doors(fleet):
    """Return the base URLs of the entry hosts."""
    return [f"http://{demo_fleet.ADDRESS}:{entry.door_port}"
            for entry in fleet.plan.entries]


async def platform_up(reactor, fleet, timeout_s):
    """Wait until the platform answers requests."""
    await _wait_for_ok(reactor, f"{fleet.platform_url}/counts", timeout_s)


async def entries_up(reactor, fleet, timeout_s):
    """Wait until all entry hosts are ready, then let membership settle."""
    for url in doors(fleet):
        await _wait_for_ok(reactor, f"{url}/readyz", timeout_s)
    await task.deferLater(reactor, MEMBERSHIP_SETTLE_S)


async def _wait_for_ok(reactor, url, timeout_s):
    deadline = reactor.seconds() + timeout_s
    while True:
        try:
            rsp = await treq.get(url, persistent=False, timeout=CALL_TIMEOUT_S,
                                 reactor=reactor)
            await treq.content(rsp)
            if rsp.code == 200:
                return
        except Exception as exc:
            last_result = repr(exc)
        else:
            last_result = str(rsp.code)
        if reactor.seconds() > deadline:
            raise RuntimeError(f"{url} is not ready: {last_result}")
        await task.deferLater(reactor, POLL_INTERVAL_S)


async def get_json(reactor, url):
    """Return the JSON response to a GET."""
    rsp = await treq.get(url, persistent=False, timeout=CALL_TIMEOUT_S,
                         reactor=reactor)
    return await treq.json_content(rsp)


async def read_run_counts(reactor, fleet):
    """Return (role, name, run counts) of each backend server."""
    counts = []
    for pool in fleet.plan.pools:
        for i, name in enumerate(pool.names()):
            url = f"http://{demo_fleet.ADDRESS}:{pool.first_port + i}"
            counts.append((pool.role, name,
                           await get_json(reactor, f"{url}/runs")))
    return counts
