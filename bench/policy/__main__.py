"""``python -m bench.policy``: prints one JSON object per run."""

import argparse
import concurrent.futures
import json
import os

from bench.policy import load
from bench.policy import scenarios

PROCESSES = 8


def main():
    """Run the selected scenarios and print their figures."""
    args = _parse()
    runs = [(deployment, scenario, policy, args.seed)
            for deployment in args.deployment or load.DEPLOYMENTS
            for scenario in args.scenario or scenarios.SCENARIOS
            for policy in args.policy or scenarios.POLICIES]
    workers = min(args.processes, len(runs), os.cpu_count() or 1)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for row in pool.map(scenarios.run, *zip(*runs)):
            print(json.dumps(row), flush=True)


def _parse():
    parser = argparse.ArgumentParser(prog="python -m bench.policy",
                                     description=__doc__)
    parser.add_argument("--deployment", action="append",
                        choices=list(load.DEPLOYMENTS))
    parser.add_argument("--scenario", action="append",
                        choices=scenarios.SCENARIOS)
    parser.add_argument("--policy", action="append",
                        choices=scenarios.POLICIES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=PROCESSES)
    return parser.parse_args()


if __name__ == "__main__":
    main()
