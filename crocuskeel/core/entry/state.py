"""What an entry host holds. Only the handlers of this package change it."""

import collections
import dataclasses
import math
import random

from crocuskeel.core.duties import capacity
from crocuskeel.core.duties import state
from crocuskeel.core.entry import carrying
from crocuskeel.core.entry import loads
from crocuskeel.core.entry import model
from crocuskeel.core.entry import routing

__all__ = ["Host", "Pending", "PeerState", "ServerState", "Settings", "Try",
           "new_host", "new_server"]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Bounds of the deployment; seconds, and shares as fractions.

    ``repeat_share`` of a service's requests, and ``repeat_slack`` more,
    may be repeated in any ``repeat_window_s``, over all hosts.
    """

    grace_s: float = 8.0
    # How soon an accepted configuration has to be in force.
    apply_s: float = 2.0
    repeat_share: float = 0.2
    repeat_window_s: float = 10.0
    repeat_slack: float = 50.0
    address_ttl_s: float = 1.0
    # What the platform asks of one host at a time, by name.
    duties: frozenset = frozenset()
    # How long a holder of them may rely on its lease.
    lease_s: float = 3.0
    # Usage is reported for windows of this length, this long after each.
    report_s: float = 5.0
    report_due_s: float = 10.0


@dataclasses.dataclass(slots=True)
class Try:
    """One attempt at a server.

    ``fresh_tokens`` is what the server had to read of the prompt, or -1
    once the request is known not to have reached it.
    """

    turn: int
    sid: str
    # The life of the server that it was sent to.
    incarnation: str
    at: float
    fresh_tokens: int = 0
    # Shared tokens that are read again, though another server holds them.
    spilled_tokens: int = 0
    # Those that it was told to fetch from another one instead.
    fetched_tokens: int = 0
    # Tokens that it may come to hold at its engine.
    memory: int = 0
    # Its first event is here: from now on its pauses count.
    opened: bool = False
    over: bool = False


@dataclasses.dataclass(slots=True)
class Pending:
    """A request from arrival to its final answer."""

    key: int
    request: model.Request
    route: model.Route
    service: str
    workspace: str
    priority: int
    at: float
    ends_at: float
    tries: list = dataclasses.field(default_factory=list)
    # Servers that may have run it, and attempts to reach any.
    sent: int = 0
    reached_out: int = 0
    may_have_run: bool = False
    # The turn whose answer the caller gets; its stream's last sign.
    passing: int | None = None
    progress_at: float = 0.0
    # The longest pause between two events so far, s.
    pause_s: float = 0.0
    # Time to read what waited at its engine at its last event, s.
    ahead_s: float = 0.0
    # The servers that were looked at when it was placed last, and the
    # rank by which it was let in.
    candidates: list = dataclasses.field(default_factory=list)
    rank: int = 0
    # The most of its prompt's shared tokens that one engine has read.
    elsewhere: int = 0
    # It is in the counts of what engines began.
    counted: bool = False
    # A failure that a server answered, kept while another server is tried.
    fallback: int | None = None


@dataclasses.dataclass(slots=True)
class ServerState:
    """A backend server and what this host has seen of it.

    ``mine`` maps (key, turn) to tokens still to be read; ``others``
    holds what other hosts say of theirs.
    ``parts`` holds the prompt parts sent there by any host, least
    recently used first.
    """

    server: model.Server
    # Its place in the order that all hosts share, in [0, 1).
    point: float = 0.0
    mine: dict = dataclasses.field(default_factory=dict)
    others: loads.Loads = dataclasses.field(default_factory=loads.Loads)
    # Requests there when it last said so itself.
    load: int = 0
    load_at: float = 0.0
    failing: float = 0.0
    judged_at: float = 0.0
    slowness: float = 1.0
    heard_at: float = 0.0
    # Share of the last seconds in which it had prompts to read.
    busy: float = 0.0
    # Tokens of this host's requests there, read or to be made.
    memory: int = 0
    # This host's streams there, by (priority, pause that they allow in ms).
    gaps: dict = dataclasses.field(default_factory=dict)
    # The longest pause by reading there, s, as of ``loud_at``.
    loud: float = 0.0
    loud_at: float = 0.0
    # Since when this host has had a request there without a break.
    asked_at: float = 0.0
    suspect_until: float = 0.0
    strikes: int = 0
    unreached: bool = False
    # Another server has its address.
    misdirects: bool = False
    parts: dict = dataclasses.field(
        default_factory=collections.OrderedDict)
    parts_tokens: int = 0
    cold_until: float = 0.0
    # Set while an entry that lapsed in an outage may still come back.
    lapses_at: float | None = None


@dataclasses.dataclass(slots=True)
class PeerState:
    """Another entry host, as last heard of."""

    peer: model.Peer
    heard_at: float
    ready: bool = False
    leaving: bool = False
    catalog_revision: int = 0
    servers_revision: int = 0
    reads_store: bool = False
    told_at: float = 0.0
    # When another host last said that this one is ready.
    vouched_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Host:
    """All of an entry host's state."""

    cfg: Settings
    rng: random.Random
    me: model.Peer | None = None
    catalog: model.Catalog | None = None
    servers: dict = dataclasses.field(default_factory=dict)
    by_service: dict = dataclasses.field(default_factory=dict)
    # By service: its servers in the order that all hosts share.
    rings: dict = dataclasses.field(default_factory=dict)
    # Ids of servers whose entries lapsed, which are kept for a while.
    lapsing: dict = dataclasses.field(default_factory=dict)
    # By incarnation of a server: the rate limit that it named.
    rate_limits: dict = dataclasses.field(default_factory=dict)
    # By incarnation of a server: (its id, since when it is known to leave),
    # and until when it wants nothing from this host.
    leaving: dict = dataclasses.field(default_factory=dict)
    rests: dict = dataclasses.field(default_factory=dict)
    # Ids of servers with work, or heard of lately.
    working: dict = dataclasses.field(default_factory=dict)
    servers_known: bool = False
    servers_revision: int = 0
    pending: dict = dataclasses.field(default_factory=dict)
    # What the engines of each service are seen to do.
    paces: dict = dataclasses.field(default_factory=dict)
    peers: dict = dataclasses.field(default_factory=dict)
    # Hosts that callers are sent to, and until when that holds.
    carriers: list = dataclasses.field(default_factory=list)
    carriers_until: float = 0.0
    # How many are needed, by what carriers said.
    wanted: carrying.Wanted = carrying.NOBODY
    # When the freshest word of a reader was true that reached this host.
    told_at: float = -math.inf
    # When the list of hosts was read.
    seen_at: float = 0.0
    # By service: times of requests and of repeats within the window.
    arrivals: dict = dataclasses.field(default_factory=dict)
    repeats: dict = dataclasses.field(default_factory=dict)
    # Quarantine: torn attempts not yet explained, crashes by digest.
    torn: list = dataclasses.field(default_factory=list)
    crashed: dict = dataclasses.field(default_factory=dict)
    store_lost_at: float | None = None
    store_back_at: float | None = None
    fetch_at: float = 0.0
    # Since when a peer knows a newer configuration or list of servers.
    catalog_behind_at: float | None = None
    servers_behind_at: float | None = None
    # Engines whose load changed and was not told yet.
    changed: set = dataclasses.field(default_factory=set)
    # When this was told last, and whether a time to tell it is set.
    told_load_at: float = 0.0
    load_is_due: bool = False
    # When hosts were told last that something newer is known.
    told_news_at: float = 0.0
    # Servers that took no connection, not told yet.
    refusing: set = dataclasses.field(default_factory=set)
    # By service and class: what came and was let in lately.
    served: dict = dataclasses.field(default_factory=dict)
    # Requests that wait here for room.
    held: set = dataclasses.field(default_factory=set)
    # (server id, part, tokens) sent lately, with when.
    placed: collections.deque = dataclasses.field(
        default_factory=collections.deque)
    # What the platform asks of one host at a time; None if nothing.
    duties: state.Duties | None = None
    # How engines are ordered, as the operator set it.
    policy: capacity.Policy = capacity.Policy()
    stop_at: float | None = None
    retired: bool = False
    exited: bool = False


def new_host(cfg, rng, policy=capacity.Policy()):
    """Return the state of a host that knows nothing yet."""
    return Host(cfg=cfg, rng=rng, policy=policy)


def new_server(server, now):
    """Return the state of a server that was just heard of."""
    return ServerState(server=server, heard_at=now,
                       point=routing.unit_hash(server.sid, "ring"),
                       cold_until=now + server.cold_s)
