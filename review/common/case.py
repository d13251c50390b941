"""Runs a case: its set-up, its record, its exit code."""

import asyncio
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import traceback

from review.common import record as records

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# Time limit of a run, s.
LIMIT_S = 110.0


def has_trouble():
    """Return whether the run is one with the disturbance."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _run(run, record, scratch):
    # The stand-ins' open connections are cancelled at the end; that is no
    # error of the run.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    return await asyncio.wait_for(run(record, scratch), LIMIT_S)


def main(folder, run):
    """Run ``run(record, folder)``, which returns the faults it found."""
    # An ended run ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record = records.Record(pathlib.Path(folder) / "record.txt")
    scratch = tempfile.mkdtemp(prefix="review-")
    try:
        faults = asyncio.run(_run(run, record, scratch))
    except Exception as exc:
        traceback.print_exc()
        record.add("cannot_run", why=repr(exc))
        record.write()
        print(f"could not run: {exc!r}")
        sys.exit(CANNOT_RUN)
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    for fault in faults:
        record.add("FAULT", text=fault)
    record.add("verdict", broken=bool(faults), trouble=has_trouble())
    record.write()
    print("\n".join(faults) or "the rule held")
    sys.exit(BROKEN if faults else HELD)
