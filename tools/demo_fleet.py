"""Starts and stops the processes of a demo fleet on loopback."""

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
STOP_TIMEOUT_S = 15.0
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
    """Composition of a fleet, with the ports of its processes."""

    deployment: str
    region: str
    domains: tuple[str, ...]
    entries: tuple[Entry, ...]
    pools: tuple[Pool, ...]
    platform_port: int


@dataclasses.dataclass(slots=True)
class Fleet:
    """A plan and its processes, by name."""

    plan: Plan
    folder: pathlib.Path
    engine_args: tuple[str, ...] = ()
    processes: dict[str, typing.Any] = dataclasses.field(
        default_factory=dict)

    @property
    def platform_url(self):
        """The base URL of the stand-in platform."""
        return f"http://{ADDRESS}:{self.plan.platform_port}"


def free_ports(count, used_ports):
    """Return the first of ``count`` consecutive free ports.

    They are added to ``used_ports``, whose ports are not considered.
    """
    first = _FIRST_PORT + secrets.randbelow(4000)
    while first + count < _LAST_PORT:
        block = range(first, first + count)
        if not used_ports.intersection(block) and all(map(_is_free, block)):
            used_ports.update(block)
            return first
        first += count
    raise RuntimeError("no free ports")


def _is_free(port):
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                return False
    return True


def new_plan(deployment, region, domains, pools, entries):
    """Return a plan with free ports.

    ``pools`` are (service, role, count) tuples; ``entries`` is the number
    of entry hosts, which are spread over the failure domains.
    """
    used_ports = set()
    entry_hosts = tuple(
        Entry(f"entry-{i + 1}", domains[i % len(domains)],
              free_ports(1, used_ports), free_ports(1, used_ports))
        for i in range(entries))
    server_pools = tuple(
        Pool(service, role, count, free_ports(count, used_ports))
        for service, role, count in pools)
    return Plan(deployment, region, tuple(domains), entry_hosts, server_pools,
                free_ports(1, used_ports))


def new_fleet(plan, folder, engine_args=()):
    """Write the files of a fleet without starting it; return the fleet."""
    fleet = Fleet(plan, pathlib.Path(folder), tuple(engine_args))
    (fleet.folder / "key").write_text(secrets.token_hex(32))
    (fleet.folder / "token").write_text(PLATFORM_TOKEN)
    hosts = _entry_hosts(plan) + _backend_hosts(plan)
    (fleet.folder / "hosts.json").write_text(json.dumps({"hosts": hosts}))
    for entry in plan.entries:
        _write_settings(fleet, entry)
    return fleet


def _entry_hosts(plan):
    return [_host_entry(plan, entry.name, entry.peer_port, entry.domain,
                        "entry", None) for entry in plan.entries]


def _backend_hosts(plan):
    hosts = []
    for pool in plan.pools:
        for i, name in enumerate(pool.names()):
            domain = plan.domains[i % len(plan.domains)]
            hosts.append(_host_entry(plan, name, pool.first_port + i, domain,
                                     pool.role, pool.service))
    return hosts


def _host_entry(plan, name, port, domain, role, service):
    return {"name": name, "address": ADDRESS, "port": port,
            "domain": domain, "region": plan.region, "role": role,
            "service": service, "state": "live"}


def _write_settings(fleet, entry):
    plan = fleet.plan
    seeds = [{"host": other.name, "address": ADDRESS,
              "port": other.peer_port}
             for other in plan.entries if other.name != entry.name]
    settings = {
        "deployment": plan.deployment, "host": entry.name,
        "domain": entry.domain, "region": plan.region,
        "address": ADDRESS, "door_port": entry.door_port,
        "peer_port": entry.peer_port, "key_file": "key", "seeds": seeds,
        "platform": {"url": fleet.platform_url, "token_file": "token"},
        "log_file": str(fleet.folder / f"{entry.name}.jsonl"),
    }
    path = fleet.folder / f"{entry.name}.json"
    path.write_text(json.dumps(settings, indent=2))


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
    """Start the stand-ins of one service in one process."""
    is_engine = pool.role == "engine"
    module = "standins.engine" if is_engine else "standins.service"
    extra_args = fleet.engine_args if is_engine else ()
    _start(fleet, pool.service, module, "--name", pool.service,
           "--count", str(pool.count),
           "--first-port", str(pool.first_port), *extra_args)


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
    """Stop all started processes; entry hosts first, so that they drain."""
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
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
