"""Run the fault drive: ``python -m tools.faults``.

Prints one line a promise with its cases and violations. Exit code 1 on
a violation, or where a promise had no case to judge.
"""

import argparse
import pathlib
import signal
import sys
import tempfile
import time

from twisted.internet import asyncioreactor

__all__ = ["main"]

MOST_S = 118.0


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m tools.faults", description=__doc__)
    parser.add_argument("--rate", type=float, default=20.0,
                        help="requests a second, before bursts")
    parser.add_argument("--only", metavar="STEP,STEP",
                        help="run just these steps of the script")
    parser.add_argument("--keep", metavar="FOLDER",
                        help="keep the processes' files here")
    return parser


def main(argv=None):
    """Run the drive; return its exit code."""
    args = new_parser().parse_args(argv)
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    if args.keep:
        pathlib.Path(args.keep).mkdir(parents=True)
        return _run(reactor, defer, args, args.keep)
    with tempfile.TemporaryDirectory() as folder:
        return _run(reactor, defer, args, folder)


def _run(reactor, defer, args, folder):
    from tools.faults import drive
    from tools.faults import fleet as fleets

    fleet = fleets.new_fleet(folder)
    codes = []
    try:
        run = defer.Deferred.fromCoroutine(drive.run(reactor, args, fleet))
        # A stop, as a cancelled step could go on.
        reactor.callLater(MOST_S, _too_long, reactor)
        run.addCallbacks(codes.append, _print_failure)
        run.addBoth(lambda _: reactor.callLater(0, _stop, reactor))
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: reactor.callFromThread(
                _stop, reactor))
        reactor.run(installSignalHandlers=False)
    finally:
        fleets.end_all(fleet)
    return codes[0] if codes else 1


def _stop(reactor):
    if reactor.running:
        reactor.stop()


def _too_long(reactor):
    print(f"FAILED not over after {MOST_S} s", flush=True)
    _stop(reactor)


def _print_failure(fail):
    fail.printTraceback(sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
