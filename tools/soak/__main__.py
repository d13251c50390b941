"""Run the soak: ``python -m tools.soak --seed 1 --seconds 20``.

Closes with a plain line: N answers, N violations. Exits 1 if a promise
was broken, or if too few requests were served to say anything.
"""

import argparse
import collections
import pathlib
import sys
import tempfile
import time

from tools.soak import report

# A run that serves less than this share shows nothing.
SERVED_LEAST = 0.4


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--hosts", type=int, default=3,
                        help="entry hosts, a process each")
    parser.add_argument("--report", metavar="FILE",
                        help="write a plot of the run")
    parser.add_argument("--keep", metavar="FOLDER",
                        help="keep the hosts' logs here")
    return parser


def main(argv=None):
    """Run the soak; return the exit code."""
    args = new_parser().parse_args(argv)
    if args.keep:
        pathlib.Path(args.keep).mkdir(parents=True, exist_ok=True)
        return _run(args, args.keep)
    with tempfile.TemporaryDirectory() as folder:
        return _run(args, folder)


def _run(args, folder):
    from twisted.internet import asyncioreactor

    asyncioreactor.install()
    from tools.soak import run
    from twisted.internet import defer
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    soak = run.Soak(reactor, args.seed, folder, args.hosts)
    taken = soak.fleet.taken()
    if taken:
        print(f"addresses in use: {', '.join(taken)}; another run with this "
              "seed, or hosts that one left behind: end these first")
        return 2
    playing = defer.Deferred.fromCoroutine(run.play(soak, args.seconds))
    playing.addErrback(
        lambda failure: soak.violations.append(failure.getTraceback()))
    playing.addBoth(lambda _: reactor.stop())
    try:
        reactor.run()
    finally:
        soak.fleet.stop()
    if args.report:
        report.write(soak, args.report)
    return _close(soak, args.seed)


def _close(soak, seed):
    for line in soak.violations:
        print(f"seed {seed}: {line}")
    answers = collections.Counter(
        seen.reply.status for seen in soak.record.seen.values())
    total = sum(answers.values())
    kinds = ", ".join(fault.__name__.strip("_") for fault in soak.kinds)
    print(f"seed {seed}: faults: {kinds}")
    print(f"seed {seed}: answers by status {dict(answers)}")
    holders = {(each.host, each.fence) for each in soak.cloud.arrivals}
    print(f"seed {seed}: {len(soak.cloud.arrivals)} calls of duties by "
          f"{len(holders)} holders, one after the other")
    print(f"{total} answers, {len(soak.violations)} violations")
    served = answers[200] >= SERVED_LEAST * max(1, total)
    return 0 if served and not soak.violations else 1


if __name__ == "__main__":
    sys.exit(main())
