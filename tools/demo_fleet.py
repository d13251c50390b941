"""Starts and ends the processes of a demo fleet on loopback."""

import dataclasses
import json
import pathlib
import secrets
import socket
import subprocess
import sys
import typing

__all__ = ["Entry", "Fleet", "Plan", "Pool", "free_ports", "new_fleet",
           "new_plan", "start", "start_entry", "start_platform",
           "start_pool", "stop"]

ADDRESS = "127.0.0.1"
PLATFORM_TOKEN = "platform-token"
STOP_S = 15.0
_FIRST_PORT = 20000
_LAST_PORT = 32000


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry host of the fleet."""

    name: str
    domain: str
    door_port: int
    peer_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Backend servers of one service on consecutive ports."""

    service: str
    role: str
    count: int
    first_port: int

    def names(self):
        """Return the servers' names, in the order of their ports."""
        return [f"{self.service}-{i + 1}" for i in range(self.count)]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a fleet is made of."""

    deployment: str
    region: str
    domains: tuple[str, ...]
    entries: tuple[Entry, ...]
    pools: tuple[Pool, ...]
    platform_port: int


@dataclasses.dataclass(slots=True)
class Fleet:
    """A plan and its running processes, by name."""

    plan: Plan
    folder: pathlib.Path
    engine_args: tuple[str, ...] = ()
    processes: dict[str, typing.Any] = dataclasses.field(
        default_factory=dict)

    @property
    def platform_url(self):
        """The base URL of the stand-in platform."""
        return f"http://{ADDRESS}:{self.plan.platform_port}"


def free_ports(count, taken):
    """Return the first of ``count`` free consecutive ports."""
    first = _FIRST_PORT + secrets.randbelow(4000)
    while first + count < _LAST_PORT:
        block = range(first, first + count)
        if not taken.intersection(block) and all(map(_is_free, block)):
            taken.update(block)
            return first
        first += count
    raise RuntimeError("no free ports")


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                return False
    return True


def new_plan(deployment, region, domains, pools, entries):
    """Return a plan on free ports.

    ``pools`` are (service, role, count); ``entries`` is the number of
    entry hosts, spread over the failure domains.
    """
    taken = set()
    made = tuple(
        Entry(f"entry-{i + 1}", domains[i % len(domains)],
              free_ports(1, taken), free_ports(1, taken))
        for i in range(entries))
    groups = tuple(
        Pool(service, role, count, free_ports(count, taken))
        for service, role, count in pools)
    return Plan(deployment, region, tuple(domains), made, groups,
                free_ports(1, taken))


def new_fleet(plan, folder, engine_args=()):
    """Write the files of a fleet; starts nothing."""
    fleet = Fleet(plan, pathlib.Path(folder), tuple(engine_args))
    (fleet.folder / "key").write_text(secrets.token_hex(32))
    (fleet.folder / "token").write_text(PLATFORM_TOKEN)
    hosts = _entry_rows(plan) + _server_rows(plan)
    (fleet.folder / "hosts.json").write_text(json.dumps({"hosts": hosts}))
    for entry in plan.entries:
        _write_settings(fleet, entry)
    return fleet


def _entry_rows(plan):
    return [_row(plan, entry.name, entry.peer_port, entry.domain,
                 "entry", None) for entry in plan.entries]


def _server_rows(plan):
    rows = []
    for pool in plan.pools:
        for i, name in enumerate(pool.names()):
            domain = plan.domains[i % len(plan.domains)]
            rows.append(_row(plan, name, pool.first_port + i, domain,
                             pool.role, pool.service))
    return rows


def _row(plan, name, port, domain, role, service):
    return {"name": name, "address": ADDRESS, "port": port,
            "domain": domain, "region": plan.region, "role": role,
            "service": service, "state": "live"}


def _write_settings(fleet, entry):
    plan = fleet.plan
    seeds = [{"host": other.name, "address": ADDRESS,
              "port": other.peer_port}
             for other in plan.entries if other.name != entry.name]
    body = {
        "deployment": plan.deployment, "host": entry.name,
        "domain": entry.domain, "region": plan.region,
        "address": ADDRESS, "door_port": entry.door_port,
        "peer_port": entry.peer_port, "key_file": "key", "seeds": seeds,
        "platform": {"url": fleet.platform_url, "token_file": "token"},
        "log_file": str(fleet.folder / f"{entry.name}.jsonl"),
    }
    path = fleet.folder / f"{entry.name}.json"
    path.write_text(json.dumps(body, indent=2))


def start(fleet):
    """Start the platform, the backend servers and the entry hosts."""
    start_platform(fleet)
    for pool in fleet.plan.pools:
        start_pool(fleet, pool)
    for entry in fleet.plan.entries:
        start_entry(fleet, entry)


def start_platform(fleet):
    """Start the stand-in platform."""
    _start(fleet, "platform", "standins.platform",
           "--port", str(fleet.plan.platform_port),
           "--token", PLATFORM_TOKEN,
           "--hosts", str(fleet.folder / "hosts.json"))


def start_pool(fleet, pool):
    """Start the stand-ins of one service, all in one process."""
    is_engine = pool.role == "engine"
    module = "standins.engine" if is_engine else "standins.service"
    extra = fleet.engine_args if is_engine else ()
    _start(fleet, pool.service, module, "--name", pool.service,
           "--count", str(pool.count),
           "--first-port", str(pool.first_port), *extra)


def start_entry(fleet, entry):
    """Start one entry host's daemon."""
    _start(fleet, entry.name, "crocuskeel.programs.daemon",
           "--settings", str(fleet.folder / f"{entry.name}.json"))


def _start(fleet, name, module, *args):
    with open(fleet.folder / f"{name}.err", "ab") as err:
        fleet.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL, stdout=err, stderr=err)


def stop(fleet):
    """End all processes that were started; entry hosts drain first."""
    entries = [entry.name for entry in fleet.plan.entries]
    others = [name for name in fleet.processes if name not in entries]
    for group in (entries, others):
        running = [fleet.processes[name] for name in group
                   if name in fleet.processes]
        for process in running:
            process.terminate()
        for process in running:
            _wait(process)


def _wait(process):
    try:
        process.wait(STOP_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
