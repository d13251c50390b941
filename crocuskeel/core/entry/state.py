"""State of an entry host; only the handlers of this package change it."""

import collections
import dataclasses
import math
import random

from crocuskeel.core.duties import capacity
from crocuskeel.core.duties import state
from crocuskeel.core.entry import body_memory
from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import durations
from crocuskeel.core.entry import loads
from crocuskeel.core.entry import model
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import serving
from crocuskeel.core.entry import stored_crashes
from crocuskeel.core.entry import stream_records
from crocuskeel.core.scheduling import fleet_demand
from crocuskeel.core.scheduling import settings as scheduling_settings

__all__ = ["Host", "RequestState", "PeerState", "ServerState", "Settings",
           "Attempt", "new_host", "new_server"]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Limits of the deployment; times in seconds, shares as fractions.

    In any ``repeat_window_s``, all hosts together may repeat
    ``repeat_share`` of a service's requests and ``repeat_slack`` more.
    """

    grace_s: float = 8.0
    # Interval at which servers renew their entries in the store.
    heartbeat_s: float = 1.2
    # Time within which an accepted configuration has to be in force.
    config_apply_s: float = 2.0
    repeat_share: float = 0.2
    repeat_window_s: float = 10.0
    repeat_slack: float = 50.0
    address_ttl_s: float = 1.0
    # Names of the duties that one host at a time does for the platform.
    duties: frozenset = frozenset()
    # Span of the lease that the holder of the duties needs.
    lease_s: float = 3.0
    # Length of the windows for which usage is reported, and how long after
    # its window a report is due.
    report_window_s: float = 5.0
    report_lag_s: float = 10.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to have a server run a request.

    ``uncached_tokens`` is how many tokens of the prompt the server had to
    read, or -1 once the request is known not to have reached it.
    """

    attempt_number: int
    sid: str
    # Incarnation of the server that it was sent to.
    incarnation: str
    sent_at: float
    uncached_tokens: int = 0
    # Software version of that server.
    version: str = ""
    # Tokens queued for prefill at its engine as it was sent.
    queued_tokens: int = 0
    # Shared tokens that are read again although another server holds them.
    reread_tokens: int = 0
    # Shared tokens that the server was told to fetch from another one.
    fetched_tokens: int = 0
    # Upper bound of the tokens that it occupies in its engine's memory.
    memory_tokens: int = 0
    # The number of servers that may run the request by it, more than one if
    # another host relays it; ``sid`` is that host's name then.
    servers: int = 1
    relayed: bool = False
    # The first event has arrived; pauses are measured from then on.
    opened: bool = False
    # When it arrived, infinite before that.
    opened_at: float = math.inf
    # Events after the first one.
    events: int = 0
    # It runs the request from its beginning, here and not at another host.
    is_first_run: bool = False
    # Its prompt's parts were recorded as sound.
    is_proven: bool = False
    # Its server completed a response.
    answered: bool = False
    # Its server had no place for a stream that has begun, and may have later.
    refused: bool = False
    ended: bool = False


@dataclasses.dataclass(slots=True)
class RequestState:
    """A request from its arrival to its final response."""

    key: int
    request: model.Request
    route: model.Route
    service: str
    workspace: str
    priority: int
    arrived_at: float
    deadline_at: float
    # The maximum number of servers that it may be sent to.
    max_servers: int = 1
    # The workspace of its key, also on a public route.
    owner: str = ""
    # Identifies identical requests of one workspace, see quarantine.digest_of.
    digest: str = ""
    # Keys of its prompt's parts, see prompt_parts.keys_of.
    part_keys: tuple = ()
    attempts: list = dataclasses.field(default_factory=list)
    # Number of servers that may have run it, and of attempts to reach one.
    servers_used: int = 0
    connect_attempts: int = 0
    may_have_run: bool = False
    # The attempt whose response is forwarded to the caller, and when its
    # stream last made progress.
    forwarded_attempt: int | None = None
    last_event_at: float = 0.0
    # This host doesn't read the stream now: its caller reads slowly. And
    # whether that has happened.
    is_paused: bool = False
    was_paused: bool = False
    # The origin of its stream that the store is to have, the keys of which it
    # hasn't confirmed that, and the attempt whose first event waits for that.
    log_origin: model.Origin | None = None
    unlogged: set = dataclasses.field(default_factory=set)
    waiting_attempt: int | None = None
    # Where its stream began, once that is known, and the search for it.
    origin: model.Origin | None = None
    lookup: stream_records.Lookup | None = None
    # It takes up a stream of which nobody knows, without the id of an event.
    begins_anew: bool = False
    # The longest pause between two events so far, s.
    pause_s: float = 0.0
    # Time to read the prompts queued at its engine as of its last event, s.
    queued_prefill_s: float = 0.0
    # The servers considered at its latest placement, and the rank by which
    # it was admitted.
    candidates: list = dataclasses.field(default_factory=list)
    rank: int = 0
    # While it waits for an engine: the limit that most engines are at.
    blocked_by: str = ""
    # The largest number of its prompt's shared tokens that one engine has
    # read.
    cached_elsewhere_tokens: int = 0
    # The same, with parts that an engine has yet to read.
    known_tokens: int = 0
    # Whether it is included in the usage counts.
    usage_counted: bool = False
    # The attempt that got an error response, which is forwarded if no other
    # server succeeds.
    fallback: int | None = None

    def may_go_to(self, server):
        """Return whether a server can go on with its stream."""
        return self.origin is None or server.version == self.origin.version


