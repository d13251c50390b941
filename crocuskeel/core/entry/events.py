"""Events that an entry host handles.

``key`` numbers a request at this host, ``attempt_number`` one of its
attempts at backend servers.
"""

import dataclasses
import math

from crocuskeel.core.duties import model as duties_model
from crocuskeel.core.duties import state
from crocuskeel.core.entry import model
from crocuskeel.core.entry import serving

__all__ = [
    "AttemptFailed", "CallerDisconnected", "CatalogRead", "DutyAnswered",
    "HintsReceived", "LoadsDue", "OriginAsked", "OriginUnknown", "OriginsTold",
    "PeerDemandReceived", "PeerHintsReceived", "PeerLoadsReceived",
    "PeerStateReceived", "PeersListed", "RequestReceived", "ResponseReceived",
    "ServerProbed", "ServersChanged", "ServersListed", "SettingsRead",
    "Started", "StopAsked", "StopDue", "StoreAvailable", "StoreEraSeen",
    "StoreReadingStopped", "StoreUnavailable", "StreamEnded", "StreamOpened",
    "StreamProgressed", "Ticked", "TimerFired",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The process is listening; ``me`` is this host."""

    me: model.Peer


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """A periodic tick, about every quarter of a second.

    ``wall`` is the wall clock, s since 1970. The tick came ``late_s`` late,
    and ``reading`` requests are being read.
    """

    wall: float = 0.0
    late_s: float = 0.0
    reading: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked:
    """The process was asked to stop, at ``asked_at`` or just now."""

    asked_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StopDue:
    """A step of the shutdown is due; ``reading`` as in Ticked."""
    reading: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReceived:
    """A caller's request was received completely."""

    key: int
    request: model.Request


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller's connection ended before its response did."""

    key: int


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFired:
    """The time set by the request's latest SetRequestTimer has come."""

    key: int


@dataclasses.dataclass(frozen=True, slots=True)
class HintsReceived:
    """The header of a server's response was received, also of a refusal.

    It precedes the event for the response itself.
    """

    key: int
    attempt_number: int
    hints: model.Hints


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOpened:
    """The first complete event of a stream was received.

    ``load`` is (running, waiting, slots, work_percent) of the server, or
    None; the last one may be missing.
    """

    key: int
    attempt_number: int
    load: tuple | None


@dataclasses.dataclass(frozen=True, slots=True)
class StreamProgressed:
    """More of a stream was received: so many events."""

    key: int
    attempt_number: int
    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream that was forwarded to the caller is complete.

    ``closed``: it had neither a length nor chunks and ended with its
    connection, as it would if its server had ended between two events.
    """

    key: int
    attempt_number: int
    closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A complete response that isn't a stream was received.

    ``closed`` is as in StreamEnded.
    """

    key: int
    attempt_number: int
    status: int
    load: tuple | None
    has_stamp_header: bool
    closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without a response; ``detail`` is for the log.

    ``disconnected``: the server's connection ended, as it does in a crash.
    """

    key: int
    attempt_number: int
    outcome: model.Outcome
    detail: str = ""
    disconnected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogRead:
    """A configuration was read, from the store or from a peer."""

    catalog: model.Catalog


@dataclasses.dataclass(frozen=True, slots=True)
class ServersListed:
    """All registered backend servers as of a revision of the store.

    ``lapsing`` is None if this host read the store itself. Otherwise it
    holds (server id, seconds) for each server that the host that did
    keeps for so long although its entry lapsed. ``unreadable`` holds the
    ids of entries that describe no usable server.
    """

    servers: tuple
    revision: int
    lapsing: tuple | None = None
    unreadable: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServersChanged:
    """Entries that changed, and ids that were removed or unreadable.

    ``lapsing`` as in :class:`ServersListed`.
    """

    changed: tuple
    removed: tuple
    revision: int
    unreadable: tuple = ()
    lapsing: tuple | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRead:
    """The deployment's limits were read again, as a Settings object."""

    settings: object


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Calls to the store have begun to fail."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAvailable:
    """The store responds again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreEraSeen:
    """An answer of the store shows a newer era (core.revisions).

    The store was restored from an older copy, or this host has just started.
    """

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReadingStopped:
    """This host stopped reading the store because other hosts do."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeersListed:
    """The hosts registered in the store."""

    peers: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStateReceived:
    """The state of another host, received as a datagram.

    ``reads_store``: it reads the store itself, successfully.
    ``store_data_age_s``: maximum age of its information from the store, s.
    ``serving_hosts`` names serving hosts that it knows to be ready.
    ``catalog_version`` is the operator's version of its configuration, None
    if it runs the former version of this program; its other revisions are
    numbers without an era then (core.revisions).
    ``wall`` is its wall clock time, s since 1970, None if it has no
    duties; ``leader`` is the holder of the duties' lease. ``serving_demand``:
    how many hosts that serve callers are needed. ``rate_limits`` and
    ``servers_leaving`` are as in PeerHintsReceived.

    ``crash_reports`` holds rows of crash_reports, None from a host that
    runs the former version. That one sends ``crashes`` instead, which holds
    (digest, incarnation) for each request during which a server crashed.
    ``loads`` is as in PeerLoadsReceived, and ``parts`` holds the (server id,
    part, tokens) that the host recently sent to servers. ``cut_off`` names the
    services that it is cut off from. ``former_versions`` holds (service,
    software version, ms left) of versions that have no server any more, None
    from a host that doesn't understand messages about streams' origins.
    ``brittle`` holds (service, ms since it said so) of brittle services.
    ``takes_demand``: it understands PeerDemandReceived. ``knows_versions``:
    ``former_versions``, ``recorded_versions`` and its list of servers name
    all versions at which streams may have begun. ``recorded_versions`` has the
    form of ``former_versions`` and holds those that only the store names, None
    from a host that writes no records of streams.
    """

    peer: model.Peer
    ready: bool
    leaving: bool
    catalog_revision: int
    servers_revision: int
    crashes: tuple = ()
    loads: tuple = ()
    parts: tuple = ()
    reads_store: bool = False
    serving_hosts: tuple = ()
    store_data_age_s: float = math.inf
    wall: float | None = None
    leader: state.Leader = state.Leader()
    serving_demand: serving.ServingDemand = serving.ServingDemand(0, 0.0)
    rate_limits: tuple = ()
    servers_leaving: tuple = ()
    catalog_version: int | None = None
    crash_reports: tuple | None = None
    cut_off: tuple = ()
    former_versions: tuple | None = None
    brittle: tuple = ()
    takes_demand: bool = False
    knows_versions: bool = False
    recorded_versions: tuple | None = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadsDue:
    """It is time to send changed engine loads to other hosts."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoadsReceived:
    """Changed loads of engines as reported by host ``name``.

    Each row of ``loads`` holds, as in PeerStateReceived: server id, number of
    requests, prompt tokens still to be read, number of requests with such
    tokens, milliseconds since the server was last heard from, streams as
    (priority, allowed pause in milliseconds, count), and the tokens that
    the requests may occupy in the engine's memory. ``refused`` names
    servers whose hosts just refused a connection.
    """

    name: str
    loads: tuple
    refused: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReportsReceived:
    """What host ``name`` just learned of crashes: rows of crash_reports."""

    name: str
    reports: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHintsReceived:
    """Hints from servers' responses as reported by host ``name``.

    ``rate_limits`` holds (server incarnation, requests a second or None,
    age of that information in ms), ``servers_leaving`` (server id,
    incarnation).
    """

    name: str
    rate_limits: tuple
    servers_leaving: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemandReceived:
    """Requests that wait at host ``name``, which replace those it sent before.

    ``rows`` holds (service, route, priority, number of requests, tokens of
    their prompts), see core.scheduling.fleet_demand.
    """

    name: str
    rows: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class OriginsTold:
    """Host ``name`` tells where streams began.

    ``rows`` holds (key of the stream, service, software version, for how many
    ms its caller may come back).
    """

    name: str
    rows: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class OriginAsked:
    """Host ``name`` asks where a stream of a service began.

    ``key`` is empty if it asks for the service's versions only.
    """

    name: str
    key: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class OriginUnknown:
    """Host ``name`` doesn't know where a stream began.

    ``versions`` are those at which streams of the service may have begun, as
    far as it knows.
    """

    name: str
    key: str
    service: str
    versions: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ServerProbed:
    """A server of a service answered a probe, whatever it said."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class DutyAnswered:
    """A duty's call ended; ``call`` is that of effects.SendDuty."""

    call: object
    outcome: duties_model.Outcome
    detail: str = ""
