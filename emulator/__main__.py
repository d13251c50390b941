"""Simulate deployments: ``python -m emulator run|compare|ablate|sweep``.

Without a name all bundled deployments are simulated. Seeds run in
parallel; the same seed always gives the same figures.
"""

import argparse
import concurrent.futures
import dataclasses
import os
import pathlib
import sys

from crocuskeel.programs import config_files
from emulator import deployment as deployments
from emulator import deployment_rules
from emulator import mechanisms
from emulator import report
from emulator import run

EXIT_INVALID = 2
# Factors that a sweep applies to a deployment's engines and load.
SWEEP_FACTORS = (1, 3, 10)


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m emulator", description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    for name, text in (
            ("run", "simulate, and print means over seeds"),
            ("compare", "simulate, and compare with a file written by --keep"),
            ("ablate", "measure the effect of disabling each mechanism"),
            ("sweep", "the same load per engine, in larger fleets")):
        verb = verbs.add_parser(name, help=text)
        verb.add_argument("deployments", nargs="*", metavar="DEPLOYMENT",
                          help="name of a bundled deployment, or a file")
        verb.add_argument("--seeds", type=int, default=3)
        verb.add_argument("--jobs", type=int, default=(
            os.cpu_count() or 2) // 2)
        verb.add_argument("--without", action="append", default=[],
                          choices=list(mechanisms.MECHANISMS),
                          metavar="MECHANISM",
                          help="mechanism to disable; ablate lists all")
        verb.add_argument("--scheduling", metavar="JSON",
                          help="settings of the hosts' scheduling, instead "
                          "of those of the deployments")
        verb.add_argument("--keep", metavar="FILE", type=pathlib.Path)
        verb.add_argument("--plot", metavar="FILE")
        if name == "compare":
            verb.add_argument("--with", metavar="FILE", required=True,
                              type=pathlib.Path, dest="other")
    return parser


def _simulate(job):
    """Simulate one run; return the job and its Result."""
    deployment, variant, seed = job
    with mechanisms.without(variant):
        return job, run.play(deployment, seed)


def _simulate_all(selected, variants, args):
    """Return {(deployment, variant): Results by seed}."""
    jobs = [(each, variant, seed) for each in selected
            for variant in variants for seed in range(args.seeds)]
    results_by_run = {(each.name, variant): [] for each in selected
                      for variant in variants}
    with concurrent.futures.ProcessPoolExecutor(
            max(1, args.jobs)) as pool:
        for number, (job, result) in enumerate(pool.map(_simulate, jobs), 1):
            results_by_run[job[0].name, job[1]].append(result)
            print(f"\r{number} of {len(jobs)} runs", end="",
                  file=sys.stderr, flush=True)
    print(file=sys.stderr)
    return results_by_run


def _result_rows(results_by_run):
    return {key: [result.row() for result in results]
            for key, results in results_by_run.items()}


def _run_ablation(selected, args):
    names = args.without or list(mechanisms.MECHANISMS)
    rows = _result_rows(_simulate_all(selected, ["", *names], args))
    base = {each.name: rows[each.name, ""] for each in selected}
    variants = {name: {each.name: rows[each.name, name] for each in selected}
                for name in names}
    print(report.table({(name, ""): each for name, each in base.items()}))
    print()
    print("Change of goodput without each mechanism, by deployment:")
    print()
    print(report.delta_table("goodput", base, variants))
    return rows


def _scale_deployment(deployment, factor):
    engines = dataclasses.replace(
        deployment.engines, count=deployment.engines.count * factor)
    plain = dataclasses.replace(
        deployment.plain, count=deployment.plain.count * factor)
    kinds = tuple(dataclasses.replace(
        kind, a_second=kind.a_second * factor) for kind in deployment.kinds)
    faults = tuple(dataclasses.replace(
        fault, count=fault.count * factor) for fault in deployment.faults)
    return dataclasses.replace(
        deployment, name=f"{deployment.name} x{factor}",
        hosts=deployment.hosts * factor, engines=engines, plain=plain,
        kinds=kinds, faults=faults)


def _load_inputs(args):
    """Return the deployments and the rows to compare with, or None.

    Errors in a file are printed.
    """
    try:
        selected = [deployment_rules.with_scheduling(
            deployments.read(name), args.scheduling) for name
            in args.deployments or deployments.bundled_names()]
        if args.verb != "compare":
            return selected, {}
        return selected, _label_as_before(report.load_rows(args.other))
    except config_files.InvalidFileError as exc:
        for error in exc.errors:
            print(error, file=sys.stderr)
    except OSError as exc:
        print(f"{exc.filename}: {exc.strerror}", file=sys.stderr)
    except (ValueError, KeyError, TypeError) as exc:
        print(f"{args.other}: not written by --keep: {exc!r}",
              file=sys.stderr)
    return None


def _run_and_report(selected, baseline_rows, args):
    """Simulate, print a table, and write a plot if requested."""
    results_by_run = _simulate_all(selected, args.without or [""], args)
    rows = _result_rows(results_by_run)
    print(report.table({**baseline_rows, **rows}))
    if args.plot:
        report.plot(args.plot, {
            f"{name} {variant}".strip(): results[0]
            for (name, variant), results in results_by_run.items()})
    return rows


def main(argv=None):
    """Execute the requested command; return the exit code."""
    args = new_parser().parse_args(argv)
    inputs = _load_inputs(args)
    if inputs is None:
        return EXIT_INVALID
    selected, baseline_rows = inputs
    if args.verb == "sweep":
        selected = [_scale_deployment(each, factor)
                    for each in selected for factor in SWEEP_FACTORS]
    if args.verb == "ablate":
        rows = _run_ablation(selected, args)
    else:
        rows = _run_and_report(selected, baseline_rows, args)
    if args.keep:
        report.save_rows(args.keep, rows)
    return 0


def _label_as_before(rows):
    return {(name, f"{variant} before".strip()): each
            for (name, variant), each in rows.items()}


if __name__ == "__main__":
    sys.exit(main())
