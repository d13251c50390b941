"""``python -m bench.report``: measure, store results, write the page."""

import argparse
import datetime
import os
import subprocess
import sys

from bench import capacity
from bench.report import history
from bench.report import page
from bench.report import results

PAGE_DIRECTORY = capacity.ROOT / "docs" / "benchmarks"
POLICY_SOURCES = (("policy", ("-m", "bench.policy")),)
MEASURED_CODE = ("crocuskeel", "bench", ":!bench/results")


def _measure(sources):
    """Run benchmarks; if one fails, its stored figures remain."""
    for name, command in sources:
        print(f"measuring {name}", file=sys.stderr, flush=True)
        process = subprocess.run(
            [sys.executable, *command], cwd=capacity.ROOT, check=True,
            stdout=subprocess.PIPE, text=True, timeout=capacity.TIMEOUT_S)
        path = capacity.RESULTS / f"{name}.jsonl"
        new_path = path.with_suffix(".new")
        new_path.write_text(process.stdout)
        os.replace(new_path, path)


def _git(*args):
    return subprocess.run(
        ["git", *args], cwd=capacity.ROOT, check=True,
        capture_output=True, text=True).stdout.strip()


def _commit():
    """Return the short commit hash, with a + if the code differs from it."""
    changed = _git("status", "--porcelain", "--", *MEASURED_CODE)
    return _git("rev-parse", "--short", "HEAD") + ("+" if changed else "")


def main(argv=None):
    """Return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m bench.report",
                                     description=__doc__)
    mode = parser.add_mutually_exclusive_group()
    mode.add_argument("--measure", action="store_true",
                      help="run all benchmarks (about ten minutes)")
    mode.add_argument("--kept", action="store_true",
                      help="run none; only write the page")
    args = parser.parse_args(argv)
    if args.measure:
        capacity.measure()
        _measure(results.LOOPBACK_SOURCES)
    if not args.kept:
        _measure(POLICY_SOURCES)
    _write_page(args.kept)
    return 0


def _write_page(only_stored):
    stored = results.read(capacity.RESULTS)
    path = capacity.RESULTS / "history.jsonl"
    if only_stored:
        rows = history.load(path)
    else:
        date = datetime.datetime.now(datetime.UTC).date().isoformat()
        figures = history.headlines(results.FigureReader(stored))
        rows = history.append(path, date, _commit(), figures)
    page.write(stored, rows, PAGE_DIRECTORY)


if __name__ == "__main__":
    sys.exit(main())
