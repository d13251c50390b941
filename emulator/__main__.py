"""Play deployments: ``python -m emulator run|compare|ablate|sweep``.

Without a name all deployments that come with it are played. Seeds run
side by side; the same seed gives the same figures.
"""

import argparse
import concurrent.futures
import dataclasses
import os
import pathlib
import sys

from emulator import deployment as deployments
from emulator import mechanisms
from emulator import report
from emulator import run

EXIT_BAD = 2
# Engines and load of a sweep, as multiples of the deployment's.
SIZES = (1, 3, 10)


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m emulator", description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    for name, text in (
            ("run", "play, and print means over seeds"),
            ("compare", "play, and set beside a file that run kept"),
            ("ablate", "what each mechanism is worth"),
            ("sweep", "the same load an engine, in larger fleets")):
        verb = verbs.add_parser(name, help=text)
        verb.add_argument("deployments", nargs="*", metavar="DEPLOYMENT",
                          help="a known name or a file")
        verb.add_argument("--seeds", type=int, default=3)
        verb.add_argument("--jobs", type=int, default=(
            os.cpu_count() or 2) // 2)
        verb.add_argument("--without", action="append", default=[],
                          choices=list(mechanisms.MECHANISMS),
                          metavar="MECHANISM",
                          help="switch off; ablate lists all")
        verb.add_argument("--keep", metavar="FILE", type=pathlib.Path)
        verb.add_argument("--plot", metavar="FILE")
        if name == "compare":
            verb.add_argument("--with", metavar="FILE", required=True,
                              type=pathlib.Path, dest="other")
    return parser


def _play(asked):
    """Play one run; return (what was asked, its Result)."""
    deployment, variant, seed = asked
    with mechanisms.without(variant):
        return asked, run.play(deployment, seed)


def _play_all(found, variants, args):
    """Return {(deployment, variant): Results by seed}."""
    asked = [(each, variant, seed) for each in found
             for variant in variants for seed in range(args.seeds)]
    played = {(each.name, variant): [] for each in found
              for variant in variants}
    with concurrent.futures.ProcessPoolExecutor(
            max(1, args.jobs)) as pool:
        for number, (what, result) in enumerate(pool.map(_play, asked), 1):
            played[what[0].name, what[1]].append(result)
            print(f"\r{number} of {len(asked)} runs", end="",
                  file=sys.stderr, flush=True)
    print(file=sys.stderr)
    return played


def _rows(played):
    return {key: [result.row() for result in results]
            for key, results in played.items()}


def _ablate(found, args):
    names = args.without or list(mechanisms.MECHANISMS)
    rows = _rows(_play_all(found, ["", *names], args))
    base = {each.name: rows[each.name, ""] for each in found}
    variants = {name: {each.name: rows[each.name, name] for each in found}
                for name in names}
    print(report.table({(name, ""): each for name, each in base.items()}))
    print()
    print("Change of goodput without each mechanism, by deployment:")
    print()
    print(report.delta_table("goodput", base, variants))
    return rows


def _larger(deployment, times):
    engines = dataclasses.replace(
        deployment.engines, count=deployment.engines.count * times)
    plain = dataclasses.replace(
        deployment.plain, count=deployment.plain.count * times)
    kinds = tuple(dataclasses.replace(
        kind, a_second=kind.a_second * times) for kind in deployment.kinds)
    faults = tuple(dataclasses.replace(
        fault, count=fault.count * times) for fault in deployment.faults)
    return dataclasses.replace(
        deployment, name=f"{deployment.name} x{times}",
        hosts=deployment.hosts * times, engines=engines, plain=plain,
        kinds=kinds, faults=faults)


def _read(args):
    """Return the deployments and what to set them beside, or None.

    What is wrong with a file is printed.
    """
    try:
        found = [deployments.read(name) for name
                 in args.deployments or deployments.known()]
        if args.verb != "compare":
            return found, {}
        return found, _named(report.kept(args.other))
    except deployments.BadDeployment as exc:
        for error in exc.errors:
            print(error, file=sys.stderr)
    except OSError as exc:
        print(f"{exc.filename}: {exc.strerror}", file=sys.stderr)
    except (ValueError, KeyError, TypeError) as exc:
        print(f"{args.other}: not written by --keep: {exc!r}",
              file=sys.stderr)
    return None


def _run(found, before, args):
    """Play, print a table, and draw if that is asked for."""
    played = _play_all(found, args.without or [""], args)
    rows = _rows(played)
    print(report.table({**before, **rows}))
    if args.plot:
        report.plot(args.plot, {
            f"{name} {variant}".strip(): results[0]
            for (name, variant), results in played.items()})
    return rows


def main(argv=None):
    """Play what the arguments ask for; return the exit code."""
    args = new_parser().parse_args(argv)
    read = _read(args)
    if read is None:
        return EXIT_BAD
    found, before = read
    if args.verb == "sweep":
        found = [_larger(each, times) for each in found for times in SIZES]
    if args.verb == "ablate":
        rows = _ablate(found, args)
    else:
        rows = _run(found, before, args)
    if args.keep:
        report.keep(args.keep, rows)
    return 0


def _named(rows):
    return {(name, f"{variant} before".strip()): each
            for (name, variant), each in rows.items()}


if __name__ == "__main__":
    sys.exit(main())
