"""CPU time of processes, and the fleet under measurement."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile

from tools import demo_fleet
from tools import demo_ready
from tools import demo_settings

__all__ = ["SETTINGS", "SLOTS", "TPOT_S", "cpu_s", "emit", "run_load",
           "running_fleet"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS = ROOT / "examples" / "paddlegum.jsonc"
DOMAINS = ("perth-a", "perth-b", "bunbury")
ENGINES = 6
SLOTS = 24
_SLOTS_IN_SETTINGS = '"max_slots_per_engine": 8'
TPOT_S = 0.02
READY_TIMEOUT_S = 30.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_UTIME = 11
_STIME = 12


def cpu_s(process):
    """Return the user and system CPU seconds of a running process."""
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[_UTIME]) + int(fields[_STIME])) / _TICKS_PER_S


def emit(name, value, unit, count):
    """Print one figure as a JSON line; ``count`` is its sample size."""
    print(json.dumps({"name": name, "value": round(value, 4),
                      "unit": unit, "n": count}), flush=True)


@contextlib.asynccontextmanager
async def running_fleet(reactor, entry_count):
    """Run a fleet with ``entry_count`` entry hosts and wait until ready."""
    plan = demo_fleet.new_plan(
        "wa-south", "wa-south", DOMAINS,
        (("guide-llm", "engine", ENGINES),
         ("hire-desk", "service", 1)), entry_count)
    with tempfile.TemporaryDirectory() as directory:
        fleet = demo_fleet.new_fleet(
            plan, directory, ("--models", "guide-7b:1", "--slots",
                              str(SLOTS), "--tpot", str(TPOT_S)))
        try:
            demo_fleet.start(fleet)
            await _wait_until_ready(reactor, fleet)
            yield fleet
        finally:
            demo_fleet.stop(fleet)


async def _wait_until_ready(reactor, fleet):
    await demo_ready.platform_up(reactor, fleet, READY_TIMEOUT_S)
    text = SETTINGS.read_text().replace(
        _SLOTS_IN_SETTINGS, f'"max_slots_per_engine": {SLOTS}')
    await demo_settings.load(
        reactor, fleet.platform_url, demo_fleet.PLATFORM_TOKEN,
        demo_settings.parse_tree(text))
    await demo_ready.entries_up(reactor, fleet, READY_TIMEOUT_S)


def run_load(entry_urls, rate, seconds, tokens):
    """Start a load process; its output is one JSON line."""
    return subprocess.Popen(
        [sys.executable, "-m", "bench.loopback.load",
         "--rate", str(rate), "--seconds", str(seconds),
         "--tokens", str(tokens), *entry_urls],
        stdin=subprocess.DEVNULL, stdout=subprocess.PIPE)
