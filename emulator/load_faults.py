"""Faults of the load: bursts of one kind, and of one workspace."""

from emulator import callers

__all__ = ["FAULTS"]


def _burst_class(world, fault):
    """The rate of the kind ``of`` is multiplied by ``times``."""
    world.kind_factors[fault.of] *= fault.times
    world.clock.after(fault.for_s, _end_class_burst, world, fault)


def _end_class_burst(world, fault):
    world.kind_factors[fault.of] /= fault.times


def _heat_workspace(world, fault):
    """The first workspace sends ``times`` its usual load, of all kinds.

    What it sends beyond its usual load is drawn separately, so that the
    other workspaces send exactly the same with and without the fault.
    """
    until = world.clock.now + fault.for_s
    for kind in world.deployment.kinds:
        _schedule_extra(world, kind, fault.times - 1, until)


def _schedule_extra(world, kind, factor, until):
    rate = factor * world.arrival_rate(kind) / len(world.workspaces)
    at = world.clock.now + world.extra_rng.expovariate(rate)
    if at < min(until, world.tally.began + world.deployment.seconds):
        world.clock.at(at, _send_extra, world, kind, factor, until)


def _send_extra(world, kind, factor, until):
    _schedule_extra(world, kind, factor, until)
    callers.start(world, kind, world.draw_subject(kind, world.extra_rng),
                  workspace=world.workspaces[0])


FAULTS = {"class_burst": _burst_class, "hot_workspace": _heat_workspace}
