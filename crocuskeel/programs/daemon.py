"""crocuskeeld: the daemon of an entry host."""

import gc
import signal
import sys
import time

from crocuskeel.programs import arguments
from crocuskeel.programs import reactors
from crocuskeel.runtime import exceptions
from crocuskeel.runtime import settings

__all__ = ["main", "new_parser", "serve"]

_GC_THRESHOLDS = (10_000, 20, 20)
_EXIT_START = 1


def new_parser():
    """Return the parser of the command line."""
    return arguments.new_parser("crocuskeeld", "Daemon of an entry host.")


def main(argv=None):
    """Run the daemon until it is drained; return the exit code."""
    args = new_parser().parse_args(argv)
    cfg = arguments.read_settings(
        args.settings, settings.read, exceptions.BadSettingsFile)
    if cfg is None:
        return arguments.EXIT_SETTINGS
    return _run(*reactors.install(), cfg)


def _run(reactor, loop_, cfg):
    from crocuskeel.core import events
    from crocuskeel.runtime import loop
    from crocuskeel.runtime import program
    from crocuskeel.runtime import records

    records.begin_logs(cfg.log_file, cfg.host)
    ctx = program.new_runtime(reactor, cfg, time.time)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop_.add_signal_handler(
            number, loop.feed, ctx, events.DrainAsked())
    return serve(ctx)


def serve(ctx):
    """Run a daemon until it exits; return the exit code."""
    from twisted.internet import defer

    from crocuskeel.runtime import program

    codes = [0]
    ctx.on_exit = ctx.reactor.stop
    started = defer.Deferred.fromCoroutine(program.start(ctx))
    started.addCallbacks(_settle_memory, _could_not_start,
                         errbackArgs=(ctx.reactor, codes))
    ctx.reactor.run(installSignalHandlers=False)
    return codes[0]


def _settle_memory(_):
    # Collecting all generations walks every module: a pause of 16 ms
    # for all streams. What was loaded by the start stays anyway, and
    # requests leave too few cycles to look for them so often.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


def _could_not_start(fail, reactor, codes):
    from loguru import logger

    logger.error("could not start: {}", fail.getErrorMessage())
    codes[0] = _EXIT_START
    reactor.callLater(0, reactor.stop)


if __name__ == "__main__":
    sys.exit(main())
