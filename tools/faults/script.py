"""The steps of the fault drive, each of which injects one kind of fault."""

import dataclasses
import time

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from crocuskeel.core import placement
from tools.faults import event_logs
from tools.faults import fleet as fleets
from tools.faults import http_client
from tools.faults import load as loads

__all__ = ["DrainingServer", "Environment", "Observations", "STEPS",
           "run_counts", "wait_for_background"]

PAUSE_S = 4.0
LEAVE_GRACE_S = 3.0
DRAIN_TIMEOUT_S = 20.0
LEASE_PAUSE_S = 9.0
ORDER_TIMEOUT_S = 8.0
POISON_PROMPTS = ("POISON-reef", "POISON-rip")
SENDS_PER_POISON = 9
OUTAGE_S = 5.0
RESTART_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingServer:
    """Run counts of a server 3 s after it was marked as leaving, and later.

    ``other_runs`` is the number of runs on the other servers of its
    service in that time.
    """

    name: str
    runs_before: int
    runs_after: int
    other_runs: int


@dataclasses.dataclass(slots=True)
class Observations:
    """What the steps record for the checks.

    Times are those of the reactor, but ``resumed_ts`` is Unix time.
    """

    accepted: list = dataclasses.field(default_factory=list)
    rejected: int = 0
    races: int = 0
    downtimes: list = dataclasses.field(default_factory=list)
    draining_servers: list = dataclasses.field(default_factory=list)
    drained_host: str = ""
    drain_started_at: float = 0.0
    drain_exit_code: int | None = None
    paused_control: str = ""
    resumed_ts: float = 0.0
    steps: list = dataclasses.field(default_factory=list)
    background: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Environment:
    """What the steps act on."""

    reactor: object
    http: object
    fleet: object
    generator: object
    observations: Observations

    def sleep(self, duration_s):
        """Return a Deferred that fires after ``duration_s`` seconds."""
        return task.deferLater(self.reactor, duration_s)

    async def inject_fault(self, url, **body):
        """Set faults of a stand-in, waiting while it restarts from a crash."""
        deadline = self.reactor.seconds() + RESTART_TIMEOUT_S
        while True:
            try:
                return await http_client.post_json(
                    self.reactor, self.http, f"{url}/faults", body)
            except error.ConnectError:
                if self.reactor.seconds() > deadline:
                    raise
            await self.sleep(0.2)


def _dispatcher(env, cell):
    hosts = [name for name in fleets.entry_urls(env.fleet)
             if fleets.is_running(env.fleet, name)]
    return placement.owner(cell, hosts)


async def _kill_dispatcher(env):
    """Send SIGKILL to the dispatcher of the engines' cell; restart it."""
    host = _dispatcher(env, "guide-llm/0")
    started_at = env.reactor.seconds()
    fleets.kill(env.fleet, host)
    await env.sleep(3.0)
    fleets.start_entry(env.fleet, host)
    await env.sleep(3.0)
    env.observations.downtimes.append(
        (host, started_at, env.reactor.seconds() + 1.0))


async def _pause_dispatcher(env):
    """Pause the dispatcher of the bookings' cell for 4 s by SIGSTOP."""
    host = _dispatcher(env, "hire-desk/0")
    started_at = env.reactor.seconds()
    fleets.pause(env.fleet, host)
    await env.sleep(PAUSE_S)
    fleets.resume(env.fleet, host)
    env.observations.downtimes.append(
        (host, started_at, env.reactor.seconds() + 0.5))
    await env.sleep(3.0)


async def _pause_lease_holder(env):
    """Pause the holder of the control lease during a rollout."""
    await _commit(env, ("services", "guide-llm", "models"),
                  ["guide-7b:2"])
    deadline = env.reactor.seconds() + ORDER_TIMEOUT_S
    while not event_logs.last_order_sender(env.fleet):
        if env.reactor.seconds() > deadline:
            return
        await env.sleep(0.1)
    holder = event_logs.last_order_sender(env.fleet)
    fleets.pause(env.fleet, holder)
    env.observations.paused_control = holder
    env.observations.background.append(defer.Deferred.fromCoroutine(
        _resume_later(env, holder)))


async def _resume_later(env, holder):
    await env.sleep(LEASE_PAUSE_S)
    env.observations.resumed_ts = time.time()
    fleets.resume(env.fleet, holder)


async def _silence_connections(env):
    """Make open connections to engines and a service silent."""
    engines = list(fleets.backend_urls(env.fleet, "engine").values())
    services = list(fleets.backend_urls(env.fleet, "service").values())
    for url in engines[:3] + services[:1]:
        await env.inject_fault(url, silent=True)
    await env.sleep(6.0)


async def _store_outage(env):
    """Make the store unavailable for a while."""
    await env.inject_fault(env.fleet.platform_url, outage=True)
    await env.sleep(OUTAGE_S)
    await env.inject_fault(env.fleet.platform_url, outage=False)
    await env.sleep(2.0)


async def _lose_responses(env):
    """Drop responses to writes that took effect."""
    for _ in range(3):
        await env.inject_fault(env.fleet.platform_url, lose_answers=8)
        await env.sleep(1.3)


