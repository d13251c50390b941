"""Faults to inject into a run; each is undone after its duration."""

from crocuskeel.core.entry import events
from emulator import callers
from emulator import engine
from emulator import host_faults
from emulator import listeners
from emulator import load_faults
from emulator import part_faults
from emulator import silent_faults
from emulator import store_faults
from emulator import version_faults

__all__ = ["FAULTS", "crash_engine"]

# Delay from a server's crash to the expiry of its entry, and to the start
# of its replacement under a new id, s.
ENTRY_EXPIRY_S = 3.6
REPLACEMENT_DELAY_S = 2.0
# Servers that say that they are brittle let fewer wait from then on, s.
BRITTLE_NOTICE_S = 3.0


def _burst(world, fault):
    world.load_factor *= fault.times
    world.clock.after(fault.for_s, _end_burst, world, fault)


def _end_burst(world, fault):
    world.load_factor /= fault.times


def _pick_engines(world, fault):
    """Return random engines among those that are up."""
    found = [server for server in world.engines() if not server.down]
    return world.rng.sample(found, min(fault.count, len(found)))


def _crash(world, fault):
    for server in _pick_engines(world, fault):
        crash_engine(world, server)


def _crash_plain(world, fault):
    found = [server for sid, server in world.servers.items()
             if sid in world.entries and not server.down
             and not isinstance(server, engine.Engine)]
    for server in world.rng.sample(found, min(fault.count, len(found))):
        crash_engine(world, server)


def crash_engine(world, server):
    """Crash a server; a replacement registers under a new id."""
    server.crash()
    world.clock.after(ENTRY_EXPIRY_S, world.remove_server, server.sid)
    world.clock.after(REPLACEMENT_DELAY_S, world.replace, server)


def _make_brittle(world, fault):
    """Servers bear ``times`` refusals a second, and say so.

    Some seconds later ``count`` requests may wait at each.
    """
    world.brittle = fault.times, fault.count
    for server in world.servers.values():
        server.brittle = fault.times
        world.clock.after(BRITTLE_NOTICE_S, _shorten_queue, server,
                          fault.count)
    world.clock.after(fault.for_s, _end_brittle, world)


def _shorten_queue(server, count):
    if server.brittle is not None:
        server.max_waiting = count


def _end_brittle(world):
    world.brittle = None
    for server in world.servers.values():
        server.brittle = None
        server.max_waiting = engine.MAX_WAITING


def _poison(world, fault):
    """A caller sends the same crashing request ``times`` times a second.

    Each time it sends ``count`` copies at once.
    """
    world.last_number += 1
    _send_repeatedly(world, fault, f"poison-{world.last_number}", True,
                     world.clock.now + fault.for_s, world.draw_workspace())


def _send_repeatedly(world, fault, digest, crashes_servers, until, workspace):
    if world.clock.now >= until:
        return
    kind = world.deployment.kinds[0]
    for _ in range(fault.count):
        callers.start(world, kind, 0, digest=digest,
                      crashes_servers=crashes_servers, workspace=workspace)
    world.clock.after(1 / fault.times, _send_repeatedly, world, fault, digest,
                      crashes_servers, until, workspace)


def _lose_answers(world, fault):
    """Engines break off a share ``times`` of their responses."""
    for server in _pick_engines(world, fault):
        server.lost_share = fault.times
        world.clock.after(fault.for_s, _end_losing, server)


def _end_losing(server):
    server.lost_share = 0.0


def _lose_datagrams(world, fault):
    """A share ``times`` of the datagrams between hosts is lost."""
    world.datagram_loss = fault.times
    world.clock.after(fault.for_s, _end_loss, world)


def _end_loss(world):
    world.datagram_loss = 0.0


def _repeat_request(world, fault):
    """Callers of a workspace send one request, ``times`` times a second.

    Each time ``count`` of them do at once.
    """
    world.last_number += 1
    _send_repeatedly(world, fault, f"same-{world.last_number}", False,
                     world.clock.now + fault.for_s, world.draw_workspace())


def _hang(world, fault):
    for server in _pick_engines(world, fault):
        server.set_unresponsive(True)
        world.clock.after(fault.for_s, server.set_unresponsive, False)


def _slow_down(world, fault):
    for server in _pick_engines(world, fault):
        server.slowdown = max(1.0, fault.times)
        world.clock.after(fault.for_s, _end_slowdown, server)


