"""Run the soak: ``python -m tools.soak --seed 1 --seconds 20``.

The last line of the output is "N answers, N violations". The exit code is
1 if a guarantee was violated, or if too few requests were served for the
result to mean anything.
"""

import argparse
import collections
import pathlib
import sys
import tempfile
import time

from tools.soak import cut_checks
from tools.soak import rejoin_checks
from tools.soak import report

# A run that serves a smaller share of the requests that some host could have
# served proves nothing.
MIN_SERVED_SHARE = 0.4


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--hosts", type=int, default=3,
                        help="number of entry hosts, each a process")
    parser.add_argument("--report", metavar="FILE",
                        help="write a plot of the run")
    parser.add_argument("--keep", metavar="FOLDER",
                        help="folder to keep the hosts' logs in")
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
    from tools.soak import session
    from twisted.internet import defer
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    soak = run.Soak(reactor, args.seed, folder, args.hosts)
    in_use = soak.fleet.addresses_in_use()
    if in_use:
        print(f"addresses in use: {', '.join(in_use)}; another run with this "
              "seed, or hosts left behind by one; stop these first")
        return 2
    finished = defer.Deferred.fromCoroutine(
        session.run_soak(soak, args.seconds))
    finished.addErrback(
        lambda failure: soak.violations.append(failure.getTraceback()))
    finished.addBoth(lambda _: reactor.stop())
    try:
        reactor.run()
    finally:
        soak.fleet.stop()
    if args.report:
        report.write(soak, args.report)
    return _print_summary(soak, args.seed)


def _print_summary(soak, seed):
    for line in soak.violations:
        print(f"seed {seed}: {line}")
    answers = collections.Counter(
        sent.reply.status for sent in soak.record.sent.values())
    total = sum(answers.values())
    kinds = ", ".join(fault.__name__.strip("_") for fault in soak.fault_kinds)
    print(f"seed {seed}: faults: {kinds}")
    print(f"seed {seed}: answers by status {dict(answers)}")
    taken_up = sum(bool(sent.request.resumes)
                   for sent in soak.record.sent.values())
    print(f"seed {seed}: {taken_up} streams taken up")
    if soak.rejoins:
        _print_shares(soak, seed)
    holders = {(each.host, each.fence) for each in soak.cloud.arrivals}
    print(f"seed {seed}: {len(soak.cloud.arrivals)} calls of duties by "
          f"{len(holders)} holders, one after the other")
    enough = _serves_enough(soak.record, soak.fleet.ips, seed)
    print(f"{total} answers, {len(soak.violations)} violations")
    return 0 if enough and not soak.violations else 1


def _print_shares(soak, seed):
    names = {kind.__name__ for kind in soak.fault_kinds}
    begun = [f"{start - soak.began_at:.0f} s {name}" for start, _, place, name
             in soak.record.faults if place == "plan" and name in names]
    print(f"seed {seed}: {', '.join(begun)}")
    found = rejoin_checks.shares(soak.record)
    print(f"seed {seed}: at hosts in touch {sum(found.taken_up)} of "
          f"{len(found.taken_up)} tries to take up streams went on, "
          f"{sum(found.streams)} of {len(found.streams)} such streams, "
          f"{sum(found.anew)} of {len(found.anew)} began anew, "
          f"{sum(found.began)} of {len(found.began)} new ones began")


def _serves_enough(record, ips, seed):
    """Return whether a run shows anything, and print the served share."""
    counted = cut_checks.servable(record, ips)
    served = sum(sent.reply.status == 200 for sent in counted)
    print(f"seed {seed}: {served} of {len(counted)} requests served that some "
          "host could have served")
    return served >= MIN_SERVED_SHARE * max(1, len(counted))


if __name__ == "__main__":
    sys.exit(main())
