"""Relay hop: the streaming path of an entry daemon without its core.

Each request is forwarded at once to the target, an engine or another
hop.
"""

import argparse
import time

from twisted.internet import asyncioreactor

__all__ = ["main", "new_settings"]

FIRST_BYTE_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 30.0


def new_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True, help="base URL")
    return parser


def new_settings(host, peer_port=1):
    """Return process settings without a platform and without seeds."""
    from crocuskeel.runtime import settings
    return settings.ProcessSettings(
        deployment="bench", host=host, domain="a", region="r",
        address="127.0.0.1", door_port=1, peer_port=peer_port,
        key=b"k" * 32)


def main():
    """Run the hop that the command line describes until a signal."""
    args = new_parser().parse_args()
    asyncioreactor.install()
    from twisted.internet import reactor
    reactor.seconds = time.monotonic
    _serve(reactor, args)
    reactor.run()


def _serve(reactor, args):
    from crocuskeel.core import effects
    from crocuskeel.core import events
    from crocuskeel.core import problems
    from crocuskeel.runtime import bounded_request
    from crocuskeel.runtime import direct_writes
    from crocuskeel.runtime import http_api
    from crocuskeel.runtime import program
    from crocuskeel.runtime import watchdog

    def reduce(_daemon, event, _now):
        match event:
            case events.RequestArrived(rid=rid):
                return [effects.OpenAttempt(
                    rid, 1, "target", args.target, 1, FIRST_BYTE_TIMEOUT_S,
                    IDLE_TIMEOUT_S)]
            case events.AttemptClosed(rid=rid):
                # The runtime ignores this if the answer was complete.
                return [effects.Answer(rid, problems.new_problem(
                    problems.Reason.BACKEND_FAILED))]
        return []

    ctx = program.new_runtime(
        reactor, new_settings(f"hop-{args.port}"), time.time, reduce)
    site = bounded_request.new_site(reactor, http_api.new_app(ctx).resource())
    direct_writes.listen(reactor, args.port, site, "127.0.0.1")
    watchdog.start(ctx)


if __name__ == "__main__":
    main()
