"""A burst of uploads within the limits takes a host over its memory."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common import case  # noqa: E402
from review.common import client as clients  # noqa: E402
from review.common import config  # noqa: E402
from review.common import engine as engines  # noqa: E402
from review.common import hosts as host_processes  # noqa: E402
from review.common import store as stores  # noqa: E402

HOSTS = 2
# A quarter of MaxBodyBytes, which is 4,194,304.
UPLOAD_BYTES = 1_000_000
# Clients that upload at each host, one request at a time, as usual and in the
# burst: x = 2.33, where the site's days have up to x = 2.4 for 9 s.
USUAL_UPLOADERS = 6
BURST_UPLOADERS = 14
BURST_S = 9.0
USUAL_S = 8.0
PAUSE_S = 0.05
# Clients with short calls at each host.
CALLERS = 8
CALL_S = 0.3
UPLOAD_S = 0.09
CALL_BYTES = 600
ANSWER_BYTES = 800
STABLE_S = 3.0
# The platform looks at the memory of a process, and starts it again.
LOOK_S = 0.05
RESTART_S = 1.0
# "More than three times."
MOST_LOST = 3


def plan(request):
    """Return (work in s, bytes of the answer) of a request."""
    work_s = CALL_S if request.target.startswith("/desk/call") else UPLOAD_S
    return work_s, ANSWER_BYTES


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, record, fleet):
        self.record = record
        self.fleet = fleet
        self.peaks = dict.fromkeys(range(HOSTS), 0.0)
        self.kills = []

    async def run(self, number):
        """Look after one host."""
        while True:
            used_mb = resident_mb(self.fleet.processes[number].pid)
            self.peaks[number] = max(self.peaks[number], used_mb)
            if used_mb > host_processes.MEMORY_MB:
                at = self.fleet.signal(number, "SIGKILL")
                self.record.add("over_memory", host=number,
                                mb=f"{used_mb:.1f}")
                self.kills.append((at, number))
                await self.fleet.wait_ended(number, 10.0)
                await asyncio.sleep(RESTART_S)
                self.fleet.start(number)
                await self.fleet.until_ready(number)
            await asyncio.sleep(LOOK_S)


def resident_mb(pid):
    """Return the private resident memory of a process, MB.

    Pages of files, such as those of the interpreter, are left out.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    rows = dict(line.split(":", 1) for line in status.splitlines())
    return int(rows.get("RssAnon", "0 kB").split()[0]) / 1024


class Caller:
    """A client that sends one request after the other to one host."""

    numbers = itertools.count()

    def __init__(self, record, fleet, host, path, size, results):
        self.record = record
        self.host = host
        self.path = path
        self.size = size
        self.results = results
        self.client = clients.Client(record, fleet.front(host))

    async def run(self):
        """Send until cancelled."""
        served_before = 0
        while True:
            rid = f"r-{next(Caller.numbers)}"
            at = self.record.now()
            status, _, end = await self.client.send(
                rid, "POST", self.path, b"x" * self.size, 8000)
            self.results.append((at, rid, self.host, status, end,
                                 served_before > 0))
            served_before += 1
            if self.client.writer is None:
                served_before = 0
                await asyncio.sleep(0.3)
            await asyncio.sleep(PAUSE_S)


async def run(record, scratch):
    net = host_processes.free_net(HOSTS)
    store = stores.Store(record)
    address = await store.start(f"{net}.100")
    store.put("config", "main", config.config(7, [
        config.route("desk", "reservas", timeout_ms=8000)], ["reservas"]))
    all_engines = []
    for number in range(3):
        each = engines.Engine(record, store, f"i-{number}", "reservas",
                              host_processes.ZONES[number], plan, slots=16)
        await each.start(f"{net}.{110 + number}")
        all_engines.append(each)
    fleet = host_processes.Hosts(record, scratch, net, HOSTS, address)
    platform = Platform(record, fleet)
    tasks = []
    try:
        for number in range(HOSTS):
            fleet.start(number)
        for number in range(HOSTS):
            await fleet.until_ready(number)
        await asyncio.sleep(STABLE_S + 0.5)
        tasks += [asyncio.ensure_future(platform.run(number))
                  for number in range(HOSTS)]
        results = []
        await _load(record, fleet, tasks, results)
        runs = {rid for each in all_engines for _, rid in each.runs}
        return _faults(record, platform, results, runs)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()


async def _load(record, fleet, tasks, results):
    def begin(count, path, size):
        for host in range(HOSTS):
            for _ in range(count):
                each = Caller(record, fleet, host, path, size, results)
                tasks.append(asyncio.ensure_future(each.run()))

    begin(CALLERS, "/desk/call", CALL_BYTES)
    begin(USUAL_UPLOADERS, "/desk/upload", UPLOAD_BYTES)
    await asyncio.sleep(USUAL_S)
    record.add("burst", begins=case.has_trouble())
    if case.has_trouble():
        begin(BURST_UPLOADERS - USUAL_UPLOADERS, "/desk/upload",
              UPLOAD_BYTES)
    await asyncio.sleep(BURST_S)


def _faults(record, platform, results, runs):
    lost = {}
    for _, rid, host, status, end, is_kept in results:
        if is_kept and rid in runs and status == 0 and (
                "Connection" in end or "closed" in end):
            lost.setdefault(host, []).append(rid)
    served = sum(status == 200 for _, _, _, status, _, _ in results)
    record.add("summary", requests=len(results), served=served,
               kills=len(platform.kills),
               lost={host: len(rids) for host, rids in lost.items()},
               peaks={host: round(mb) for host, mb in platform.peaks.items()})
    faults = []
    for host, rids in lost.items():
        if len(rids) > MOST_LOST:
            faults.append(
                f"LOST: host {host} went over its {host_processes.MEMORY_MB} "
                f"MB and was killed; {len(rids)} requests from kept "
                "connections that engines had begun got no answer")
    return faults


if __name__ == "__main__":
    case.main(pathlib.Path(__file__).parent, run)
