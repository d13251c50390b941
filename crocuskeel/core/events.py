"""Events: all inputs of a daemon, as data.

The runtime creates them from I/O and timers; the reducer handles one at a
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
    """The runtime has started; components set their first timers."""


@_event
class TimerFired:
    """A timer set by ``SetTimer`` has expired."""

    key: tuple


# Callers.

@_event
class RequestArrived:
    """A caller's request; the runtime stores its body under ``rid``.

    ``token`` is the SHA-256 of the bearer token in hex; ``path`` and
    ``method`` are those of the HTTP request; ``idempotency_key`` is empty
    if none; ``digest`` is a hash of method, path and body; ``fingerprint``
    is a hash of the workspace-independent content, to detect poison
    requests; ``issued_at`` is the caller's own issue time of the key in
    Unix seconds or 0. ``first_sending`` is true if the caller states that
    it has not sent the key before.
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

    ``stream``, ``engine`` and ``attempt`` are taken from the event id:
    the first request's rid, the engine and the attempt.
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
    """The caller's connection closed before its answer was complete."""

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

    DONE: complete answer. BUSY: the backend server is full and did not
    run it (429). UNREADY: it can't serve this now and did not run it
    (503). REFUSED: no byte was sent. CONNECTION_LOST: connection lost after
    bytes were sent. TIMED_OUT: no traffic within the expected time.
    STREAM_UNKNOWN: the engine no longer knows the stream. FAILED: another
    error answer. CANCELLED: cancelled by this host.
    """

    DONE = "done"
    BUSY = "busy"
    UNREADY = "unready"
    REFUSED = "refused"
    CONNECTION_LOST = "broken"
    TIMED_OUT = "silent"
    STREAM_UNKNOWN = "gone"
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
    """Sampled progress of a running attempt, not sent for every token."""

    rid: str
    attempt: int
    tokens: int


@_event
class AttemptClosed:
    """An attempt ended; ``forwarded`` events were sent to the caller."""

    rid: str
    attempt: int
    end: AttemptEnd
    forwarded: int = 0
    tokens: int = 0
    ttft_s: float = 0.0
    itl_s: float = 0.0
    http_status: int = 0
    retry_after_s: float = 0.0


# Reports of engines.

@_event
class EngineLoadSeen:
    """An engine's load report, with a lag; ``ok`` is False if none came."""

    engine: str
    ok: bool
    boot_id: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 0
    kv_used: float = 0.0


@_event
class EngineCacheSeen:
    """Cache events of an engine: hints that may be late or incomplete."""

    engine: str
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


# Peers.

@_event
class Received:
    """A message from an authenticated peer.

    ``generation`` is the sender's settings generation.
    """

    sender: str
    incarnation: int
    message: messages.Message
    generation: int = 0
    address: str = ""


@_event
class PeerUp:
    """A stream to or from a peer was established or reestablished."""

    host: str
    incarnation: int


@_event
class PeerDown:
    """The stream to a peer was lost, perhaps with messages."""

    host: str


# Platform.

class StoreStatus(enum.StrEnum):
    """Results of Object API calls.

    UNAVAILABLE: the call is known to have had no effect. UNKNOWN: a write
    may or may not have taken effect.
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
    """The host list was read: entry hosts and backend servers."""

    position: int
    entries: tuple[messages.MemberUpdate, ...]
    backends: tuple[messages.Backend, ...]


@_event
class HostListFailed:
    """The host list could not be read."""


# Operators.

@_event
class DrainAsked:
    """A planned stop was requested: this host drains, then exits."""


Event = (
    Started | TimerFired | RequestArrived | ResumeArrived | CallerGone
    | LocateAsked | AttemptOpened | AttemptProgress | AttemptClosed
    | EngineLoadSeen | EngineCacheSeen | Received | PeerUp | PeerDown
    | StoreAnswered | HostListSeen | HostListFailed | DrainAsked
)
