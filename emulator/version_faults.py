"""Changes of the engines' software version."""

__all__ = ["FAULTS"]


def _add_version(world, fault):
    """Engines of a new version start; ``times`` s apart."""
    version = f"v{len(world.engine_versions) + 1}"
    world.engine_versions.append(version)
    for number in range(fault.count):
        world.clock.after(number * fault.times, world.add_engine, version)


def _drain_version(world, fault):
    """Engines of the oldest version that has any leave, ``times`` s apart."""
    found = [server for server in world.engines() if not server.down]
    oldest = min((server.version for server in found),
                 key=world.engine_versions.index)
    leaving = [server.sid for server in found if server.version == oldest]
    for number, sid in enumerate(leaving[:fault.count]):
        world.clock.after(number * fault.times, world.drain, sid)
        world.clock.after(number * fault.times + fault.for_s,
                          world.end_server, sid)


def _take_back(world, fault):
    """Engines of the newest version leave, those before it are back.

    ``count`` of these leave and as many start, ``times`` s apart.
    """
    newest = world.engine_versions.pop()
    _replace(world, fault, newest, world.engine_versions[-1])
    world.engine_versions.insert(0, newest)


def _replace_servers(world, fault):
    """Engines of the oldest version are replaced by others of that version."""
    oldest = min((server.version for server in _running(world)),
                 key=world.engine_versions.index)
    _replace(world, fault, oldest, oldest)


def _running(world):
    return [server for server in world.engines() if not server.down]


def _replace(world, fault, version, by):
    leaving = [server.sid for server in _running(world)
               if server.version == version]
    for number, sid in enumerate(leaving[:fault.count]):
        at_s = number * fault.times
        world.clock.after(at_s, world.add_engine, by)
        world.clock.after(at_s, world.drain, sid)
        world.clock.after(at_s + fault.for_s, world.end_server, sid)


FAULTS = {"add_version": _add_version, "drain_version": _drain_version,
          "take_back": _take_back, "replace_servers": _replace_servers}
