"""The demo: three entry hosts, stand-ins, a mixed load, a table.

Exit code 1 if an answer was wrong or lost, or a booking ran twice.
"""

import argparse
import pathlib
import sys
import tempfile
import time

from twisted.internet import asyncioreactor

__all__ = ["main"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS = ROOT / "examples" / "paddlegum.jsonc"
READY_S = 30.0
MOST_S = 170.0


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0,
                        help="span of the load")
    parser.add_argument("--rate", type=float, default=20.0,
                        help="requests a second")
    parser.add_argument("--keep", metavar="FOLDER",
                        help="keep the processes' files here")
    return parser


def main(argv=None):
    """Run the demo; return its exit code."""
    args = new_parser().parse_args(argv)
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    codes = []
    run = defer.Deferred.fromCoroutine(_in_folder(reactor, args))
    run.addTimeout(MOST_S, reactor)
    run.addCallbacks(codes.append, _print_failure)
    run.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    return codes[0] if codes else 1


def _print_failure(fail):
    fail.printTraceback(sys.stderr)


async def _in_folder(reactor, args):
    if args.keep:
        pathlib.Path(args.keep).mkdir(parents=True, exist_ok=True)
        return await _with_fleet(reactor, args, args.keep)
    with tempfile.TemporaryDirectory() as folder:
        return await _with_fleet(reactor, args, folder)


async def _with_fleet(reactor, args, folder):
    from tools import demo_fleet
    plan = demo_fleet.new_plan(
        "wa-south", "wa-south", ("perth-a", "perth-b", "bunbury"),
        (("guide-llm", "engine", 6), ("hire-desk", "service", 3)), 3)
    fleet = demo_fleet.new_fleet(
        plan, folder, ("--models", "guide-7b:1"))
    try:
        demo_fleet.start(fleet)
        return await _drive(reactor, args, fleet)
    finally:
        demo_fleet.stop(fleet)


async def _drive(reactor, args, fleet):
    from tools import demo_fleet
    from tools import demo_load
    from tools import demo_ready
    from tools import demo_report
    from tools import demo_settings
    tree = demo_settings.read_tree(SETTINGS)
    await demo_ready.platform_up(reactor, fleet, READY_S)
    await demo_settings.load(
        reactor, fleet.platform_url, demo_fleet.PLATFORM_TOKEN, tree)
    await demo_ready.entries_up(reactor, fleet, READY_S)
    caller = demo_load.new_caller(reactor, demo_ready.doors(fleet))
    workspaces = demo_report.weights(tree)
    await demo_load.locate(caller, next(iter(workspaces)))
    answers = await demo_load.run(
        caller, demo_report.MIXES, workspaces, args.rate, args.seconds)
    runs = await demo_ready.runs(reactor, fleet)
    return demo_report.show(tree, answers, runs, args.seconds)


if __name__ == "__main__":
    sys.exit(main())
