"""``python -m bench.outage``: one JSON object a line.

Exits with 1 if a figure that must be 0 is not.
"""

import argparse
import concurrent.futures
import json
import sys

from bench.outage import report
from bench.outage import scenarios
from bench.policy import load as loads

PROCESSES = 3


def main():
    """Run what the arguments ask for and print the figures."""
    args = _parse()
    plans = [scenarios.Plan(deployment, variant, args.seed,
                            outage_s=args.outage_s)
             for deployment in args.deployment or loads.DEPLOYMENTS
             for variant in args.variant or scenarios.VARIANTS]
    broken = False
    with concurrent.futures.ProcessPoolExecutor(args.processes) as pool:
        for rows, found in pool.map(measure, plans):
            for row in rows:
                print(json.dumps(row), flush=True)
            broken = broken or any(found.values())
    return 1 if broken else 0


def measure(plan):
    """Run a plan; return its figures and what must be 0."""
    done = scenarios.run(plan)
    return report.figures(done), report.breaches(done)


def _parse():
    parser = argparse.ArgumentParser(prog="python -m bench.outage",
                                     description=__doc__)
    parser.add_argument("--deployment", action="append",
                        choices=list(loads.DEPLOYMENTS))
    parser.add_argument("--variant", action="append",
                        choices=scenarios.VARIANTS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--outage-s", type=float, default=600.0)
    parser.add_argument("--processes", type=int, default=PROCESSES)
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
