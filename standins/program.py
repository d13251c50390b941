"""Code shared by the stand-in commands: reactor, logging, ports."""
import argparse
import dataclasses
import sys

from loguru import logger
from twisted.internet import asyncioreactor
from twisted.logger import globalLogBeginner


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Name and port of one stand-in of the process."""

    name: str
    port: int


def install_reactor():
    """Install the asyncio reactor and return it.

    Importing klein installs the default reactor, so commands must call
    this before they import their application.
    """
    asyncioreactor.install()
    from twisted.internet import reactor
    return reactor


def configure_logging():
    """Log JSON lines to standard error, including Twisted failures."""
    logger.remove()
    logger.add(sys.stderr, serialize=True, level="INFO")
    globalLogBeginner.beginLoggingTo(
        [_log_failure], redirectStandardIO=False)


def new_parser(description):
    """Return a parser with the options common to all commands."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int)
    return parser


def add_count_options(parser):
    """Add the options for running several stand-ins in one process."""
    parser.add_argument("--name", required=True)
    parser.add_argument("--count", type=int)
    parser.add_argument("--first-port", type=int)


def endpoints(parser, args):
    """Return the endpoint of each stand-in, or exit with a usage error.

    Without ``--count`` there is one, named NAME; with ``--count K`` they
    are named NAME-1 to NAME-K, on consecutive ports from the first.
    """
    if args.count is None:
        if args.port is None:
            parser.error("--port is required without --count")
        return [Endpoint(args.name, args.port)]
    if args.first_port is None:
        parser.error("--count needs --first-port")
    return [Endpoint(f"{args.name}-{i + 1}", args.first_port + i)
            for i in range(args.count)]


def log_listening(kind, name, address, port):
    """Log that a stand-in accepts connections."""
    logger.bind(kind=kind, host=name, address=address, port=port).info(
        "listening")


def _log_failure(event):
    failure = event.get("log_failure")
    if failure is not None:
        logger.error(failure.getTraceback())
