"""Command-line arguments shared by programs with a settings file."""

import argparse
import sys

__all__ = ["EXIT_SETTINGS", "new_parser", "read_settings"]

EXIT_SETTINGS = 2


def new_parser(prog, description):
    """Return a parser with the option for a settings file."""
    parser = argparse.ArgumentParser(prog=prog, description=description)
    parser.add_argument(
        "--settings", required=True, metavar="FILE",
        help="program settings, JSON with comments")
    return parser


def read_settings(path, read, errors):
    """Return the result of ``read(path)``, or print its error.

    ``errors`` is the exception class, or a tuple, for an invalid file; None
    is returned then.
    """
    try:
        return read(path)
    except errors as exc:
        print(f"{path}: {exc}", file=sys.stderr)
        return None
