"""Verifies the models of this directory and their broken variants with spin.

The header comment of a model lists at least one broken variant, one per
line: ``BROKEN_NAME: what is broken``. The model itself must have no errors
in its complete state space; each variant must violate an assertion.
Requires ``spin`` and a C compiler. Prints one line per variant.
"""

import argparse
from concurrent import futures
import pathlib
import re
import subprocess
import sys
import time

MODELS_DIR = pathlib.Path(__file__).resolve().parent
BUILD_DIR = MODELS_DIR / "build"
VARIANT = re.compile(r"^ \*\s+(BROKEN_[A-Z_]+)\b", re.MULTILINE)
ERRORS = re.compile(r"errors: (\d+)")
STATES = re.compile(r"(\d+) states, stored")
ASSERTION_VIOLATED = "assertion violated"
INCOMPLETE = ("search depth too small", "Search not completed",
              "out of memory", "reached -DMEMLIM")
MEMORY_MB = 4096
DEPTH = 2_000_000
TIMEOUT_S = 240
# Each verifier may use MEMORY_MB; together about a third of 32 GB.
WORKERS = 3


def variants(model):
    """Return the names of the broken variants in a model's header."""
    header = model.read_text().split("*/", 1)[0]
    return list(dict.fromkeys(VARIANT.findall(header)))


def check_models(models):
    """Check models and their variants; return whether all checks passed.

    A model without a variant fails: nothing would show that its
    assertions can detect an error, and the variants of a header in
    another format would be skipped unnoticed.
    """
    variants_by_model = {model: variants(model) for model in models}
    without_variants = [model for model, broken in variants_by_model.items()
                        if not broken]
    for model in without_variants:
        print(f"FAILED {model.name}: no BROKEN_ variant in the header")
    runs = [(model, variant) for model, broken in variants_by_model.items()
            for variant in ["", *broken]]
    with futures.ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(check, *zip(*runs)))
    return not without_variants and all(results)


def explore(model, variant):
    """Build and run the verifier of one variant; return its output."""
    build_dir = BUILD_DIR / f"{model.stem}-{variant or 'correct'}"
    build_dir.mkdir(parents=True, exist_ok=True)
    defines = [f"-D{variant}"] if variant else []
    subprocess.run(
        ["spin", "-a", *defines, str(model)], cwd=build_dir, check=True,
        capture_output=True, timeout=TIMEOUT_S)
    subprocess.run(
        ["cc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE",
         f"-DMEMLIM={MEMORY_MB}", "-o", "pan", "pan.c"],
        cwd=build_dir, check=True, timeout=TIMEOUT_S)
    done = subprocess.run(
        ["./pan", f"-m{DEPTH}"], cwd=build_dir, capture_output=True,
        text=True, timeout=TIMEOUT_S)
    return done.stdout + done.stderr


def evaluate(report, variant):
    """Return whether a report is as expected, and a short reason."""
    errors = ERRORS.search(report)
    if errors is None:
        return False, "no result"
    if variant:
        caught = ASSERTION_VIOLATED in report and errors[1] != "0"
        return caught, "caught" if caught else "NOT caught"
    if errors[1] != "0":
        return False, f"errors: {errors[1]}"
    if any(each in report for each in INCOMPLETE):
        return False, "search not complete"
    return True, "errors: 0"


def check(model, variant):
    """Check one variant, print its line, return whether it passed."""
    started_at = time.monotonic()
    try:
        report = explore(model, variant)
        passed, reason = evaluate(report, variant)
    except (OSError, subprocess.SubprocessError) as exc:
        report, passed, reason = "", False, f"not run: {exc}"
    states = STATES.search(report)
    state_count = states[1] if states else "?"
    duration_s = time.monotonic() - started_at
    print(f"{'ok' if passed else 'FAILED':6} {model.name} "
          f"{variant or 'correct'}: {reason}, {state_count} states, "
          f"{duration_s:.1f} s", flush=True)
    return passed


def main(argv=None):
    """Check the given models, or all; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("models", nargs="*", type=pathlib.Path)
    args = parser.parse_args(argv)
    models = args.models or sorted(MODELS_DIR.glob("*.pml"))
    if not models:
        return 1
    return 0 if check_models([each.resolve() for each in models]) else 1


if __name__ == "__main__":
    sys.exit(main())
