"""Everything that an entry host may hear. ``key`` numbers a request at
this host, ``turn`` one of its attempts at backend servers."""

import dataclasses
import math

from crocuskeel.core.duties import model as duties_model
from crocuskeel.core.duties import state
from crocuskeel.core.entry import carrying
from crocuskeel.core.entry import model

__all__ = [
    "Answered", "Arrived", "Broken", "CallerLeft", "CatalogSeen",
    "DutyAnswered", "Ended",
    "Heard", "HintsHeard", "HintsSeen", "LoadHeard", "LoadsDue", "Opened",
    "PeersSeen", "Progressed",
    "ServersChanged", "ServersListed", "SettingsSeen",
    "Started", "StopAsked", "StoreBack",
    "StoreLeft", "StoreLost", "Ticked", "TimerFired",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The process listens; ``me`` is this host."""

    me: model.Peer


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """A quarter of a second or so has passed.

    ``wall`` is the host's time of day, s since 1970.
    """

    wall: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked:
    """The process is asked to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A caller's whole request is here."""

    key: int
    request: model.Request


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller's connection ended before its answer did."""

    key: int


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFired:
    """The time that the request's last Timer effect named has come."""

    key: int


@dataclasses.dataclass(frozen=True, slots=True)
class HintsSeen:
    """The head of a server's answer is here, also of a refusal.

    It comes before the event that tells what the answer is.
    """

    key: int
    turn: int
    hints: model.Hints


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """The first whole event of a stream is here.

    ``load`` is (running, waiting, slots) of the server, or None.
    """

    key: int
    turn: int
    load: tuple | None


@dataclasses.dataclass(frozen=True, slots=True)
class Progressed:
    """More of a stream is here."""

    key: int
    turn: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A stream that was passed on is complete."""

    key: int
    turn: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer that isn't a stream is here."""

    key: int
    turn: int
    status: int
    load: tuple | None
    stamped: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """An attempt ended without an answer; ``detail`` is for the log.

    ``torn``: the server's connection ended, as in a crash of it.
    """

    key: int
    turn: int
    outcome: model.Outcome
    detail: str = ""
    torn: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogSeen:
    """A configuration was read, from the store or from a peer."""

    catalog: model.Catalog


@dataclasses.dataclass(frozen=True, slots=True)
class ServersListed:
    """All registered backend servers as of a revision of the store.

    ``lapsing`` is None if this host read the store. Else another host
    did, and names as (server id, seconds) what it keeps for so long
    although the entry lapsed. ``unreadable`` are ids whose entries name
    no server to use.
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
class SettingsSeen:
    """The bounds of the deployment, as a Settings, were read anew."""

    settings: object


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost:
    """Calls to the store fail."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreBack:
    """The store answers again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLeft:
    """This host no longer reads the store: other hosts do."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeersSeen:
    """Hosts that registered in the store."""

    peers: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """A datagram of another host.

    ``reads_store``: it follows the store itself, with success.
    ``informed_s``: how old what it knows of the store may be, s.
    ``carriers`` names hosts that it knows to be ready for callers.
    ``wall`` is its time of day, s since 1970, None if it has no duties;
    ``leader`` says who holds them. ``wanted``: how many hosts are needed
    to carry callers. ``rate_limits`` and ``servers_leaving`` are
    those of HintsHeard.

    ``crashed`` holds (digest, incarnation) of requests under which a server
    ended; ``loads`` is that of LoadHeard, ``parts`` holds (server
    id, part, tokens) that it sent there lately.
    """

    peer: model.Peer
    ready: bool
    leaving: bool
    catalog_revision: int
    servers_revision: int
    crashed: tuple = ()
    loads: tuple = ()
    parts: tuple = ()
    reads_store: bool = False
    carriers: tuple = ()
    informed_s: float = math.inf
    wall: float | None = None
    leader: state.Leader = state.Leader()
    wanted: carrying.Wanted = carrying.Wanted(0, 0.0)
    rate_limits: tuple = ()
    servers_leaving: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadsDue:
    """It is time to tell other hosts what changed at engines."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadHeard:
    """What changed at engines, as host ``name`` says.

    ``loads`` holds (server id, requests, tokens to be read, requests with
    any, milliseconds since the server was heard, streams as (priority,
    milliseconds that they may pause, count), tokens that the requests may
    come to hold), as in Heard.
    ``refused`` names servers whose hosts just took no connection.
    """

    name: str
    loads: tuple
    refused: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HintsHeard:
    """What servers name in their answers, as host ``name`` says.

    ``rate_limits`` holds (incarnation of a server, requests a second or
    None, how long ago that was true in ms), ``servers_leaving`` (server
    id, incarnation).
    """

    name: str
    rate_limits: tuple
    servers_leaving: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DutyAnswered:
    """A call of a duty ended; ``call`` is as in effects.SendDuty."""

    call: object
    outcome: duties_model.Outcome
    detail: str = ""