@dataclasses.dataclass(slots=True)
class ServerState:
    """A backend server and what this host has observed of it.

    ``own_attempts`` maps the (key, number) of this host's attempts to the
    tokens still to be read; ``peer_loads`` holds the loads reported by
    other hosts.
    ``parts`` holds the prompt parts sent there by any host, least
    recently used first.
    """

    server: model.Server
    # Position on the hash ring that all hosts share, in [0, 1).
    ring_position: float = 0.0
    own_attempts: dict = dataclasses.field(default_factory=dict)
    peer_loads: loads.PeerLoads = dataclasses.field(
        default_factory=loads.PeerLoads)
    # Number of requests there according to its own latest report.
    reported_load: int = 0
    reported_at: float = 0.0
    # How long work takes there according to that report, % of the usual.
    work_percent: int = 100
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    slowness: float = 1.0
    last_seen_at: float = 0.0
    # Share of the last few seconds in which it had prompts to read.
    prefill_share: float = 0.0
    # Prompt tokens and maximum output tokens of this host's requests there.
    memory_tokens: int = 0
    # Number of this host's streams by (priority, allowed pause in ms).
    streams_by_gap: dict = dataclasses.field(default_factory=dict)
    # The longest pause caused by reading prompts, s, as of
    # ``expected_pause_at``.
    expected_pause_s: float = 0.0
    expected_pause_at: float = 0.0
    # Since when this host has continuously had a request there.
    busy_since: float = 0.0
    suspect_until: float = 0.0
    failure_count: int = 0
    # When a connection to it last failed, unless it has been reached since.
    unreachable_at: float = -math.inf
    # Another server has its address.
    address_reused: bool = False
    # Revision at which its entry was created, None if that isn't known.
    created: int | None = None
    parts: dict = dataclasses.field(
        default_factory=collections.OrderedDict)
    parts_tokens: int = 0
    warm_at: float = 0.0
    # Set while its store entry, which lapsed in an outage, may still come
    # back.
    lapses_at: float | None = None


@dataclasses.dataclass(slots=True)
class PeerState:
    """Another entry host, as of its latest message."""

    peer: model.Peer
    last_seen_at: float
    ready: bool = False
    leaving: bool = False
    # It was a serving host as it announced that.
    was_serving: bool = False
    catalog_revision: int = 0
    # None if it runs the former version of this program.
    catalog_version: int | None = None
    servers_revision: int = 0
    reads_store: bool = False
    # Whether its program understands reports on crashes.
    takes_crash_reports: bool = False
    last_sent_at: float = 0.0
    # Names of the services that it is cut off from.
    cut_off: frozenset = frozenset()
    # When a third host last reported this one as ready.
    confirmed_ready_at: float = 0.0
    # Whether its program understands messages about streams' origins.
    takes_origins: bool = False
    # Whether its program writes records of streams to the store.
    writes_records: bool = True
    # Whether its program understands reports on queued requests.
    takes_demand: bool = False


