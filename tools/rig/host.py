"""An entry host whose network can be cut: ``python -m tools.rig.host IP ...``.

Each line of standard input is a JSON list of the addresses that it doesn't
hear from now on, and of those that it can't reach.
"""

import json
import sys
import threading

from crocuskeel.programs import entry
from tools.rig import network as networks
from twisted.internet import asyncioreactor

__all__ = ["main"]


def _follow(network):
    network.started.wait()
    from twisted.internet import reactor

    for line in sys.stdin:
        reactor.callFromThread(network.set, *json.loads(line))


def main(argv):
    """Run the host at an address; return the exit code."""
    ip, *args = argv
    network = networks.install(asyncioreactor.AsyncioSelectorReactor, ip)
    threading.Thread(target=_follow, args=(network,), daemon=True).start()
    return entry.main(args)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
