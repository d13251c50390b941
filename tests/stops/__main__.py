"""Plays ways to stop hosts: ``python -m tests.stops --seed 1 CASE...``."""

import argparse
import sys

from tests.stops import cases


def main():
    """Print the result of each case; return the exit code."""
    known = {**cases.FLEETS, **cases.CASES, **cases.HEAVY}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("cases", nargs="*", metavar="CASE", default=[*known],
                        help=f"by default all of {', '.join(known)}")
    args = parser.parse_args()
    failed = False
    for name in args.cases:
        result = cases.play(name, args.seed)
        ended = sorted(round(at, 2) for at in result.ended_after.values())
        print(f"{name}, seed {args.seed}: {dict(result.counts)}, hosts ended "
              f"after {ended} s, in order: {result.ended_in_order}",
              flush=True)
        failed |= bool(result.counts["lost"] or not result.ended_in_order)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