@dataclasses.dataclass(slots=True)
class Host:
    """The whole state of an entry host."""

    cfg: Settings
    rng: random.Random
    self_peer: model.Peer | None = None
    started_at: float = -math.inf
    catalog: model.Catalog | None = None
    catalog_applied_at: float = 0.0
    # The workspaces of keys, also of those that it no longer has.
    key_owners: dict = dataclasses.field(default_factory=dict)
    servers: dict = dataclasses.field(default_factory=dict)
    by_service: dict = dataclasses.field(default_factory=dict)
    # By service: its servers in the order of the shared hash ring.
    rings: dict = dataclasses.field(default_factory=dict)
    # Ids of servers that are kept for a while after their entries lapsed.
    lapsing: dict = dataclasses.field(default_factory=dict)
    # By id: removed servers, as (server, revision of the list, when), and
    # until when servers that a restored copy lists again may be gone.
    removed: dict = dataclasses.field(default_factory=dict)
    unconfirmed: dict = dataclasses.field(default_factory=dict)
    # By incarnation of a server: the rate limit that it set.
    rate_limits: dict = dataclasses.field(default_factory=dict)
    # By incarnation of a server: (server id, since when it is known to be
    # shutting down), and until when it asked this host to send nothing.
    leaving: dict = dataclasses.field(default_factory=dict)
    backoff_until: dict = dataclasses.field(default_factory=dict)
    # By service: that its servers are brittle (brittle.Brittle).
    brittle: dict = dataclasses.field(default_factory=dict)
    # Ids of servers that have work or were heard of recently.
    active_servers: dict = dataclasses.field(default_factory=dict)
    servers_loaded: bool = False
    servers_revision: int = 0
    pending: dict = dataclasses.field(default_factory=dict)
    # By service: the pauses of streams observed at its engines.
    stream_pauses: dict = dataclasses.field(default_factory=dict)
    peers: dict = dataclasses.field(default_factory=dict)
    # Hosts that serve callers; the list is recomputed at
    # ``serving_hosts_until``.
    serving_hosts: list = dataclasses.field(default_factory=list)
    serving_hosts_until: float = 0.0
    # How many serving hosts are needed, as these report it.
    serving_demand: serving.ServingDemand = serving.NO_DEMAND
    # Time as of which the newest information from a store reader is valid.
    informed_at: float = -math.inf
    # When the list of hosts was read, and whether it was.
    peers_read_at: float = 0.0
    hosts_listed: bool = False
    # By service: times of requests and of repeats within the window.
    arrivals: dict = dataclasses.field(default_factory=dict)
    repeats: dict = dataclasses.field(default_factory=dict)
    # Lost attempts and crashes of servers, for the quarantine.
    crash_records: records.CrashRecords = dataclasses.field(
        default_factory=records.CrashRecords)
    # Those of the crashes that the store holds.
    crash_log: stored_crashes.CrashLog = dataclasses.field(
        default_factory=stored_crashes.CrashLog)
    # Where streams began, and the versions of each service.
    streams: stream_records.StreamRecords = dataclasses.field(
        default_factory=stream_records.StreamRecords)
    # By service: whether this host reaches its servers.
    reach: dict = dataclasses.field(default_factory=dict)
    # When this host learned that the store was restored from a copy.
    store_restored_at: float = -math.inf
    store_down_since: float | None = None
    store_up_since: float | None = None
    next_fetch_at: float = 0.0
    # Since when a peer knows a newer configuration or list of servers.
    catalog_behind_at: float | None = None
    servers_behind_at: float | None = None
    # Engines whose changed load was not yet sent to other hosts.
    changed_loads: set = dataclasses.field(default_factory=set)
    # When loads were last sent, and whether the next sending is scheduled.
    loads_sent_at: float = 0.0
    loads_scheduled: bool = False
    # When other hosts were last notified of newer configuration or servers.
    state_pushed_at: float = 0.0
    # Servers that refused a connection, not yet reported to other hosts.
    refused_servers: set = dataclasses.field(default_factory=set)
    # By service and class: requests that recently arrived and were admitted.
    class_stats: dict = dataclasses.field(default_factory=dict)
    # Requests held here until a server has room.
    held: set = dataclasses.field(default_factory=set)
    # What waits at other hosts, and what they were last told.
    queued_elsewhere: fleet_demand.Demand = dataclasses.field(
        default_factory=fleet_demand.new_demand)
    demand_sender: fleet_demand.Sender = dataclasses.field(
        default_factory=fleet_demand.new_sender)
    # Recently sent (server id, part, tokens), each with its time.
    recent_parts: collections.deque = dataclasses.field(
        default_factory=collections.deque)
    # State of the duties for the platform; None if there are none.
    duties: state.Duties | None = None
    # The operator's policy for ordering engines.
    policy: capacity.Policy = capacity.Policy()
    # The operator's settings of scheduling, off by default.
    scheduling: scheduling_settings.Settings = (
        scheduling_settings.Settings())
    # The scheduling.services.Schedule of each service that they apply to, and
    # the configuration for which these were chosen.
    schedules: dict = dataclasses.field(default_factory=dict)
    scheduled_catalog: model.Catalog | None = None
    # Memory of large request bodies.
    memory: body_memory.BodyMemory = dataclasses.field(
        default_factory=body_memory.BodyMemory)
    # Its latest tick, and the latest pause of this process: the tick before
    # it and the one after it.
    ticked_at: float = math.inf
    paused_at: float = -math.inf
    woke_at: float = -math.inf
    # When this host was asked to stop, and when it last logged what is in
    # progress since.
    stop_at: float | None = None
    # It was a serving host as it was asked to stop.
    was_serving: bool = False
    stop_logged_at: float = 0.0
    # How long before the end of its grace period it exits.
    exit_margin_s: float = 0.0
    # By how much ticks were late lately, s.
    late_s: float = 0.0
    # How long the latest requests took.
    known_durations: durations.Durations = dataclasses.field(
        default_factory=durations.new_durations)
    listener_closed: bool = False
    exited: bool = False


def new_host(cfg, rng, policy=capacity.Policy(),
             scheduling=scheduling_settings.Settings()):
    """Return the initial state of a host."""
    return Host(cfg=cfg, rng=rng, policy=policy, scheduling=scheduling)


def new_server(server, now):
    """Return the state of a newly discovered server."""
    return ServerState(server=server, last_seen_at=now,
                       ring_position=routing.unit_hash(server.sid, "ring"),
                       warm_at=now + server.warmup_left_s)
