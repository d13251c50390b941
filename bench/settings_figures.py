"""Figures of the settings: spread, bytes, processor time, memory.

Real follower reducers of 3 to 470 hosts on a virtual clock, around one
in-memory store. Prints one JSON object a line: name, value, unit, n.

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
GAP_S = 6.0
# Envelope of one sealed batch around a frame, measured for a host name
# of ten letters.
ENVELOPE_BYTES = 96


class Counting(fleets.Fleet):
    """A fleet that counts bytes on the wire and adoption times."""

    def __init__(self, names):
        super().__init__(names)
        self.bytes = 0
        self.messages = 0
        self.accepted_at = 0.0
        self.spans = []

    def _do(self, name, wanted):
        for effect in wanted:
            if type(effect) is effects.Send:
                size = wire.to_frame(effect.message).ByteSize()
                self.bytes += size + ENVELOPE_BYTES
                self.messages += 1
            if getattr(effect, "kind", "") == "settings_adopted":
                self.spans.append(self.now - self.accepted_at)
        super()._do(name, wanted)


def emit(name, value, unit, n):
    """Print one figure."""
    print(json.dumps({"name": name, "value": round(value, 6),
                      "unit": unit, "n": n}), flush=True)


def _edit(number):
    path = ("workspaces", "ws", "target_ttft_s")
    return [conf.Edit(path, 1.0 + number / 100)]


def measure_spread(size):
    """Commit some batches to a fleet; emit what each cost."""
    names = [f"host-{number:03d}" for number in range(size)]
    fleet = Counting(names)
    fleet.commit(conf.document_edits(conf.empty_tree(), fleets.DOCUMENT))
    fleet.start(*names)
    fleet.run(8.0)
    idle = _idle_rates(fleet, size)
    fleet.spans.clear()
    fleet.bytes = 0
    before = time.process_time()
    for number in range(CHANGES):
        fleet.accepted_at = fleet.now
        fleet.commit(_edit(number))
        fleet.run(fleet.now + GAP_S)
    used = time.process_time() - before - idle["cpu"] * CHANGES * GAP_S
    done = set(fleet.generations().values())
    if done != {CHANGES + 1}:
        raise RuntimeError(f"not in force everywhere: {sorted(done)}")
    share = size * CHANGES
    emit("settings_in_force_p50", statistics.median(fleet.spans), "s", size)
    emit("settings_in_force_max", max(fleet.spans), "s", size)
    emit("settings_bytes_a_change_a_host", fleet.bytes / share, "B", size)
    emit("settings_cpu_a_change_a_host", max(used, 0) / share * 1e6,
         "us", size)
    emit("settings_platform_reads", idle["calls"], "1/s", size)


def _idle_rates(fleet, size):
    span = 30.0
    calls = fleet.calls
    before = time.process_time()
    fleet.run(fleet.now + span)
    used = time.process_time() - before
    return {"calls": (fleet.calls - calls) / span, "cpu": used / span}


def _document(count):
    body = {"weight": 2.0, "classes": {"booking": {"deadline_s": 9.0}}}
    spaces = {}
    for number in range(count):
        token = {"caller": "desk", "sha256": f"{number:064x}"}
        spaces[f"ws-{number:05d}"] = body | {"tokens": [token]}
    return fleets.DOCUMENT | {"workspaces": spaces}


def measure_memory(count):
    """Emit the memory of a tree with this many workspaces."""
    document = _document(count)
    tracemalloc.start()
    tree = conf_tree.from_document(document, 1)
    for number in range(0, count, max(1, count // 500)):
        conf.resolve(tree, f"ws-{number:05d}", "booking")
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    emit("settings_memory", held / 1e6, "MB", count)
    before = time.process_time()
    tries = 2000
    for number in range(tries):
        conf.resolve(tree, f"ws-{number * 7 % count:05d}", "booking")
    used = time.process_time() - before
    emit("settings_resolve_cpu", used / tries * 1e6, "us", count)


def main():
    """Measure all sizes."""
    with mock.patch("crocuskeel.core.membership.live", fleets.live):
        for size in SIZES:
            measure_spread(size)
    for count in WORKSPACES:
        measure_memory(count)


if __name__ == "__main__":
    main()
