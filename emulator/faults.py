"""Troubles of a run; each ends by itself."""

__all__ = ["FAULTS"]

# A server's entry lapses so long after it ended, s; another one under a
# new id serves this long after the end.
LAPSE_S = 3.6
NEW_S = 2.0


def _burst(world, fault):
    world.pace *= fault.times
    world.clock.after(fault.for_s, _calm, world, fault)


def _calm(world, fault):
    world.pace /= fault.times


def _engines(world, fault):
    """Return engines drawn at random that serve."""
    found = [server for server in world.engines() if not server.down]
    return world.rng.sample(found, min(fault.count, len(found)))


def _crash(world, fault):
    for server in _engines(world, fault):
        server.crash()
        world.clock.after(LAPSE_S, world.remove, server.sid)
        world.clock.after(NEW_S, world.add_engine)


def _dark(world, fault):
    for server in _engines(world, fault):
        server.set_dark(True)
        world.clock.after(fault.for_s, server.set_dark, False)


def _slow(world, fault):
    for server in _engines(world, fault):
        server.factor = max(1.0, fault.times)
        world.clock.after(fault.for_s, _heal, server)


def _heal(server):
    server.factor = 1.0


def _limit(world, fault):
    """Engines take ``times`` requests a second from all hosts together."""
    for server in _engines(world, fault):
        server.rate_limit = fault.times
        world.clock.after(fault.for_s, _lift, server)


def _lift(server):
    server.rate_limit = None


def _leave(world, fault):
    """Engines leave and say so in their answers; the store says nothing."""
    for server in _engines(world, fault):
        server.leaving = True
        world.add_engine()
        world.clock.after(fault.for_s, world.end, server.sid)


def _rest(world, fault):
    """Engines refuse all, and ask for ``times`` s of rest."""
    for server in _engines(world, fault):
        server.rest_s = fault.times
        world.clock.after(fault.for_s, _rested, server)


def _rested(server):
    server.rest_s = None


def _drain(world, fault):
    """Engines leave as planned, and others come."""
    for server in _engines(world, fault):
        world.add_engine()
        world.drain(server.sid)
        world.clock.after(fault.for_s, world.end, server.sid)


def _kill(world, fault):
    names = world.rng.sample(world.names, min(fault.count, len(world.names)))
    for name in names:
        world.hosts[name].stop()
        world.clock.after(fault.for_s, world.hosts[name].start)


def _part(world, fault):
    """Hosts hear no others, and no others hear them."""
    world.parted = set(world.names[:fault.count])
    world.clock.after(fault.for_s, world.parted.clear)


def _hot(world, fault):
    """One subject of each kind gets most of its requests."""
    world.hot = 0
    world.clock.after(fault.for_s, _cool, world)


def _cool(world):
    world.hot = None


FAULTS = {"burst": _burst, "crash": _crash, "dark": _dark, "slow": _slow,
          "limit": _limit, "leave": _leave, "rest": _rest,
          "drain": _drain, "kill": _kill, "part": _part, "hot": _hot}
