"""crocuskeel-entry: the daemon of an entry host on the platform."""

import argparse
import functools
import os
import signal
import sys
import time

__all__ = ["main", "new_parser"]

SETTINGS_VARIABLE = "CROCUSKEEL_BOOT"
SETTINGS_PATH = "/etc/crocuskeel/boot.conf"
EXIT_SETTINGS = 2


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="crocuskeel-entry",
        description="Daemon of an entry host on the platform.")
    parser.add_argument(
        "--settings", metavar="FILE",
        default=os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH),
        help="the platform's settings file")
    parser.add_argument(
        "--statsd", metavar="IP:PORT", type=_address,
        help="also send metrics to this statsd server (by UDP)")
    parser.add_argument(
        "--capacity", metavar="FILE",
        help="capacity policy, JSON with comments")
    parser.add_argument(
        "--scheduling", metavar="FILE",
        help="scheduling under heavy load, JSON with comments")
    parser.add_argument(
        "--check", action="store_true",
        help="check the settings files and exit")
    return parser


def _address(text):
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit():
        raise argparse.ArgumentTypeError(f"{text!r} is not IP:PORT")
    return (ip, int(port))


def main(argv=None):
    """Run until stopped; return the exit code."""
    # Its default would end the process until a handler is installed; the
    # settings file is read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports take some hundred milliseconds on a small host.
    from crocuskeel.core.duties import capacity
    from crocuskeel.core.scheduling import settings as scheduling_settings
    from crocuskeel.platform import boot as boot_settings
    from crocuskeel.programs import policy
    from crocuskeel.programs import scheduling_file

    args = new_parser().parse_args(argv)
    boot = _read_file(args.settings, boot_settings.parse_boot_settings)
    capacity_policy = capacity.Policy()
    if args.capacity is not None:
        capacity_policy = _read_file(args.capacity, policy.parse_policy)
    scheduling = scheduling_settings.Settings()
    if args.scheduling is not None:
        scheduling = _read_file(
            args.scheduling, scheduling_file.parse_scheduling)
    if None in (boot, capacity_policy, scheduling):
        return EXIT_SETTINGS
    if args.check:
        print(f"{args.settings}: good")
        return 0
    return _run(boot, args.settings, capacity_policy, scheduling,
                args.statsd)


def _read_file(path, read):
    """Return what ``read`` parses from a file, or None.

    Errors in the file are printed.
    """
    from crocuskeel.platform import exceptions
    from crocuskeel.programs import config_files

    try:
        with open(path, encoding="utf-8") as lines:
            return read(lines.read())
    except OSError as exc:
        print(f"{path}: {exc.strerror}", file=sys.stderr)
    except UnicodeDecodeError as exc:
        print(f"{path}: {exc}", file=sys.stderr)
    except (exceptions.BootSettingsError,
            config_files.InvalidFileError) as exc:
        for error in exc.errors:
            print(f"{path}: {error}", file=sys.stderr)
    return None


def _run(boot, path, capacity_policy, scheduling, statsd_address):
    from twisted.internet import asyncioreactor

    asyncioreactor.install()
    from twisted.internet import reactor

    from crocuskeel.gateway import logs
    from crocuskeel.platform import assembly

    # Twisted's clock is the time of day, which can jump. CLOCK_BOOTTIME also
    # advances while the host is suspended, so that a lease expires then.
    reactor.seconds = functools.partial(
        time.clock_gettime, time.CLOCK_BOOTTIME)
    log, flush = logs.new_log(reactor, sys.stdout.fileno(), boot.host)
    log("started", {"pid": os.getpid(), "domain": boot.domain})
    gateway, reloader = assembly.start(
        reactor, boot, path, log, reactor.stop, capacity_policy,
        statsd_address, scheduling)
    gateway.flush_log = flush
    _stop_at_sigterm(reactor, gateway.stop)
    reactor._asyncioEventloop.add_signal_handler(
        signal.SIGHUP, reloader.reload)
    reactor.run(installSignalHandlers=False)
    flush()
    # The interpreter's teardown takes tenths of a second on a small host, of
    # the little that is left of a grace period.
    os._exit(0)


def _stop_at_sigterm(reactor, stop):
    """Call ``stop`` with the time of a SIGTERM, in a turn of the loop.

    The grace period runs from the signal, and a busy loop comes to it late.
    """
    asked_at = []

    def note_time(signum, frame):
        asked_at.append(reactor.seconds())

    reactor._asyncioEventloop.add_signal_handler(
        signal.SIGTERM, lambda: stop(asked_at[0]))
    # The loop is woken by the signal's number and goes on without the handler
    # that it installed, which does nothing.
    signal.signal(signal.SIGTERM, note_time)
    signal.siginterrupt(signal.SIGTERM, False)


if __name__ == "__main__":
    sys.exit(main())
