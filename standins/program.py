"""What the three programs share: reactor, logs, ports of several."""
import argparse
import dataclasses
import sys

from loguru import logger
from twisted.internet import asyncioreactor
from twisted.logger import globalLogBeginner


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Name and port of one stand-in of a process."""

    name: str
    port: int


def install_reactor():
    """Install the asyncio reactor and return it.

    klein installs the default reactor when it is imported, so programs
    call this before they import their application.
    """
    asyncioreactor.install()
    from twisted.internet import reactor
    return reactor


def begin_logs():
    """Write JSON lines to standard error, failures of Twisted included."""
    logger.remove()
    logger.add(sys.stderr, serialize=True, level="INFO")
    globalLogBeginner.beginLoggingTo(
        [_log_failure], redirectStandardIO=False)


def new_parser(description):
    """Return a parser with the options of every program."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int)
    return parser


def add_count(parser):
    """Add the options of several stand-ins in one process."""
    parser.add_argument("--name", required=True)
    parser.add_argument("--count", type=int)
    parser.add_argument("--first-port", type=int)


def places(parser, args):
    """Return the name and port of each stand-in, or leave with an error.

    Without ``--count`` it is one of just that name; with it the names
    are NAME-1 to NAME-K on ports from the first.
    """
    if args.count is None:
        if args.port is None:
            parser.error("--port is required without --count")
        return [Place(args.name, args.port)]
    if args.first_port is None:
        parser.error("--count needs --first-port")
    return [Place(f"{args.name}-{i + 1}", args.first_port + i)
            for i in range(args.count)]


def log_listening(kind, name, address, port):
    """Log that a stand-in serves."""
    logger.bind(kind=kind, host=name, address=address, port=port).info(
        "listening")


def _log_failure(event):
    failure = event.get("log_failure")
    if failure is not None:
        logger.error(failure.getTraceback())
