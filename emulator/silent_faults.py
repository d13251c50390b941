"""Hosts that are out of step for some time, and don't notice at once."""

from crocuskeel.core.entry import events
from crocuskeel.core import revisions

__all__ = ["FAULTS", "missed_changes"]

# A watch of the store is waited for so long before it counts as lost, s.
NOTICE_S = 2.2
# A watch that was cut goes on after this at the latest, s.
MAX_LAG_S = 2.0
# Callers that use any host go to those that are back for so long, s.
PREFERRED_S = 0.3


def missed_changes(world, host):
    """Return the event of all changes that a host has missed."""
    known = {sid: state.server for sid, state in host.core.servers.items()}
    changed = tuple(entry for sid, entry in world.entries.items()
                    if known.get(sid) != entry)
    removed = tuple(sid for sid in known if sid not in world.entries)
    return events.ServersChanged(changed, removed, revisions.combine(
        world.era, world.revision))


def _fall_out_of_step(world, fault):
    """The first ``count`` hosts hear nothing of what ``of`` names.

    It is ``store``, ``peers`` (nothing gets out either), ``datagrams`` (only
    theirs get out), ``all``, or ``standing`` for a host that does nothing.
    """
    names = world.names[:fault.count]
    if fault.of in ("peers", "all", "standing"):
        world.partitioned |= set(names)
    if fault.of == "datagrams":
        world.deaf |= set(names)
    if fault.of in ("store", "all", "standing"):
        world.without_store |= set(names)
    if fault.of == "standing":
        world.standing |= set(names)
    elif fault.of != "peers" and fault.of != "datagrams":
        world.clock.after(NOTICE_S, _notice, world, names)
    world.clock.after(fault.for_s, _catch_up, world, fault, names)


def _notice(world, names):
    for name in world.without_store & set(names):
        world.hosts[name].receive_broadcast(events.StoreUnavailable("cut"))


def _catch_up(world, fault, names):
    for hosts in (world.partitioned, world.deaf, world.standing):
        hosts.difference_update(names)
    world.preferred = names
    world.clock.after(PREFERRED_S, _end_preference, world)
    for name in names:
        if name in world.without_store:
            lag_s = world.rng.uniform(0.0, MAX_LAG_S * fault.times)
            world.clock.after(lag_s, _go_on_watching, world, name)


def _end_preference(world):
    world.preferred = []


def _go_on_watching(world, name):
    world.without_store.discard(name)
    host = world.hosts[name]
    if host.core is not None:
        host.receive_broadcast(events.StoreAvailable())
        host.receive_broadcast(missed_changes(world, host))


FAULTS = {"out_of_step": _fall_out_of_step}
