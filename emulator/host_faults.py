"""Hosts that are killed, stopped, and replaced by another program's."""

from emulator import stops

__all__ = ["FAULTS"]


def _kill_hosts(world, fault):
    names = world.rng.sample(world.names, min(fault.count, len(world.names)))
    for name in names:
        world.hosts[name].stop()
        world.clock.after(fault.for_s, world.hosts[name].start)


def _kill_in_turn(world, fault):
    """All hosts are killed one after the other, ``times`` s apart.

    Each is back after ``for_s``.
    """
    for number, host in enumerate(world.hosts.values()):
        world.clock.after(number * fault.times, _restart, world, host,
                          fault.for_s)


def _restart(world, host, away_s):
    if host.core is not None:
        host.stop()
        world.clock.after(away_s, host.start)


def _stop_hosts(world, fault):
    """Hosts are stopped as planned, one ``times`` s after the other.

    Each starts again ``for_s`` after its end.
    """
    names = world.rng.sample(world.names, min(fault.count, len(world.names)))
    for number, name in enumerate(names):
        world.clock.after(number * fault.times, stops.stop,
                          world.hosts[name], fault.for_s)


def _kill_partition(world, fault):
    """All hosts that are partitioned from the others are killed."""
    for name in sorted(world.partitioned):
        _restart(world, world.hosts[name], fault.for_s)


def _run_former_program(world, fault):
    """All hosts run the program that keeps no records in the store."""
    for host in world.hosts.values():
        host.stop()
        host.is_former = True
    world.records.clear()
    for host in world.hosts.values():
        host.start()


def _upgrade(world, fault):
    """The first ``count`` hosts are restarted with the present program.

    They are ``times`` s apart, and each is back after ``for_s``.
    """
    for number, name in enumerate(world.names[:fault.count]):
        world.clock.after(number * fault.times, _upgrade_host, world,
                          world.hosts[name], fault.for_s)


def _upgrade_host(world, host, away_s):
    _restart(world, host, away_s)
    host.is_former = False


FAULTS = {"kill": _kill_hosts, "kill_in_turn": _kill_in_turn,
          "kill_partition": _kill_partition, "stop": _stop_hosts,
          "former_program": _run_former_program, "upgrade": _upgrade}
