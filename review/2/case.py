"""One entry of another writer ends the hosts' view of all engines."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common import case  # noqa: E402
from review.common import config  # noqa: E402
from review.common import engine as engines  # noqa: E402
from review.common import hosts as host_processes  # noqa: E402
from review.common import store as stores  # noqa: E402
from review.common import traffic as traffics  # noqa: E402

WORK_S = 0.3
INTERVAL_S = 0.04
DRAIN_S = 2.0
# "It continues serving for DrainMs after the store has accepted that report
# and a little longer (at times many seconds), and then exits."
LONGER_S = 4.0
STABLE_S = 3.0
# The name of the entry holds half of a character: a lone surrogate, which is
# no text and has no bytes in UTF-8.
NAME = "agent-\ud83d"


async def run(record, scratch):
    net = host_processes.free_net(3)
    store = stores.Store(record)
    address = await store.start(f"{net}.100")
    store.put("config", "main", config.config(
        7, [config.route("desk", "reservas")], ["reservas"]))
    fleet_of_engines = []
    for number in range(3):
        each = engines.Engine(
            record, store, f"i-{number}", "reservas",
            host_processes.ZONES[number],
            lambda request: (WORK_S, traffics.SIZE))
        await each.start(f"{net}.{110 + number}")
        fleet_of_engines.append(each)
    fleet = host_processes.Hosts(record, scratch, net, 3, address)
    try:
        for number in range(3):
            fleet.start(number)
        for number in range(3):
            await fleet.until_ready(number)
        await asyncio.sleep(STABLE_S + 0.5)
        return await _drain_under_load(
            record, store, fleet_of_engines, fleet, net)
    finally:
        fleet.stop()


async def _drain_under_load(record, store, fleet_of_engines, fleet, net):
    calls = traffics.Traffic(record, fleet, "/desk/confirm", INTERVAL_S)
    calls.start()
    await asyncio.sleep(2.0)
    if case.has_trouble():
        store.put("servers", NAME, {
            "Service": "notes", "Addr": f"{net}.120:9000", "Zone": "mty-a",
            "Version": "1", "Slots": 1, "State": "ready", "ColdLeftMs": 0,
            "Seq": 1})
        record.add("entry_of_another_writer", name=ascii(NAME))
    await asyncio.sleep(3.0)
    leaving = fleet_of_engines[0]
    acked_at = leaving.drain()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    leaving.exit()
    exited_at = record.now()
    await asyncio.sleep(2.0)
    await calls.stop()
    late = [(at, rid) for at, rid in leaving.runs if at > acked_at + DRAIN_S]
    late_rids = {rid for _, rid in late}
    lost = [rid for _, rid, _, whole in calls.results
            if rid in late_rids and not whole]
    sent, served = calls.share_served(0.0, acked_at)
    record.add("summary", sent_before=sent, served_before=served,
               late=len(late), lost=len(lost), exited=f"{exited_at:.3f}")
    if served < sent * 0.9:
        raise host_processes.CannotRun(
            f"only {served} of {sent} calls were served before")
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached {leaving.sid} between "
            f"{late[0][0] - acked_at:.2f} and {late[-1][0] - acked_at:.2f} s "
            "after the ack that it is draining",
            f"{len(lost)} of these, unsafe calls that it had begun, got no "
            "answer of it: it ended under them"]


if __name__ == "__main__":
    case.main(pathlib.Path(__file__).parent, run)
