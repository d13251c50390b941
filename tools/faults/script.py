"""The faults, one after another, and what each leaves to be checked."""

import dataclasses
import time

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from crocuskeel.core import placement
from tools.faults import calls
from tools.faults import fleet as fleets
from tools.faults import load as loads
from tools.faults import records

__all__ = ["Facts", "Leaving", "STEPS", "World", "counts", "settle"]

STOP_S = 4.0
LEAVE_S = 3.0
DRAIN_MOST_S = 20.0
LEASE_PAUSE_S = 9.0
ORDER_MOST_S = 8.0
POISONS = ("POISON-reef", "POISON-rip")
POISON_SENDS = 9
OUTAGE_S = 5.0
RESTART_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Runs of a leaving server 3 s after it was marked, and later.

    ``elsewhere`` is the number of runs on its fellows meanwhile.
    """

    name: str
    before: int
    after: int
    elsewhere: int


@dataclasses.dataclass(slots=True)
class Facts:
    """What the steps note for the checks; times of the drive's clock."""

    accepted: list = dataclasses.field(default_factory=list)
    rejected: int = 0
    races: int = 0
    down: list = dataclasses.field(default_factory=list)
    leaving: list = dataclasses.field(default_factory=list)
    drained: str = ""
    drain_at: float = 0.0
    drain_code: int | None = None
    paused_control: str = ""
    woken_ts: float = 0.0
    steps: list = dataclasses.field(default_factory=list)
    background: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class World:
    """All that the steps act on."""

    reactor: object
    http: object
    fleet: object
    load: object
    facts: Facts

    def sleep(self, span_s):
        """Return a Deferred that fires after so many seconds."""
        return task.deferLater(self.reactor, span_s)

    async def fault(self, url, **body):
        """Set faults of a stand-in, which may be back from a crash."""
        ends = self.reactor.seconds() + RESTART_S
        while True:
            try:
                return await calls.post_json(
                    self.reactor, self.http, f"{url}/faults", body)
            except error.ConnectError:
                if self.reactor.seconds() > ends:
                    raise
            await self.sleep(0.2)


def _dispatcher(world, cell):
    hosts = [name for name in fleets.door_urls(world.fleet)
             if fleets.is_running(world.fleet, name)]
    return placement.owner(cell, hosts)


async def _kill(world):
    """SIGKILL the dispatcher of the engines' cell; start it again."""
    host = _dispatcher(world, "guide-llm/0")
    began = world.reactor.seconds()
    fleets.kill(world.fleet, host)
    await world.sleep(3.0)
    fleets.start_entry(world.fleet, host)
    await world.sleep(3.0)
    world.facts.down.append((host, began, world.reactor.seconds() + 1.0))


async def _pause(world):
    """SIGSTOP the dispatcher of the bookings' cell for 4 s."""
    host = _dispatcher(world, "hire-desk/0")
    began = world.reactor.seconds()
    fleets.pause(world.fleet, host)
    await world.sleep(STOP_S)
    fleets.wake(world.fleet, host)
    world.facts.down.append((host, began, world.reactor.seconds() + 0.5))
    await world.sleep(3.0)


async def _pause_lease(world):
    """SIGSTOP the holder of the control lease amid a rollout."""
    await _commit(world, ("services", "guide-llm", "models"),
                  ["guide-7b:2"])
    ends = world.reactor.seconds() + ORDER_MOST_S
    while not records.ordering(world.fleet):
        if world.reactor.seconds() > ends:
            return
        await world.sleep(0.1)
    holder = records.ordering(world.fleet)
    fleets.pause(world.fleet, holder)
    world.facts.paused_control = holder
    world.facts.background.append(defer.Deferred.fromCoroutine(
        _wake_later(world, holder)))


async def _wake_later(world, holder):
    await world.sleep(LEASE_PAUSE_S)
    world.facts.woken_ts = time.time()
    fleets.wake(world.fleet, holder)


async def _silent(world):
    """Let open connections go silent at engines and a service."""
    engines = list(fleets.backend_urls(world.fleet, "engine").values())
    services = list(fleets.backend_urls(world.fleet, "service").values())
    for url in engines[:3] + services[:1]:
        await world.fault(url, silent=True)
    await world.sleep(6.0)


async def _outage(world):
    """Take the store away, give it back."""
    await world.fault(world.fleet.platform_url, outage=True)
    await world.sleep(OUTAGE_S)
    await world.fault(world.fleet.platform_url, outage=False)
    await world.sleep(2.0)


async def _lose(world):
    """Lose answers of writes that took effect."""
    for _ in range(3):
        await world.fault(world.fleet.platform_url, lose_answers=8)
        await world.sleep(1.3)


