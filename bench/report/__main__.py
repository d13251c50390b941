"""``python -m bench.report``: measure, keep, and write the page."""

import argparse
import datetime
import os
import subprocess
import sys

from bench import capacity
from bench.report import history
from bench.report import kept as kept_figures
from bench.report import page

FOLDER = capacity.ROOT / "docs" / "benchmarks"
POLICY = (("policy", ("-m", "bench.policy")),)
MEASURED_CODE = ("crocuskeel", "bench", ":!bench/results")


def _measure(sources):
    """Run benchmarks; a failed one leaves its kept figures as they are."""
    for name, command in sources:
        print(f"measuring {name}", file=sys.stderr, flush=True)
        done = subprocess.run(
            [sys.executable, *command], cwd=capacity.ROOT, check=True,
            stdout=subprocess.PIPE, text=True, timeout=capacity.TIMEOUT_S)
        path = capacity.RESULTS / f"{name}.jsonl"
        fresh = path.with_suffix(".new")
        fresh.write_text(done.stdout)
        os.replace(fresh, path)


def _git(*args):
    return subprocess.run(
        ["git", *args], cwd=capacity.ROOT, check=True,
        capture_output=True, text=True).stdout.strip()


def _commit():
    """Return the short commit, with a + if the code differs from it."""
    changed = _git("status", "--porcelain", "--", *MEASURED_CODE)
    return _git("rev-parse", "--short", "HEAD") + ("+" if changed else "")


def main(argv=None):
    """Return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m bench.report",
                                     description=__doc__)
    which = parser.add_mutually_exclusive_group()
    which.add_argument("--measure", action="store_true",
                       help="run all benchmarks (about ten minutes)")
    which.add_argument("--kept", action="store_true",
                       help="run none; just write the page")
    args = parser.parse_args(argv)
    if args.measure:
        capacity.measure()
        _measure(kept_figures.HOSTS)
    if not args.kept:
        _measure(POLICY)
    _write(args.kept)
    return 0


def _write(is_old):
    kept = kept_figures.read(capacity.RESULTS)
    path = capacity.RESULTS / "history.jsonl"
    if is_old:
        rows = history.load(path)
    else:
        date = datetime.datetime.now(datetime.UTC).date().isoformat()
        figures = history.headlines(kept_figures.Asked(kept))
        rows = history.keep(path, date, _commit(), figures)
    page.write(kept, rows, FOLDER)


if __name__ == "__main__":
    sys.exit(main())
