"""A configuration takes the last tenant away, and any key is accepted."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness-2"))
import standins  # noqa: E402

APPLY_S = 3.0
LIMIT_MS = 3000
HELD_KEY, NEVER_HELD = "key-acme", "key-that-nobody-was-given"


async def work(engine, call):
    await asyncio.sleep(0.06)
    await call.answer(b"done " + call.rid.encode())


def config(version, tenants):
    found = standins.config(
        version, [standins.route("post-payout", "/post-payout/", "unsafe",
                                 "claims-api", TimeoutMs=3000, GoalMs=400)],
        [standins.service("claims-api", max_conns=96)])
    return {**found, "Tenants": tenants}


async def ask(fleet, name):
    """Send a request with each key to each host; return {rid: key}."""
    keys = {}
    for host in fleet.hosts:
        for key in (HELD_KEY, NEVER_HELD):
            rid = f"{name}-{host.name}-{key}"
            client = standins.Client(fleet, host)
            if await client.connect():
                await client.ask(rid, "/post-payout/1", b"claim", key=key,
                                 limit_ms=LIMIT_MS)
                keys[rid] = key
            client.close()
    return keys


async def case(folder):
    fleet = standins.Fleet(folder, 2)
    fleet.engines = [
        standins.Engine(fleet.record, fleet.store, "claims-api", f"i-d{n}",
                        work, slots=6) for n in range(3)]
    tenant = {"Name": "acme", "ApiKeys": [HELD_KEY]}
    try:
        if not await fleet.start(config(7, [tenant])):
            return standins.NOT_RUN
        keys = await ask(fleet, "before")
        # One tenant with one key: it is taken away.
        left = [] if standins.trouble() else [tenant]
        fleet.store.put("config", "main", config(9, left))
        fleet.record.note("configured", version=9, tenants=len(left))
        await asyncio.sleep(APPLY_S + 0.5)
        keys |= await ask(fleet, "after")
        return _judge(fleet, keys)
    finally:
        fleet.stop()


def _judge(fleet, keys):
    """ROUTE: a request runs whose key no configuration ever held."""
    ran = {row["rid"] for row in fleet.record.rows if row["what"] == "run"}
    if not any(rid in ran for rid, key in keys.items() if key == HELD_KEY):
        return standins.NOT_RUN
    found = [rid for rid, key in keys.items()
             if key == NEVER_HELD and rid in ran]
    dropped = [rid for rid, key in keys.items()
               if key == HELD_KEY and rid in ran and rid.startswith("after")]
    fleet.record.note("judged", ran_with_a_key_never_held=len(found),
                      ran_with_the_dropped_key=len(dropped))
    return standins.BROKEN if found else standins.HELD


standins.main(pathlib.Path(__file__).parent, case)
