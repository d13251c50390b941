"""What an entry host knows: requests, routes, backend servers, hosts."""

import dataclasses
import enum

__all__ = [
    "Catalog", "Engine", "Hints", "Kind", "Limits", "Outcome", "Peer",
    "Prompt", "Request", "Route", "Scaling", "Server", "Service",
    "Workspace", "server_id",
]


class Kind(enum.Enum):
    """What may be repeated of a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Outcome(enum.Enum):
    """How an attempt at a backend server ended without an answer."""

    # No byte of the request left this host.
    UNREACHED = "unreached"
    # The same, and the server's host says that nothing listens there.
    REFUSED = "refused"
    # The server says that it did not run the request.
    NOT_RUN = "not_run"
    # Another server has the address; it did not run the request.
    MISDIRECTED = "misdirected"
    # The connection ended after the request went out.
    BROKEN = "broken"
    # Bytes that are no whole answer to this request.
    GARBLED = "garbled"


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Parts as (id, tokens), in order; ``output`` is the most tokens."""

    parts: tuple
    tokens: int
    output: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One attempt of a caller; ``digest`` names method, path and body.

    ``deadline_s`` is how long the caller waits from arrival, or None.
    """

    rid: str
    method: str
    host: str
    path: str
    api_key: str = ""
    deadline_s: float | None = None
    prompt: Prompt | None = None
    digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A class of requests; times in seconds, ``priority`` 0 is first.

    ``split`` holds (service, weight). ``tries`` is the most servers one
    request may be sent to. ``gap_s`` is the longest pause between events
    for which a stream is on time.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    split: tuple
    timeout_s: float
    goal_s: float
    tries: int
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
class Engine:
    """A service of model engines: ``memory`` in tokens.

    ``fetch_token_s`` is the time in which one engine sends another what it
    holds of a token, s; 0 if they don't.
    """

    slots: int
    memory: int
    fetch_token_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds of a service's engines, in each failure domain.

    ``boot_s`` passes from an order until an engine serves. ``prices``
    maps a failure domain to what an engine costs there; one that the
    platform may take back costs the share ``spot_price`` of it, None if
    there are none.
    """

    least: int
    most: int
    boot_s: float
    prices: dict
    spot_price: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """``connections`` is the most that a server takes; 0 is no bound.

    ``scaling`` is None where no engines can be ordered.
    """

    name: str
    connections: int
    engine: Engine | None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """``priority`` goes before a route's, if it is set."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send; bytes and seconds."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """The configuration in force. ``revision`` is the store's.

    ``routes`` maps a host name to its routes, longest prefix first;
    ``api_keys`` maps a key to its workspace, None if keys are not used.
    """

    revision: int
    version: int
    routes: dict
    services: dict
    api_keys: dict | None
    limits: Limits


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A backend server as registered; ``cold_s`` is left of its warm-up.

    ``born`` is the Unix millisecond of its start, None if it doesn't say:
    it tells the lives of one server apart. ``spot``: it is cheaper, and
    the platform may take it back at short notice.
    """

    sid: str
    service: str
    address: tuple
    domain: str
    slots: int
    draining: bool
    cold_s: float = 0.0
    born: int | None = None
    spot: bool = False

    @property
    def incarnation(self):
        """A name of this life of the server."""
        return f"{self.sid}/{self.born}"


def server_id(incarnation):
    """Return the id in the name of a server's incarnation."""
    return incarnation.rpartition("/")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Hints:
    """What the head of a server's answer says of what the server takes.

    ``rate_limit``: requests a second from all hosts together, None if
    it names no limit. ``leaving``: it will end. ``rest_s``: for how long
    it wants nothing from this host, s; None if it doesn't ask for that.
    """

    rate_limit: float | None = None
    leaving: bool = False
    rest_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An entry host. ``front`` is where callers reach it.

    ``boot`` tells the lives of one host apart; ``capacity`` is its share of
    processor time, cores.
    """

    name: str
    boot: int
    domain: str
    front: str
    control: tuple
    gossip: tuple
    capacity: float
