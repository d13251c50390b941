"""``python -m bench.outage``: prints one JSON object per figure.

Exits with status 1 if a figure that must be 0 is not 0.
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
    """Run the selected plans and print their figures."""
    args = _parse()
    plans = [scenarios.Plan(deployment, variant, args.seed,
                            outage_s=args.outage_s)
             for deployment in args.deployment or loads.DEPLOYMENTS
             for variant in args.variant or scenarios.VARIANTS]
    is_violated = False
    with concurrent.futures.ProcessPoolExecutor(args.processes) as pool:
        for rows, violations in pool.map(measure, plans):
            for row in rows:
                print(json.dumps(row), flush=True)
            is_violated = is_violated or any(violations.values())
    return 1 if is_violated else 0


def measure(plan):
    """Run a plan; return its figures and those that must be 0."""
    run = scenarios.run(plan)
    return report.figures(run), report.violations(run)


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
