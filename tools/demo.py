"""Runs three entry hosts and stand-ins under a mixed load; prints a table.

The exit code is 1 if an answer was wrong or lost, if a booking ran twice
or if a request that was refused as not run was run.
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
READY_TIMEOUT_S = 30.0
RUN_TIMEOUT_S = 170.0


def new_parser():
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0,
                        help="duration of the load")
    parser.add_argument("--rate", type=float, default=20.0,
                        help="requests per second")
    parser.add_argument("--keep", metavar="FOLDER",
                        help="keep the process files in this folder")
    return parser


def main(argv=None):
    """Run the demo; return its exit code."""
    args = new_parser().parse_args(argv)
    asyncioreactor.install()
    from twisted.internet import defer
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    codes = []
    run = defer.Deferred.fromCoroutine(_run_in_folder(reactor, args))
    run.addTimeout(RUN_TIMEOUT_S, reactor)
    run.addCallbacks(codes.append, _print_failure)
    run.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    return codes[0] if codes else 1


def _print_failure(failure):
    failure.printTraceback(sys.stderr)


async def _run_in_folder(reactor, args):
    if args.keep:
        pathlib.Path(args.keep).mkdir(parents=True, exist_ok=True)
        return await _run_with_fleet(reactor, args, args.keep)
    with tempfile.TemporaryDirectory() as folder:
        return await _run_with_fleet(reactor, args, folder)


async def _run_with_fleet(reactor, args, folder):
    from tools import demo_fleet
    plan = demo_fleet.new_plan(
        "wa-south", "wa-south", ("perth-a", "perth-b", "bunbury"),
        (("guide-llm", "engine", 6), ("hire-desk", "service", 3)), 3)
    fleet = demo_fleet.new_fleet(
        plan, folder, ("--models", "guide-7b:1"))
    try:
        demo_fleet.start(fleet)
        return await _run_load(reactor, args, fleet)
    finally:
        demo_fleet.stop(fleet)


async def _run_load(reactor, args, fleet):
    from tools import demo_fleet
    from tools import demo_load
    from tools import demo_ready
    from tools import demo_report
    from tools import demo_settings
    tree = demo_settings.read_tree(SETTINGS)
    await demo_ready.platform_up(reactor, fleet, READY_TIMEOUT_S)
    await demo_settings.load(
        reactor, fleet.platform_url, demo_fleet.PLATFORM_TOKEN, tree)
    await demo_ready.entries_up(reactor, fleet, READY_TIMEOUT_S)
    generator = demo_load.new_generator(reactor, demo_ready.doors(fleet))
    workspaces = demo_report.workspace_weights(tree)
    await demo_load.locate(generator, next(iter(workspaces)))
    answers = await demo_load.run(
        generator, demo_report.TRAFFIC_CLASSES, workspaces, args.rate,
        args.seconds)
    run_counts = await demo_ready.read_run_counts(reactor, fleet)
    return demo_report.print_report(tree, answers, run_counts, args.seconds)


if __name__ == "__main__":
    sys.exit(main())
