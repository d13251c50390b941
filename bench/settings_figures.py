"""Figures of the settings: propagation, bytes, CPU time, memory.

Runs the follower reducers of 3 to 470 hosts on a virtual clock with one
in-memory store. Prints one JSON object per figure: name, value, unit, n.

Run as ``python -m bench.settings_figures``.
"""

import json
import statistics
import time
import tracemalloc
from unittest import mock

from crocuskeel import conf
from crocuskeel.conf import tree as conf_tree
from crocuskeel.core import effects
from crocuskeel import wire
from tests.follower import fleet as fleets

SIZES = (3, 9, 27, 81, 243, 470)
WORKSPACES = (100, 1800, 18000)
CHANGES = 8
CHANGE_INTERVAL_S = 6.0
# Overhead of a sealed batch around one frame, measured with a host name
# of ten letters.
SEAL_OVERHEAD_BYTES = 96


class CountingFleet(fleets.Fleet):
    """A fleet that records bytes on the wire and adoption times."""

    def __init__(self, names):
        super().__init__(names)
        self.bytes = 0
        self.messages = 0
        self.committed_at = 0.0
        self.adoption_s = []

    def _do(self, name, wanted):
        for effect in wanted:
            if type(effect) is effects.Send:
                size = wire.to_frame(effect.message).ByteSize()
                self.bytes += size + SEAL_OVERHEAD_BYTES
                self.messages += 1
            if getattr(effect, "kind", "") == "settings_adopted":
                self.adoption_s.append(self.now - self.committed_at)
        super()._do(name, wanted)


def emit(name, value, unit, n):
    """Print one figure."""
    print(json.dumps({"name": name, "value": round(value, 6),
                      "unit": unit, "n": n}), flush=True)


def _new_edits(number):
    path = ("workspaces", "ws", "target_ttft_s")
    return [conf.Edit(path, 1.0 + number / 100)]


def measure_propagation(size):
    """Commit batches to a fleet; emit their propagation and costs."""
    names = [f"host-{number:03d}" for number in range(size)]
    fleet = CountingFleet(names)
    fleet.commit(conf.document_edits(conf.empty_tree(), fleets.DOCUMENT))
    fleet.start(*names)
    fleet.run(8.0)
    idle = _measure_idle_rates(fleet, size)
    fleet.adoption_s.clear()
    fleet.bytes = 0
    before = time.process_time()
    for number in range(CHANGES):
        fleet.committed_at = fleet.now
        fleet.commit(_new_edits(number))
        fleet.run(fleet.now + CHANGE_INTERVAL_S)
    cpu_used_s = (time.process_time() - before
                  - idle["cpu"] * CHANGES * CHANGE_INTERVAL_S)
    generations = set(fleet.generations().values())
    if generations != {CHANGES + 1}:
        raise RuntimeError(
            "settings not in force on all hosts; generations: "
            f"{sorted(generations)}")
    host_changes = size * CHANGES
    emit(
        "settings_in_force_p50", statistics.median(fleet.adoption_s), "s",
        size)
    emit("settings_in_force_max", max(fleet.adoption_s), "s", size)
    emit(
        "settings_bytes_a_change_a_host", fleet.bytes / host_changes, "B",
        size)
    emit(
        "settings_cpu_a_change_a_host",
        max(cpu_used_s, 0) / host_changes * 1e6, "us", size)
    emit("settings_platform_reads", idle["calls"], "1/s", size)


def _measure_idle_rates(fleet, size):
    duration_s = 30.0
    calls = fleet.calls
    before = time.process_time()
    fleet.run(fleet.now + duration_s)
    cpu_used_s = time.process_time() - before
    return {
        "calls": (fleet.calls - calls) / duration_s,
        "cpu": cpu_used_s / duration_s}


def _document(count):
    workspace = {"weight": 2.0, "classes": {"booking": {"deadline_s": 9.0}}}
    workspaces = {}
    for number in range(count):
        token = {"caller": "desk", "sha256": f"{number:064x}"}
        workspaces[f"ws-{number:05d}"] = workspace | {"tokens": [token]}
    return fleets.DOCUMENT | {"workspaces": workspaces}


def measure_memory(count):
    """Emit the memory and resolve time of a tree of ``count`` workspaces."""
    document = _document(count)
    tracemalloc.start()
    tree = conf_tree.from_document(document, 1)
    for number in range(0, count, max(1, count // 500)):
        conf.resolve(tree, f"ws-{number:05d}", "booking")
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    emit("settings_memory", allocated / 1e6, "MB", count)
    before = time.process_time()
    iterations = 2000
    for number in range(iterations):
        conf.resolve(tree, f"ws-{number * 7 % count:05d}", "booking")
    cpu_used_s = time.process_time() - before
    emit("settings_resolve_cpu", cpu_used_s / iterations * 1e6, "us", count)


def main():
    """Measure all sizes."""
    with mock.patch("crocuskeel.core.membership.live", fleets.live):
        for size in SIZES:
            measure_propagation(size)
    for count in WORKSPACES:
        measure_memory(count)


if __name__ == "__main__":
    main()
