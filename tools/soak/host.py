"""Runs an entry host that connects from its own loopback address.

By default all processes connect from one, so that links could not tell hosts
apart: ``python -m tools.soak.host IP ARGUMENT...``.
"""

import functools
import sys

from crocuskeel.programs import entry
from twisted.internet import asyncioreactor

__all__ = ["main"]


def main(argv):
    """Run the host at an address; return the exit code."""
    ip, *args = argv
    reactor_class = asyncioreactor.AsyncioSelectorReactor
    reactor_class.connectTCP = functools.partialmethod(
        reactor_class.connectTCP, bindAddress=(ip, 0))
    return entry.main(args)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
