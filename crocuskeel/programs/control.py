"""crocuskeel-control: manages engines while it holds a lease."""

import signal
import sys
import time

from crocuskeel.control import exceptions
from crocuskeel.control import settings
from crocuskeel.programs import arguments
from crocuskeel.programs import reactors

__all__ = ["main", "new_parser"]


def new_parser():
    """Return the parser of the command line."""
    return arguments.new_parser(
        "crocuskeel-control",
        "Brings engines to the state in the settings. May run on several "
        "entry hosts, one of which is active.")


def main(argv=None):
    """Run until a requested shutdown completes; return the exit code."""
    args = new_parser().parse_args(argv)
    cfg = arguments.read_settings(
        args.settings, settings.read, exceptions.SettingsFileError)
    if cfg is None:
        return arguments.EXIT_SETTINGS
    _run(*reactors.install(), cfg)
    return 0


def _run(reactor, loop, cfg):
    from crocuskeel.control import assembly
    from crocuskeel.control import event_loop
    from crocuskeel.runtime import records

    records.configure_logging(cfg.log_file, cfg.cfg.host)
    ctx = assembly.new_runtime(
        reactor, loop.time, time.time, cfg, reactor.stop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event_loop.stop, ctx)
    reactor.callWhenRunning(event_loop.start, ctx)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    sys.exit(main())
