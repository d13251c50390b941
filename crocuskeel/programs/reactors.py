"""The reactor that the programs run on."""

import asyncio

from twisted.internet import asyncioreactor

__all__ = ["install"]


def install():
    """Install the asyncio reactor; return it and its loop.

    Call it before klein, treq or twisted.internet.task is imported, as
    these install the default reactor. grpclib runs on asyncio, so both
    share one loop.
    """
    loop = asyncio.new_event_loop()
    # Servers and tasks that are created before the reactor runs use the
    # current loop.
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor
    # Twisted's clock is the wall clock. If that were set back by an hour, it
    # would delay every timeout by an hour and keep an expired lease valid.
    reactor.seconds = loop.time
    return reactor, loop
