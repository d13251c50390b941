"""The reactor that our programs run on."""

import asyncio

from twisted.internet import asyncioreactor

__all__ = ["install"]


def install():
    """Install the asyncio reactor; return it and its loop.

    To be called before klein, treq or twisted.internet.task is
    imported: these install the default reactor. grpclib runs on
    asyncio, so both share one loop.
    """
    loop = asyncio.new_event_loop()
    # Servers and tasks made before the reactor runs take the current
    # loop.
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor
    # Twisted's seconds are the wall clock's: set back by an hour, it
    # would hold every deadline for an hour and keep a lapsed lease
    # looking fresh.
    reactor.seconds = loop.time
    return reactor, loop
