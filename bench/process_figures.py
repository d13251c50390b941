"""Resident memory of a process with ever more of the product imported.

Each figure comes from a fresh interpreter. Prints one JSON object a
line: name, value, unit, n. Run as ``python -m bench.process_figures``.
"""

import json
import subprocess
import sys

STAGES = (
    ("memory_python", "pass"),
    ("memory_core", "import crocuskeel.core.factory"),
    ("memory_core_wire",
     "import crocuskeel.core.factory, crocuskeel.wire"),
    ("memory_twisted_klein_treq", "import klein, treq"),
    ("memory_grpclib", "import grpclib.server, grpclib.client"),
    ("memory_daemon",
     "from twisted.internet import asyncioreactor as a\n"
     "a.install()\n"
     "import crocuskeel.runtime.program"),
)
PROBE = """
{stage}
with open("/proc/self/status") as status:
    print(next(line for line in status if line.startswith("VmRSS")))
"""


def resident_mb(stage):
    """Return the resident memory of a process that ran ``stage``."""
    done = subprocess.run(
        [sys.executable, "-c", PROBE.format(stage=stage)], check=True,
        capture_output=True, text=True, timeout=60)
    return int(done.stdout.split()[1]) / 1024


def main():
    """Measure all stages."""
    for name, stage in STAGES:
        print(json.dumps({"name": name, "unit": "MB", "n": 1,
                          "value": round(resident_mb(stage), 1)}))


if __name__ == "__main__":
    main()