async def _crash_servers(env):
    """Crash engines mid-stream and a service; drop services' responses."""
    engines = list(fleets.backend_urls(env.fleet, "engine").values())
    services = list(fleets.backend_urls(env.fleet, "service").values())
    for url in services:
        await env.inject_fault(url, drop_answer=4)
    for url in (engines[1], services[1], engines[4]):
        await env.inject_fault(url, crash=True)
        await env.sleep(1.0)
    await env.sleep(3.0)


async def _send_poison_requests(env):
    """Send requests that crash every engine that runs them."""
    engines = list(fleets.backend_urls(env.fleet, "engine").values())
    for url in engines:
        await env.inject_fault(url, crash_on="POISON")
    for prompt in POISON_PROMPTS:
        for i in range(SENDS_PER_POISON):
            loads.send_poison(env.generator, prompt, i)
            await env.sleep(0.5)
        await env.sleep(1.0)
    for url in engines:
        await env.inject_fault(url, crash_on=None)


async def _send_burst(env):
    """Exceed the capacity with requests that are mostly of tier 1."""
    classes = loads.TRAFFIC_CLASSES
    for i in range(240):
        loads.send(env.generator, classes[(0, 1, 4, 0, 1, 5)[i % 6]])
        if i % 3 == 0:
            await env.sleep(0.05)
    await env.sleep(3.0)


async def _commit_conflicting_batches(env):
    """Commit concurrent batches with conflicting edits."""
    path = ("classes", "waiver-summary", "target_ttft_s")
    for values in ((6.0, 7.0), (8.0, 9.0)):
        env.observations.races += 1
        await defer.gatherResults([
            defer.Deferred.fromCoroutine(_commit(env, path, value))
            for value in values])
        await env.sleep(1.0)
    await env.sleep(3.5)


async def _commit(env, path, value):
    """Commit one batch at a random running entry host."""
    entry_urls = fleets.entry_urls(env.fleet)
    hosts = [name for name in entry_urls
             if fleets.is_running(env.fleet, name)]
    url = entry_urls[env.generator.rng.choice(hosts)]
    _code, status = await http_client.get_json(
        env.reactor, env.http, f"{url}/ops/status?brief=1")
    body = {"base_generation": status["own"]["generation"],
            "at": time.time(),
            "edits": [{"path": list(path), "value": value},
                      {"path": ["defaults", "deadline_s"],
                       "value": 30.0 + env.generator.rng.random()}]}
    code, answer = await http_client.post_json(
        env.reactor, env.http, f"{url}/ops/settings/batches", body,
        timeout_s=15.0)
    if code == 200:
        env.observations.accepted.append(
            (answer["generation"], env.reactor.seconds()))
    elif code == 409:
        env.observations.rejected += 1
    else:
        raise RuntimeError(f"batch: {code} {answer}")


async def _mark_draining(env):
    """Mark an engine and a service as leaving; count later runs."""
    url = f"{env.fleet.platform_url}"
    _code, doc = await http_client.get_json(
        env.reactor, env.http, f"{url}/hosts",
        {"Authorization": "Bearer platform-token"})
    names = ("guide-llm-2", "hire-desk-2")
    rows = [{**row, "state": "leaving"} for row in doc["hosts"]
            if row["name"] in names]
    await http_client.post_json(
        env.reactor, env.http, f"{url}/hosts", {"hosts": rows})
    await env.sleep(LEAVE_GRACE_S)
    runs_before = await run_counts(env)
    await env.sleep(4.0)
    runs_after = await run_counts(env)
    for name in names:
        pool = name.rpartition("-")[0]
        other_runs = sum(runs_after[each] - runs_before[each]
                         for each in runs_before
                         if each.startswith(pool) and each != name)
        env.observations.draining_servers.append(
            DrainingServer(name, runs_before[name], runs_after[name],
                           other_runs))


async def run_counts(env):
    """Return the number of runs so far by backend server."""
    totals = {}
    for role in ("engine", "service"):
        for name, url in fleets.backend_urls(env.fleet, role).items():
            _code, doc = await http_client.get_json(
                env.reactor, env.http, f"{url}/runs")
            ran = doc["by_request_id"] if role == "engine" else doc
            totals[name] = sum(ran.values())
    return totals


async def _drain_host(env):
    """Send SIGTERM to an entry host under load; wait for its exit."""
    host = _dispatcher(env, "guide-llm/0")
    env.observations.drained_host = host
    env.observations.drain_started_at = env.reactor.seconds()
    fleets.terminate(env.fleet, host)
    deadline = env.observations.drain_started_at + DRAIN_TIMEOUT_S
    while fleets.is_running(env.fleet, host):
        if env.reactor.seconds() > deadline:
            break
        await env.sleep(0.2)
    env.observations.drain_exit_code = env.fleet.processes[host].poll()
    env.observations.downtimes.append(
        (host, env.observations.drain_started_at, float("inf")))


STEPS = {
    "kill": _kill_dispatcher,
    "burst": _send_burst,
    "lease": _pause_lease_holder,
    "pause": _pause_dispatcher,
    "silent": _silence_connections,
    "outage": _store_outage,
    "lose": _lose_responses,
    "crash": _crash_servers,
    "poison": _send_poison_requests,
    "release": _commit_conflicting_batches,
    "leave": _mark_draining,
    "drain": _drain_host,
}


async def wait_for_background(env):
    """Wait for the background tasks of the steps."""
    await defer.gatherResults(env.observations.background)
