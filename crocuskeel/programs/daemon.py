"""crocuskeeld: the daemon of an entry host."""

import argparse
import asyncio
import signal
import sys
import time

from twisted.internet import asyncioreactor

from crocuskeel.runtime import exceptions
from crocuskeel.runtime import settings

__all__ = ["main", "new_parser"]

_EXIT_SETTINGS = 2


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="crocuskeeld", description="Daemon of an entry host.")
    parser.add_argument(
        "--settings", required=True, metavar="FILE",
        help="process settings, JSON with comments")
    return parser


def main(argv=None):
    """Run the daemon until it is drained; return the exit code."""
    args = new_parser().parse_args(argv)
    try:
        cfg = settings.read(args.settings)
    except exceptions.BadSettingsFile as exc:
        print(f"{args.settings}: {exc}", file=sys.stderr)
        return _EXIT_SETTINGS
    reactor = _install_reactor()
    _run(reactor, cfg)
    return 0


def _install_reactor():
    # grpclib runs on asyncio: both share one loop. klein installs the
    # default reactor when it is imported, so this comes before it.
    asyncioreactor.install()
    from twisted.internet import reactor
    # Twisted's seconds are the wall clock's: set back by an hour, it
    # would hold every deadline of the daemon for an hour.
    reactor.seconds = time.monotonic
    return reactor


def _run(reactor, cfg):
    from twisted.internet import defer

    from crocuskeel.core import events
    from crocuskeel.runtime import loop
    from crocuskeel.runtime import program
    from crocuskeel.runtime import records

    records.begin_logs(cfg.log_file, cfg.host)
    ctx = program.new_runtime(reactor, cfg, time.time)
    ctx.on_exit = reactor.stop
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_event_loop().add_signal_handler(
            number, loop.feed, ctx, events.DrainAsked())
    started = defer.Deferred.fromCoroutine(program.start(ctx))
    started.addErrback(_could_not_start, reactor)
    reactor.run(installSignalHandlers=False)


def _could_not_start(fail, reactor):
    from loguru import logger

    logger.error("could not start: {}", fail.getErrorMessage())
    reactor.callLater(0, reactor.stop)


if __name__ == "__main__":
    sys.exit(main())
