"""Runs the tests; the last line is ``N passed, N failed, N skipped``.

KNOWN-RED.txt at the root lists tests that fail because of a known fault:
at most three lines, each ``test, cause, issue``. Their failures are
printed but do not fail the run. If all tests are run, a listed test that
passes fails the run, so that the list stays current.
"""

import argparse
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


def read_known_failures(path):
    """Return the listed test ids; raise ValueError if there are too many."""
    if not path.exists():
        return ()
    lines = [line.strip() for line in path.read_text().splitlines()]
    names = [line.split(",")[0] for line in lines
             if line and not line.startswith("#")]
    if len(names) > MAX_KNOWN_FAILURES:
        raise ValueError(f"{path.name}: more than {MAX_KNOWN_FAILURES} lines")
    return tuple(names)


def _failed_ids(result):
    # A failed subtest counts as a failure of its test.
    failed = [test for test, _ in result.failures + result.errors]
    failed += result.unexpectedSuccesses
    return {getattr(test, "test_case", test).id() for test in failed}


def main(argv=None):
    """Run the tests below ``tests``; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="test modules; default all")
    args = parser.parse_args(argv)
    loader = unittest.defaultTestLoader
    if args.names:
        suite = loader.loadTestsFromNames(args.names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = set(read_known_failures(KNOWN_FAILURES_FILE))
    failed = _failed_ids(result)
    for name in sorted(known & failed):
        print(f"known failure, still failing: {name}")
    stale = sorted(known - failed) if not args.names else []
    for name in stale:
        print(f"known failure, but it passed: {name}: remove it from the list")
    unexpected = len(failed - known) + len(stale)
    passed = result.testsRun - len(failed) - len(result.skipped)
    sys.stderr.flush()
    print(f"{passed} passed, {unexpected} failed, "
          f"{len(result.skipped)} skipped")
    return 1 if unexpected or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
