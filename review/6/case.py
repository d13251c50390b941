"""After the final fault no host uses an engine that has come back."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "harness-2"))
import standins  # noqa: E402

# The engine's ids before and after its crash, as in the examples of
# PROTOCOL.md. The store lists entries by name.
FORMER, LATER = "i-7f3a91c2", "i-02d9e6b4"
# The engine is back after this, s, as in srv_crash with for_s = 2.0.
BACK_S = 2.0
# Its former entry is removed after three heartbeats of silence, s.
REMOVED_S = 3 * 1.2
# All processes are killed so long after the crash, s, and are started again
# after that (closing kill_all, down_s 0.69 in the site file).
KILLED_S, DOWN_S = 1.0, 0.75
RECOVER_S = 15.0
ASKED_S = 4.0
LIMIT_MS = 3000


async def work(engine, call):
    await asyncio.sleep(0.06)
    await call.answer(b"done " + call.rid.encode())


async def ask_all(fleet, name, span_s):
    """Send requests to all hosts for a while; return the Answers."""
    answers = []
    for number in range(int(span_s / 0.2)):
        for host in fleet.hosts:
            client = standins.Client(fleet, host)
            if await client.connect():
                answers.append(await client.ask(
                    f"{name}-{number}-{host.name}", "/claim-status/1",
                    method="GET", limit_ms=LIMIT_MS))
            client.close()
        await asyncio.sleep(0.2)
    return answers


def served(answers):
    return sum(answer.status == 200 and answer.whole for answer in answers)


async def crash_engine(fleet, engine):
    """Have the engine crash and come back; its entries as the pages say."""
    await engine.crash()
    await asyncio.sleep(BACK_S)
    await engine.come_back(LATER)
    await asyncio.sleep(REMOVED_S - BACK_S)
    fleet.store.remove("servers", FORMER)
    fleet.record.note("entry_removed", engine=FORMER)


async def kill_hosts(fleet):
    """The final fault: all processes are killed, and started again."""
    await asyncio.sleep(KILLED_S)
    for host in fleet.hosts:
        host.signal(signal.SIGKILL)
        host.process.wait()
    await asyncio.sleep(DOWN_S)
    for host in fleet.hosts:
        host.start()
    return all([await fleet.wait_ready(host) for host in fleet.hosts])


async def case(folder):
    fleet = standins.Fleet(folder, 3)
    engine = standins.Engine(fleet.record, fleet.store, "claims-api", FORMER,
                             work, slots=6)
    fleet.engines = [engine]
    try:
        if not await fleet.start(standins.config(
                7, [standins.route("claim-status", "/claim-status/", "safe",
                                   "claims-api", TimeoutMs=3000, GoalMs=400,
                                   Attempts=2)],
                [standins.service("claims-api", max_conns=96)])):
            return standins.NOT_RUN
        before = await ask_all(fleet, "before", 2.0)
        crash = crash_engine(fleet, engine) if standins.trouble() else (
            asyncio.sleep(0))
        _, is_back = await asyncio.gather(crash, kill_hosts(fleet))
        if not is_back:
            return standins.NOT_RUN
        await asyncio.sleep(RECOVER_S)
        after = await ask_all(fleet, "after", ASKED_S)
        return _judge(fleet, before, after)
    finally:
        fleet.stop()


def _judge(fleet, before, after):
    """RECOVER: less than a quarter is served, and more was before."""
    fleet.record.note("judged", before=f"{served(before)}/{len(before)}",
                      after=f"{served(after)}/{len(after)}")
    if served(before) < len(before) / 4 or not after:
        return standins.NOT_RUN
    is_broken = served(after) < len(after) / 4
    return standins.BROKEN if is_broken else standins.HELD


standins.main(pathlib.Path(__file__).parent, case)
