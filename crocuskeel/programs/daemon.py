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
_EXIT_START_FAILED = 1


def new_parser():
    """Return the parser of the command line."""
    return arguments.new_parser("crocuskeeld", "Daemon of an entry host.")


def main(argv=None):
    """Run the daemon until it is drained; return the exit code."""
    args = new_parser().parse_args(argv)
    cfg = arguments.read_settings(
        args.settings, settings.read, exceptions.SettingsFileError)
    if cfg is None:
        return arguments.EXIT_SETTINGS
    return _run(*reactors.install(), cfg)


def _run(reactor, loop_, cfg):
    from crocuskeel.core import events
    from crocuskeel.runtime import loop
    from crocuskeel.runtime import program
    from crocuskeel.runtime import records

    records.configure_logging(cfg.log_file, cfg.host)
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
    started.addCallbacks(_freeze_startup_objects, _start_failed,
                         errbackArgs=(ctx.reactor, codes))
    ctx.reactor.run(installSignalHandlers=False)
    return codes[0]


def _freeze_startup_objects(_):
    # A collection of all generations walks every module, which pauses all
    # streams for 16 ms. Objects from the start stay alive anyway, and requests
    # create too few cycles to collect them that often.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


def _start_failed(failure, reactor, codes):
    from loguru import logger

    logger.error("could not start: {}", failure.getErrorMessage())
    codes[0] = _EXIT_START_FAILED
    reactor.callLater(0, reactor.stop)


if __name__ == "__main__":
    sys.exit(main())
