"""The command line that programs with a settings file share."""

import argparse
import sys

__all__ = ["EXIT_SETTINGS", "new_parser", "read_settings"]

EXIT_SETTINGS = 2


def new_parser(prog, description):
    """Return a parser that asks for a settings file."""
    parser = argparse.ArgumentParser(prog=prog, description=description)
    parser.add_argument(
        "--settings", required=True, metavar="FILE",
        help="program settings, JSON with comments")
    return parser


def read_settings(path, read, errors):
    """Return what ``read(path)`` does, or None with a line on stderr.

    ``errors`` is the exception, or several, that a bad file raises.
    """
    try:
        return read(path)
    except errors as exc:
        print(f"{path}: {exc}", file=sys.stderr)
        return None
