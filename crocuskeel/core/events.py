"""Events: everything that happens to a daemon, as data.

The runtime makes them from I/O and timers; the reducer takes one at a
time. Times are seconds of the runtime's monotonic clock.
"""

import dataclasses
import enum

from crocuskeel.core import messages

__all__ = [
    "AttemptClosed", "AttemptEnd", "AttemptOpened", "AttemptProgress",
    "CallerGone", "DrainAsked", "EngineCacheSeen",
    "EngineLoadSeen", "Event", "HostListFailed", "HostListSeen",
    "LocateAsked", "PeerDown", "PeerUp", "Received", "RequestArrived",
    "ResumeArrived", "Started", "StoreAnswered", "StoreStatus",
    "TimerFired",
]

_event = dataclasses.dataclass(frozen=True, slots=True)


@_event
class Started:
    """The runtime is up; concerns set their first timers."""


@_event
class TimerFired:
    """A timer set by ``SetTimer`` has come due."""

    key: tuple


# Callers.

@_event
class RequestArrived:
    """A caller's request, body held by the runtime under ``rid``.

    ``token`` is the SHA-256 of the bearer token, hex; ``path`` and
    ``method`` are the HTTP ones; ``idempotency_key`` is empty if none;
    ``digest`` is a hash of method, path and body; ``fingerprint`` of
    workspace-independent content (for poison requests); ``issued_at``
    is the caller's own issue time of the key in Unix seconds or 0.
    ``first_sending``: the caller says that no earlier sending of the
    key went out.
    """

    rid: str
    token: str
    method: str
    path: str
    class_name: str
    model: str
    stream: bool
    prompt_tokens: int
    max_tokens: int
    prefix: int
    digest: str
    fingerprint: str
    idempotency_key: str = ""
    non_repeatable: bool = False
    issued_at: float = 0.0
    first_sending: bool = False


@_event
class ResumeArrived:
    """A caller asks for the rest of a stream (``Last-Event-ID``).

    ``stream`` is the first request's rid as carried in event ids,
    ``engine`` the engine it named, ``attempt`` the attempt.
    """

    rid: str
    token: str
    stream: str
    attempt: int
    engine: str
    after: int
    proof: str


@_event
class CallerGone:
    """The caller's connection ended before its answer did."""

    rid: str


@_event
class LocateAsked:
    """A caller asks which addresses to use."""

    rid: str
    token: str
    domain: str = ""
    class_name: str = ""


# Attempts on backend servers.

class AttemptEnd(enum.StrEnum):
    """How an attempt ended.

    DONE: whole answer. BUSY: the backend server is full and did not run
    it (429). UNREADY: it can't serve this now and did not run it (503).
    REFUSED: no byte was sent. BROKEN: connection lost after
    bytes were sent. SILENT: no traffic within the expected time. GONE:
    the engine no longer knows the stream. FAILED: another error answer.
    CANCELLED: ended by us.
    """

    DONE = "done"
    BUSY = "busy"
    UNREADY = "unready"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    GONE = "gone"
    FAILED = "failed"
    CANCELLED = "cancelled"


@_event
class AttemptOpened:
    """First byte of the answer; it is being relayed to the caller."""

    rid: str
    attempt: int
    ttft_s: float


@_event
class AttemptProgress:
    """Sampled progress of a running attempt (not one a token)."""

    rid: str
    attempt: int
    tokens: int


@_event
class AttemptClosed:
    """An attempt ended; ``forwarded`` events had reached the caller."""

    rid: str
    attempt: int
    end: AttemptEnd
    forwarded: int = 0
    tokens: int = 0
    ttft_s: float = 0.0
    itl_s: float = 0.0
    http_status: int = 0
    retry_after_s: float = 0.0


# Engines' reports.

@_event
class EngineLoadSeen:
    """An engine's load report (lagging); ``ok`` False: none came."""

    engine: str
    ok: bool
    boot_id: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 0
    kv_used: float = 0.0


@_event
class EngineCacheSeen:
    """Cache events of an engine: hints only, late and with gaps."""

    engine: str
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


# Peers.

@_event
class Received:
    """A message of an authenticated peer.

    ``generation`` is the sender's settings generation.
    """

    sender: str
    incarnation: int
    message: messages.Message
    generation: int = 0
    address: str = ""


@_event
class PeerUp:
    """A stream to or from a peer was made (perhaps made again)."""

    host: str
    incarnation: int


@_event
class PeerDown:
    """The stream to a peer was lost; messages may be lost with it."""

    host: str


# Platform.

class StoreStatus(enum.StrEnum):
    """Results of Object API calls.

    UNAVAILABLE: known not to have happened. UNKNOWN: a write that may
    or may not have taken effect.
    """

    FOUND = "found"
    NOT_FOUND = "not_found"
    WRITTEN = "written"
    CONFLICT = "conflict"
    UNCHANGED = "unchanged"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@_event
class StoreAnswered:
    """The answer to a ``StoreGet`` or ``StorePut`` effect."""

    op: tuple
    status: StoreStatus
    version: int = 0
    body: bytes = b""


@_event
class HostListSeen:
    """An answer of the host list: entry hosts and backend servers."""

    at: int
    entries: tuple[messages.MemberUpdate, ...]
    backends: tuple[messages.Backend, ...]


@_event
class HostListFailed:
    """The host list could not be read."""


# Operators.

@_event
class DrainAsked:
    """Planned stop of this host: drain, then exit."""


Event = (
    Started | TimerFired | RequestArrived | ResumeArrived | CallerGone
    | LocateAsked | AttemptOpened | AttemptProgress | AttemptClosed
    | EngineLoadSeen | EngineCacheSeen | Received | PeerUp | PeerDown
    | StoreAnswered | HostListSeen | HostListFailed | DrainAsked
)
