"""Run the fault drive: ``python -m tools.faults``.

Prints one line per guarantee with the number of cases and violations. The
exit code is 1 on a violation, if a guarantee had no case to check or if a
step failed.
"""

import argparse
import pathlib
import signal
import sys
import tempfile
import time

from twisted.internet import asyncioreactor

__all__ = ["main"]

RUN_TIMEOUT_S = 118.0


def new_parser():
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="python -m tools.faults", description=__doc__)
    parser.add_argument("--rate", type=float, default=20.0,
                        help="requests per second, bursts not included")
    parser.add_argument("--only", metavar="STEP,STEP",
                        help="run only these steps")
    parser.add_argument("--keep", metavar="FOLDER",
                        help="keep the process files in this new folder")
    return parser


def main(argv=None):
    """Run the fault drive; return its exit code."""
    args = new_parser().parse_args(argv)
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    if args.keep:
        pathlib.Path(args.keep).mkdir(parents=True)
        return _run_drive(reactor, defer, args, args.keep)
    with tempfile.TemporaryDirectory() as folder:
        return _run_drive(reactor, defer, args, folder)


def _run_drive(reactor, defer, args, folder):
    from tools.faults import fleet as fleets
    from tools.faults import runner

    fleet = fleets.new_fleet(folder)
    codes = []
    try:
        run = defer.Deferred.fromCoroutine(runner.run(reactor, args, fleet))
        # Stops the reactor, since a cancelled step could continue.
        reactor.callLater(RUN_TIMEOUT_S, _on_timeout, reactor)
        run.addCallbacks(codes.append, _print_failure)
        run.addBoth(lambda _: reactor.callLater(0, _stop, reactor))
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: reactor.callFromThread(
                _stop, reactor))
        reactor.run(installSignalHandlers=False)
    finally:
        fleets.stop_all(fleet)
    return codes[0] if codes else 1


def _stop(reactor):
    if reactor.running:
        reactor.stop()


def _on_timeout(reactor):
    print(f"FAILED timed out after {RUN_TIMEOUT_S} s", flush=True)
    _stop(reactor)


def _print_failure(failure):
    failure.printTraceback(sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
