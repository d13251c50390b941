"""Effects: actions requested by the core, as data for the runtime."""

import dataclasses

from crocuskeel.core import messages
from crocuskeel.core import problems

__all__ = [
    "Answer", "AnswerLocate", "Broadcast", "CancelAttempt", "CancelTimer",
    "Effect", "Exit", "LocateAddress", "Measure", "OpenAttempt", "Record",
    "Replay", "ReplayFrom", "ResumeAttempt", "Send", "SetTimer",
    "StoreGet", "StorePut", "StoreWatch", "WantHostList",
]

_effect = dataclasses.dataclass(frozen=True, slots=True)


@_effect
class SetTimer:
    """Fire ``TimerFired(key)`` after a delay; replaces a timer of this key."""

    key: tuple
    after_s: float


@_effect
class CancelTimer:
    """Cancel a timer; no error if there is none."""

    key: tuple


@_effect
class Send:
    """Send a message to a host, over its stream or as a datagram.

    ``address`` and ``port`` are set only for datagrams to hosts that
    are not members yet.
    """

    host: str
    message: messages.Message
    address: str = ""
    port: int = 0


@_effect
class Broadcast:
    """Send a message to every live member except this host."""

    message: messages.Message


# Callers.

@_effect
class Answer:
    """Final refusal or failure; ends the caller's response.

    If the first byte was already relayed, the runtime ends the stream with
    an error event that carries the same problem. ``location`` is the
    "address:port" of a host to redirect the caller to, or empty.
    """

    rid: str
    problem: problems.Problem
    location: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LocateAddress:
    """One address for callers; listed in order of preference."""

    host: str
    address: str
    port: int
    domain: str


@_effect
class AnswerLocate:
    """Answer ``GET locate``; ``ttl_s`` is how long to cache it."""

    rid: str
    addresses: tuple[LocateAddress, ...]
    ttl_s: float
    generation: int


# Attempts.

@_effect
class OpenAttempt:
    """Send a stored request to a backend server and relay its answer.

    ``silence_s`` bounds the time without traffic, ``first_byte_s`` the
    time to the first byte. ``replayable`` stores the answer for a while
    for resends under the same key. ``model`` replaces the model that the
    body names; if empty, the body is sent unchanged.
    """

    rid: str
    attempt: int
    backend: str
    url: str
    tier: int
    first_byte_s: float
    silence_s: float
    replayable: bool = False
    model: str = ""


@_effect
class ResumeAttempt:
    """Resume a broken stream at its engine.

    Events that the caller already has are not sent again.

    For a resume requested by a caller, ``stream`` is the first request's
    rid and ``after`` the caller's last event; else they are empty and -1.
    """

    rid: str
    attempt: int
    backend: str
    url: str
    silence_s: float
    stream: str = ""
    after: int = -1


@_effect
class CancelAttempt:
    """Cancel an attempt at the backend server and stop relaying."""

    rid: str
    attempt: int


@_effect
class Replay:
    """Answer a caller with this host's stored answer to ``original_rid``."""

    rid: str
    original_rid: str
    after: int = 0


@_effect
class ReplayFrom:
    """Answer a caller with the answer to ``original_rid`` stored on ``host``.

    The runtime requests it from the peer and relays it. It then reports
    ``AttemptClosed`` with attempt 0 and DONE, or STREAM_UNKNOWN if it failed.
    """

    rid: str
    host: str
    original_rid: str
    after: int = 0
    proof: str = ""


# Platform.

@_effect
class StoreGet:
    """Read an object; answered by ``StoreAnswered`` with the same ``op``."""

    op: tuple
    path: str


@_effect
class StoreWatch:
    """Wait until the object's version differs from ``version``."""

    op: tuple
    path: str
    version: int
    timeout_s: float


@_effect
class StorePut:
    """Conditional write: ``version`` 0 creates, others must match."""

    op: tuple
    path: str
    body: bytes
    version: int


@_effect
class WantHostList:
    """Read the host list; answered by a host list event."""


# Timeline, metrics and exit.

@_effect
class Record:
    """One timeline event; never contains prompt text or secrets.

    ``fields`` are name and value pairs of str, int, float or bool.
    """

    kind: str
    rid: str = ""
    fields: tuple[tuple[str, str | int | float | bool], ...] = ()


@_effect
class Measure:
    """A statsd metric: ``kind`` is ``c``, ``g`` or ``ms``."""

    name: str
    value: float
    kind: str = "c"


@_effect
class Exit:
    """The drain is complete; the program may exit."""


Effect = (
    SetTimer | CancelTimer | Send | Broadcast | Answer | AnswerLocate
    | OpenAttempt | ResumeAttempt | CancelAttempt | Replay | ReplayFrom
    | StoreGet | StoreWatch | StorePut | WantHostList | Record | Measure
    | Exit
)
