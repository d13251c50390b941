"""The state of the fleet from the point of view of one host."""

import collections
import dataclasses

from crocuskeel.core import backends
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import placement
from crocuskeel.ops import attainment

__all__ = ["CellStatus", "EngineStatus", "HostStatus", "LocalStatus", "Status",
           "TierStatus", "brief", "status"]

_frozen = dataclasses.dataclass(frozen=True, slots=True)


@_frozen
class HostStatus:
    """One entry host as membership knows it; the data may be out of date."""

    host: str
    status: str
    incarnation: int
    generation: int
    domain: str
    region: str
    address: str
    door_port: int
    load: float


@_frozen
class TierStatus:
    """The numbers of waiting and running attempts of one tier in a cell."""

    tier: int
    waiting: int
    running: int


@_frozen
class CellStatus:
    """One cell; ``tiers`` is only set by its dispatcher."""

    cell: str
    dispatcher: str
    engines: int
    usable: int
    tiers: tuple[TierStatus, ...] = ()


@_frozen
class EngineStatus:
    """One backend server.

    ``state`` is ``live``, ``leaving`` or ``off`` (backed off after
    failures). Only the dispatcher of the server's cell knows
    ``in_flight`` and ``limit``; on other hosts they are -1 and 0.
    """

    engine: str
    service: str
    cell: str
    domain: str
    kind: str
    state: str
    in_flight: int = -1
    limit: float = 0.0


@_frozen
class LocalStatus:
    """The state of the host that answers the request.

    ``newest`` is the highest settings generation that it knows of.
    ``recovered`` is False while it doesn't know, after a restart, which
    settings it may put in force; ``waits_for`` are the hosts that would
    have to tell it, if the platform doesn't.
    """

    host: str
    incarnation: int
    generation: int
    newest: int
    ready: bool
    draining: bool
    requests: int
    recovered: bool = True
    waits_for: tuple[str, ...] = ()


@_frozen
class Status:
    """The complete status response of one host."""

    own: LocalStatus
    hosts: tuple[HostStatus, ...]
    cells: tuple[CellStatus, ...] = ()
    engines: tuple[EngineStatus, ...] = ()
    classes: tuple[attainment.ClassAttainment, ...] = ()


def brief(daemon, now):
    """Return a :class:`Status` without cells, engines and classes."""
    return Status(_local_status(daemon, now), _hosts(daemon))


def status(daemon, events, now):
    """Return the :class:`Status`; ``events`` are the recent events."""
    cell_by_engine = _cells_of_engines(daemon)
    return Status(
        _local_status(daemon, now), _hosts(daemon), _cells(daemon),
        tuple(_engine(daemon, backend, cell_by_engine.get(name, ""), now)
              for name, backend in sorted(daemon.backends.by_name.items())),
        attainment.by_class(daemon, events))


def _local_status(daemon, now):
    generation = follower.generation(daemon)
    return LocalStatus(
        host=daemon.identity.host,
        incarnation=daemon.identity.incarnation,
        generation=generation,
        newest=max(generation, daemon.follower.newest_known_generation),
        ready=follower.ready(daemon, now),
        draining=daemon.frontend.drain_started_at is not None,
        requests=len(daemon.frontend.requests),
        recovered=follower.is_recovered(daemon),
        waits_for=follower.waits_for(daemon),
    )


def _hosts(daemon):
    return tuple(
        HostStatus(
            host=each.host, status=_status(daemon, each),
            incarnation=each.incarnation, generation=each.generation,
            domain=each.domain, region=each.region,
            address=each.address, door_port=each.door_port,
            load=each.load)
        for each in sorted(membership.all_members(daemon),
                           key=lambda each: each.host))


def _status(daemon, member):
    # A planned stop must not look like a crash to an operator.
    if membership.has_left(daemon, member.host):
        return "left"
    return member.status


def _cells(daemon):
    live = membership.live(daemon)
    return tuple(
        CellStatus(
            cell=name, dispatcher=placement.owner(name, live),
            engines=len(engines),
            usable=sum(backends.is_usable(daemon, engine)
                       for engine in engines),
            tiers=_tiers(_dispatched_cell(daemon, name)))
        for name, engines in sorted(daemon.backends.cells.items()))


def _dispatched_cell(daemon, name):
    cell = daemon.dispatch.cells.get(name)
    return (cell if cell is not None and cell.ownership_lost_at is None
            else None)


def _tiers(cell):
    if cell is None:
        return ()
    waiting = collections.Counter(
        each.request.tier for group in (cell.waiting, cell.suspects)
        for each in group.values())
    running = collections.Counter(
        slot.tier for slot in cell.running.values())
    return tuple(TierStatus(tier, waiting[tier], running[tier])
                 for tier in sorted(waiting | running))


def _cells_of_engines(daemon):
    return {engine: name for name, engines in daemon.backends.cells.items()
            for engine in engines}


def _engine(daemon, backend, cell_name, now):
    view = daemon.dispatch.engines.get(backend.name)
    cell = _dispatched_cell(daemon, cell_name)
    return EngineStatus(
        engine=backend.name, service=backend.service, cell=cell_name,
        domain=backend.domain, kind=backend.kind,
        state=_engine_state(daemon, backend.name, view, now),
        in_flight=-1 if cell is None else _running_count(cell, backend.name),
        limit=0.0 if cell is None or view is None else view.concurrency_limit)


def _running_count(cell, name):
    return len(cell.running_by_engine.get(name, ()))


def _engine_state(daemon, name, view, now):
    if not backends.is_usable(daemon, name):
        return "leaving"
    if view is not None and view.paused_until > now:
        return "off"
    return "live"