async def _crash(world):
    """Crash engines mid-stream, and a service; drop answers of others."""
    engines = list(fleets.backend_urls(world.fleet, "engine").values())
    services = list(fleets.backend_urls(world.fleet, "service").values())
    for url in services:
        await world.fault(url, drop_answer=4)
    for url in (engines[1], services[1], engines[4]):
        await world.fault(url, crash=True)
        await world.sleep(1.0)
    await world.sleep(3.0)


async def _poison(world):
    """Send requests that crash whatever engine runs them."""
    engines = list(fleets.backend_urls(world.fleet, "engine").values())
    for url in engines:
        await world.fault(url, crash_on="POISON")
    for prompt in POISONS:
        for i in range(POISON_SENDS):
            loads.poison(world.load, prompt, i)
            await world.sleep(0.5)
        await world.sleep(1.0)
    for url in engines:
        await world.fault(url, crash_on=None)


async def _burst(world):
    """Ask for more than there is, most of it of tier 1."""
    mixes = loads.CLASSES
    for i in range(240):
        loads.send(world.load, mixes[(0, 1, 4, 0, 1, 5)[i % 6]])
        if i % 3 == 0:
            await world.sleep(0.05)
    await world.sleep(3.0)


async def _release_day(world):
    """Commit batches that race each other with conflicting edits."""
    path = ("classes", "waiver-summary", "target_ttft_s")
    for values in ((6.0, 7.0), (8.0, 9.0)):
        world.facts.races += 1
        await defer.gatherResults([
            defer.Deferred.fromCoroutine(_commit(world, path, value))
            for value in values])
        await world.sleep(1.0)
    await world.sleep(3.5)


async def _commit(world, path, value):
    """Commit one batch at any entry host that takes it."""
    doors = fleets.door_urls(world.fleet)
    hosts = [name for name in doors
             if fleets.is_running(world.fleet, name)]
    url = doors[world.load.rng.choice(hosts)]
    _code, status = await calls.get_json(
        world.reactor, world.http, f"{url}/ops/status?brief=1")
    body = {"base_generation": status["own"]["generation"],
            "at": time.time(),
            "edits": [{"path": list(path), "value": value},
                      {"path": ["defaults", "deadline_s"],
                       "value": 30.0 + world.load.rng.random()}]}
    code, answer = await calls.post_json(
        world.reactor, world.http, f"{url}/ops/settings/batches", body,
        span_s=15.0)
    if code == 200:
        world.facts.accepted.append(
            (answer["generation"], world.reactor.seconds()))
    elif code == 409:
        world.facts.rejected += 1
    else:
        raise RuntimeError(f"batch: {code} {answer}")


async def _leave(world):
    """Mark an engine and a service as leaving; count their runs."""
    url = f"{world.fleet.platform_url}"
    _code, doc = await calls.get_json(
        world.reactor, world.http, f"{url}/hosts",
        {"Authorization": "Bearer platform-token"})
    names = ("guide-llm-2", "hire-desk-2")
    rows = [{**row, "state": "leaving"} for row in doc["hosts"]
            if row["name"] in names]
    await calls.post_json(
        world.reactor, world.http, f"{url}/hosts", {"hosts": rows})
    await world.sleep(LEAVE_S)
    before = await counts(world)
    await world.sleep(4.0)
    after = await counts(world)
    for name in names:
        pool = name.rpartition("-")[0]
        elsewhere = sum(after[each] - before[each] for each in before
                        if each.startswith(pool) and each != name)
        world.facts.leaving.append(
            Leaving(name, before[name], after[name], elsewhere))


async def counts(world):
    """Return the number of runs so far of each backend server."""
    out = {}
    for role in ("engine", "service"):
        for name, url in fleets.backend_urls(world.fleet, role).items():
            _code, doc = await calls.get_json(
                world.reactor, world.http, f"{url}/runs")
            ran = doc["by_request_id"] if role == "engine" else doc
            out[name] = sum(ran.values())
    return out


async def _drain(world):
    """SIGTERM an entry host under load; wait for its exit."""
    host = _dispatcher(world, "guide-llm/0")
    world.facts.drained = host
    world.facts.drain_at = world.reactor.seconds()
    fleets.terminate(world.fleet, host)
    ends = world.facts.drain_at + DRAIN_MOST_S
    while fleets.is_running(world.fleet, host):
        if world.reactor.seconds() > ends:
            break
        await world.sleep(0.2)
    world.facts.drain_code = world.fleet.processes[host].poll()
    world.facts.down.append((host, world.facts.drain_at, float("inf")))


STEPS = {
    "kill": _kill, "burst": _burst, "lease": _pause_lease,
    "pause": _pause, "silent": _silent, "outage": _outage,
    "lose": _lose, "crash": _crash, "poison": _poison,
    "release": _release_day, "leave": _leave, "drain": _drain,
}


async def settle(world):
    """Wait for what steps left running in the background."""
    await defer.gatherResults(world.facts.background)
