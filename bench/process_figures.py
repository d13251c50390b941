"""Resident memory of a process by the modules that it imports.

Each figure is measured in a new interpreter. Prints one JSON object per
figure: name, value, unit, n. Run as ``python -m bench.process_figures``.
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
SCRIPT = """
{stage}
with open("/proc/self/status") as status:
    print(next(line for line in status if line.startswith("VmRSS")))
"""


def resident_mb(stage):
    """Return the resident memory in MB of a process that ran ``stage``."""
    process = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(stage=stage)], check=True,
        capture_output=True, text=True, timeout=60)
    return int(process.stdout.split()[1]) / 1024


def main():
    """Measure all stages."""
    for name, stage in STAGES:
        print(json.dumps({"name": name, "unit": "MB", "n": 1,
                          "value": round(resident_mb(stage), 1)}))


if __name__ == "__main__":
    main()
