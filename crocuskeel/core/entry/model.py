"""Data model of an entry host: requests, routes, servers and hosts."""

import dataclasses
import enum

__all__ = [
    "Catalog", "EngineSpec", "Hints", "Kind", "Limits", "Origin", "Outcome",
    "Peer", "Prompt", "Request", "Route", "Scaling", "Server", "Service",
    "Workspace", "server_id", "started_before",
]


class Kind(enum.Enum):
    """Whether a request is safe to repeat, or is a stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Outcome(enum.Enum):
    """How an attempt at a backend server ended without a response."""

    # No byte of the request left this host.
    UNREACHABLE = "unreached"
    # The same, because the server's host refused the connection.
    REFUSED = "refused"
    # The server reported that it did not run the request.
    NOT_RUN = "not_run"
    # Another server uses the address; it did not run the request.
    MISDIRECTED = "misdirected"
    # The connection ended after the request was sent.
    DISCONNECTED = "broken"
    # The bytes received are not a complete response to this request.
    MALFORMED = "garbled"


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt; ``parts`` holds (id, tokens) in order.

    ``max_output_tokens`` is the maximum number of output tokens. ``model`` is
    the name of the model that reads it, if the request names one.
    """

    parts: tuple
    tokens: int
    max_output_tokens: int
    model: str = ""

    @property
    def shared_ids(self):
        """The ids of the parts that other prompts may have, without repeats.

        The last part is the request's own.
        """
        return tuple(dict.fromkeys(name for name, _ in self.parts[:-1]))


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The service, and its software version, that began a stream."""

    service: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as sent once by a caller.

    ``digest`` identifies method, path and body, not the ``api_key``.
    ``deadline_s`` is how long the caller waits from the request's arrival,
    or None. ``max_servers`` is the number of servers that it may be sent to
    if another host relayed it, otherwise None. ``last_event_id`` is that of
    the last event that the caller has of a stream, ``resumes`` the id of its
    request that brought the stream's first event; empty if it names none.
    ``relay_origin`` is the stream's origin if the other host knows it.
    """

    rid: str
    method: str
    host: str
    path: str
    api_key: str = ""
    deadline_s: float | None = None
    prompt: Prompt | None = None
    digest: str = ""
    max_servers: int | None = None
    last_event_id: str = ""
    resumes: str = ""
    relay_origin: Origin | None = None

    @property
    def is_taken_up(self):
        """Whether the caller takes up a stream that has begun before."""
        return bool(self.last_event_id or self.resumes)


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A class of requests; times in seconds, ``priority`` 0 is highest.

    ``split`` holds (service, weight). ``max_servers`` is the maximum
    number of servers that one request may be sent to. ``gap_s`` is the longest
    pause between events for which a stream counts as on time.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    split: tuple
    timeout_s: float
    target_s: float
    max_servers: int
    priority: int
    public: bool
    resumable: bool
    gap_s: float

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties of a service's model engines; ``memory`` in tokens.

    ``fetch_token_s`` is the time that one engine takes to send another
    the cached state of one token, s; 0 if engines don't do so.
    """

    slots: int
    memory: int
    fetch_token_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Limits on the number of a service's engines per failure domain.

    ``boot_s`` is the time from an order until an engine serves.
    ``prices`` maps a failure domain to the price of an engine there; a
    spot engine, which the platform may reclaim, costs the fraction
    ``spot_price`` of it. None if there are no spot engines.
    """

    min_engines: int
    max_engines: int
    boot_s: float
    prices: dict
    spot_price: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``max_connections`` per server, 0 if unlimited.

    ``scaling`` is None where no engines can be ordered. ``health_path`` is
    where a server tells its health.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    scaling: Scaling | None = None
    health_path: str = "/"


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer; ``priority`` overrides a route's if it is set."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what a caller may send, in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """The configuration in force; ``revision`` is the store's.

    ``routes`` maps a host name to its routes, longest prefix first.
    ``api_keys`` maps a key to its workspace; None if keys are not used.
    """

    revision: int
    version: int
    routes: dict
    services: dict
    api_keys: dict | None
    limits: Limits


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A registered backend server.

    ``warmup_left_s`` is the remaining time of its warm-up. ``started_ms``
    is its start time in Unix milliseconds, None if it doesn't report it; it
    tells the incarnations of one server apart. ``spot``: the server is
    cheaper, and the platform may reclaim it at short notice. ``version`` is
    that of its software; versions have no order. Empty if it isn't known.
    ``created`` is the number of the store's change that created its entry,
    None if it isn't known.
    """

    sid: str
    service: str
    address: tuple
    domain: str
    slots: int
    draining: bool
    warmup_left_s: float = 0.0
    started_ms: int | None = None
    spot: bool = False
    version: str = ""
    created: int | None = dataclasses.field(default=None, compare=False)

    @property
    def incarnation(self):
        """The identifier of this incarnation of the server."""
        return f"{self.sid}/{self.started_ms}"


def started_before(server, other):
    """Return whether a server is known to have started before another one."""
    return (None not in (server.started_ms, other.started_ms)
            and server.started_ms < other.started_ms)


def server_id(incarnation):
    """Return the server id of an incarnation's identifier."""
    return incarnation.rpartition("/")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Hints:
    """Load hints from the header fields of a server's response.

    ``rate_limit``: requests a second from all hosts together, None if
    the server sets no limit. ``leaving``: the server will shut down.
    ``backoff_s``: for how long the server asks this host to send nothing,
    s; None if it doesn't ask for that. ``brittle``: the server ends if it
    has to refuse several requests in a second.
    """

    rate_limit: float | None = None
    leaving: bool = False
    backoff_s: float | None = None
    brittle: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An entry host; ``public_address`` is for callers.

    ``boot`` tells the incarnations of one host apart; ``capacity`` is its
    share of processor time, in cores.
    """

    name: str
    boot: int
    domain: str
    public_address: str
    control: tuple
    gossip: tuple
    capacity: float
