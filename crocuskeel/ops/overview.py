"""The state of the fleet as one host knows it."""

import collections
import dataclasses

from crocuskeel.core import backends
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import placement
from crocuskeel.ops import attainment

__all__ = ["CellLine", "EngineLine", "HostLine", "OwnLine", "Status",
           "TierLine", "brief", "status"]

_line = dataclasses.dataclass(frozen=True, slots=True)


@_line
class HostLine:
    """One entry host as membership has it; news of it may lag."""

    host: str
    status: str
    incarnation: int
    generation: int
    domain: str
    region: str
    address: str
    door_port: int
    load: float


@_line
class TierLine:
    """One tier's attempts in a cell: waiting and running."""

    tier: int
    waiting: int
    running: int


@_line
class CellLine:
    """One cell; ``tiers`` only from its dispatcher."""

    cell: str
    dispatcher: str
    engines: int
    usable: int
    tiers: tuple[TierLine, ...] = ()


@_line
class EngineLine:
    """One backend server; counts only from its cell's dispatcher.

    ``state`` is ``live``, ``leaving`` or ``off`` (rested after faults).
    ``in_flight`` is -1 and ``limit`` 0 where another host dispatches.
    """

    engine: str
    service: str
    cell: str
    domain: str
    kind: str
    state: str
    in_flight: int = -1
    limit: float = 0.0


@_line
class OwnLine:
    """What the asked host says of itself.

    ``newest`` is the greatest settings generation that it heard of.
    """

    host: str
    incarnation: int
    generation: int
    newest: int
    ready: bool
    draining: bool
    requests: int


@_line
class Status:
    """The whole answer of one host."""

    own: OwnLine
    hosts: tuple[HostLine, ...]
    cells: tuple[CellLine, ...] = ()
    engines: tuple[EngineLine, ...] = ()
    classes: tuple[attainment.ClassLine, ...] = ()


def brief(daemon, now):
    """Return a :class:`Status` without cells, engines and classes."""
    return Status(_own(daemon, now), _hosts(daemon))


def status(daemon, events, now):
    """Return the :class:`Status`; ``events`` are those of the ring."""
    of_cell = _cells_of_engines(daemon)
    return Status(
        _own(daemon, now), _hosts(daemon), _cells(daemon),
        tuple(_engine(daemon, backend, of_cell.get(name, ""), now)
              for name, backend in sorted(daemon.backends.known.items())),
        attainment.by_class(daemon, events))


def _own(daemon, now):
    generation = follower.generation(daemon)
    return OwnLine(
        host=daemon.me.host,
        incarnation=daemon.me.incarnation,
        generation=generation,
        newest=max(generation, daemon.follower.newest),
        ready=follower.ready(daemon, now),
        draining=daemon.door.drain_at is not None,
        requests=len(daemon.door.requests),
    )


def _hosts(daemon):
    return tuple(
        HostLine(
            host=each.host, status=_status(daemon, each),
            incarnation=each.incarnation, generation=each.generation,
            domain=each.domain, region=each.region,
            address=each.address, door_port=each.door_port,
            load=each.load)
        for each in sorted(membership.everyone(daemon),
                           key=lambda each: each.host))


def _status(daemon, member):
    # A planned stop must not look like a crash to who watches it.
    if membership.has_left(daemon, member.host):
        return "left"
    return member.status


def _cells(daemon):
    live = membership.live(daemon)
    return tuple(
        CellLine(
            cell=name, dispatcher=placement.owner(name, live),
            engines=len(engines),
            usable=sum(backends.usable(daemon, engine)
                       for engine in engines),
            tiers=_tiers(_own_cell(daemon, name)))
        for name, engines in sorted(daemon.backends.cells.items()))


def _own_cell(daemon, name):
    cell = daemon.dispatch.cells.get(name)
    return cell if cell is not None and cell.lost_at is None else None


def _tiers(cell):
    if cell is None:
        return ()
    waiting = collections.Counter(
        each.ask.tier for group in (cell.waiting, cell.suspects)
        for each in group.values())
    running = collections.Counter(
        slot.tier for slot in cell.running.values())
    return tuple(TierLine(tier, waiting[tier], running[tier])
                 for tier in sorted(waiting | running))


def _cells_of_engines(daemon):
    return {engine: name for name, engines in daemon.backends.cells.items()
            for engine in engines}


def _engine(daemon, backend, cell_name, now):
    view = daemon.dispatch.engines.get(backend.name)
    cell = _own_cell(daemon, cell_name)
    return EngineLine(
        engine=backend.name, service=backend.service, cell=cell_name,
        domain=backend.domain, kind=backend.kind,
        state=_engine_state(daemon, backend.name, view, now),
        in_flight=-1 if cell is None else _running_on(cell, backend.name),
        limit=0.0 if cell is None or view is None else view.limit)


def _running_on(cell, name):
    return len(cell.by_engine.get(name, ()))


def _engine_state(daemon, name, view, now):
    if not backends.usable(daemon, name):
        return "leaving"
    if view is not None and view.off_until > now:
        return "off"
    return "live"