def _end_slowdown(server):
    server.slowdown = 1.0


def _limit(world, fault):
    """Engines limit all hosts together to ``times`` requests a second."""
    for server in _pick_engines(world, fault):
        server.rate_limit = fault.times
        world.clock.after(fault.for_s, _end_limit, server)


def _end_limit(server):
    server.rate_limit = None


def _leave(world, fault):
    """Engines announce in responses that they leave; the store does not."""
    for server in _pick_engines(world, fault):
        server.leaving = True
        world.add_engine()
        world.clock.after(fault.for_s, world.end_server, server.sid)


def _ask_backoff(world, fault):
    """Engines refuse all requests and ask for a backoff of ``times`` s."""
    for server in _pick_engines(world, fault):
        server.rest_s = fault.times
        world.clock.after(fault.for_s, _end_backoff, server)


def _end_backoff(server):
    server.rest_s = None


def _drain(world, fault):
    """Engines are drained, and replaced by new ones."""
    for server in _pick_engines(world, fault):
        world.add_engine()
        world.drain(server.sid)
        world.clock.after(fault.for_s, world.end_server, server.sid)


def _break_connections(world, fault):
    """Callers lose the connections of a share ``times`` of their streams."""
    world.break_share = fault.times
    world.clock.after(fault.for_s, _end_breaks, world)


def _end_breaks(world):
    world.break_share = 0.0


def _partition(world, fault):
    """Some hosts are partitioned from all others."""
    world.partitioned = set(world.names[:fault.count])
    world.clock.after(fault.for_s, world.partitioned.clear)


def _isolate(world, fault):
    """Some hosts are cut off from the store and from all other hosts."""
    world.partitioned = set(world.names[:fault.count])
    world.without_store = set(world.partitioned)
    for name in world.without_store:
        world.hosts[name].receive_broadcast(events.StoreUnavailable("cut"))
    world.clock.after(fault.for_s, _end_isolation, world)


def _use_any_host(world, fault):
    """Callers use any host that runs, also one that hosts don't name."""
    world.uses_any_host = True
    world.clock.after(fault.for_s, _end_any_host, world)


def _end_any_host(world):
    world.uses_any_host = False


def _end_isolation(world):
    names, world.without_store = world.without_store, set()
    world.partitioned.clear()
    for name in names:
        for event in (events.StoreAvailable(),
                      *world.listing(world.hosts[name])):
            world.hosts[name].receive_broadcast(event)


def _cut_off(effect):
    def inject(world, fault):
        """Cut ``count`` hosts off from all servers, chosen at random.

        ``times`` is the share of the servers that they lose.
        """
        names = world.rng.sample(world.names, min(
            fault.count, len(world.names)))
        lost = world.rng.sample(
            list(world.entries), round(fault.times * len(world.entries)))
        for name in names:
            world.hosts[name].cut_off(effect, lost)
            world.clock.after(fault.for_s, world.hosts[name].reconnect)
        world.cuts.append((world.clock.now, world.clock.now + fault.for_s,
                           frozenset(names)))
    return inject


def _skew(world, fault):
    """One subject of each kind gets most of the requests."""
    world.hot_subject = 0
    world.clock.after(fault.for_s, _end_skew, world)


def _end_skew(world):
    world.hot_subject = None


FAULTS = {"burst": _burst, "crash": _crash,
          "crash_plain": _crash_plain, "dark": _hang, "slow": _slow_down,
          "limit": _limit, "leave": _leave, "rest": _ask_backoff,
          "drain": _drain, "part": _partition,
          "isolate": _isolate, "any_host": _use_any_host,
          "hot": _skew, "poison": _poison,
          "lose": _lose_answers, "lossy": _lose_datagrams,
          "brittle": _make_brittle,
          "same": _repeat_request, "break": _break_connections,
          "cut_refused": _cut_off(listeners.Cut.REFUSED),
          "cut_reset": _cut_off(listeners.Cut.RESET),
          "cut_silent": _cut_off(listeners.Cut.SILENT),
          "cut_timeout": _cut_off(listeners.Cut.TIMEOUT),
          **host_faults.FAULTS, **load_faults.FAULTS, **part_faults.FAULTS,
          **silent_faults.FAULTS, **store_faults.FAULTS,
          **version_faults.FAULTS}
