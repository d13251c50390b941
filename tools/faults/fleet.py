"""Processes of the fault drive: started, paused, resumed and stopped."""

import json
import os
import signal
import subprocess
import sys
import time

from tools import demo_fleet

__all__ = ["CONTROL_HOSTS", "DOMAINS", "backend_urls", "entry_urls",
           "is_running", "kill", "new_fleet", "pause", "resume", "start_all",
           "start_entry", "stop_all", "terminate"]

DOMAINS = ("perth-a", "perth-b", "bunbury")
ENTRY_COUNT = 5
CONTROL_HOSTS = ("control-1", "control-2")
STOP_TIMEOUT_S = 5.0
_POOLS = (("guide-llm", "engine", 6), ("hire-desk", "service", 3))
_LEASE = {"span_s": 5.0, "margin_s": 1.0, "renew_s": 1.5, "order_s": 2.0}
_ROLLOUT = {"load_s": 20.0, "observe_s": 0.5, "idle_observe_s": 1.0}


def new_fleet(folder):
    """Return a fleet of 5 entry hosts in 3 failure domains, not started."""
    plan = demo_fleet.new_plan(
        "wa-south", "wa-south", DOMAINS, _POOLS, ENTRY_COUNT)
    fleet = demo_fleet.new_fleet(plan, folder)
    for name in CONTROL_HOSTS:
        _write_control_settings(fleet, name)
    return fleet


def _write_control_settings(fleet, name):
    settings = {
        "host": name,
        "platform": {"url": fleet.platform_url, "token_file": "token"},
        "log_file": str(fleet.folder / f"{name}.jsonl"),
        "lease": _LEASE, "rollout": _ROLLOUT,
        "weight_store": {"loads_per_s": 2.0, "load_burst": 4.0},
    }
    (fleet.folder / f"{name}.json").write_text(json.dumps(settings))


def start_all(fleet):
    """Start all processes; each backend server has its own process."""
    demo_fleet.start_platform(fleet)
    for pool in fleet.plan.pools:
        for i, name in enumerate(pool.names()):
            _start_backend(fleet, pool, name, pool.first_port + i)
    for entry in fleet.plan.entries:
        start_entry(fleet, entry.name)
    for name in CONTROL_HOSTS:
        _start(fleet, name, "crocuskeel.programs.control",
               "--settings", str(fleet.folder / f"{name}.json"))


def _start_backend(fleet, pool, name, port):
    extra_args = ("--work-seconds", "0.1")
    module = "standins.service"
    if pool.role == "engine":
        module = "standins.engine"
        extra_args = ("--models", "guide-7b:1", "--load-seconds", "1")
    _start(fleet, name, module, "--name", name, "--port", str(port),
           *extra_args)


def start_entry(fleet, name):
    """Start or restart an entry host's daemon."""
    entry = next(e for e in fleet.plan.entries if e.name == name)
    demo_fleet.start_entry(fleet, entry)


def _start(fleet, name, module, *args):
    with open(fleet.folder / f"{name}.err", "ab") as err:
        fleet.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL, stdout=err, stderr=err)


def entry_urls(fleet):
    """Return the base URL of each entry host, by name."""
    return {entry.name: f"http://{demo_fleet.ADDRESS}:{entry.door_port}"
            for entry in fleet.plan.entries}


def backend_urls(fleet, role):
    """Return the base URL of each backend server of a role, by name."""
    return {name: f"http://{demo_fleet.ADDRESS}:{pool.first_port + i}"
            for pool in fleet.plan.pools if pool.role == role
            for i, name in enumerate(pool.names())}


def is_running(fleet, name):
    """Tell whether the process is still running."""
    return fleet.processes[name].poll() is None


def pause(fleet, name):
    """Send SIGSTOP to a process."""
    os.kill(fleet.processes[name].pid, signal.SIGSTOP)


def resume(fleet, name):
    """Send SIGCONT to a process."""
    os.kill(fleet.processes[name].pid, signal.SIGCONT)


def kill(fleet, name):
    """Send SIGKILL to a process and wait for its exit."""
    fleet.processes[name].kill()
    fleet.processes[name].wait()


def terminate(fleet, name):
    """Send SIGTERM to a process."""
    fleet.processes[name].terminate()


def stop_all(fleet):
    """Stop all processes, also paused ones, within bounded time."""
    running = [each for each in fleet.processes.values()
               if each.poll() is None]
    for process in running:
        process.send_signal(signal.SIGCONT)
        process.terminate()
    deadline = time.monotonic() + STOP_TIMEOUT_S
    for process in running:
        try:
            process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
