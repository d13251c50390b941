"""Effects: what a daemon wants done, as data for the runtime."""

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
    """Fire ``TimerFired(key)`` after a span; replaces the same key."""

    key: tuple
    after_s: float


@_effect
class CancelTimer:
    """Forget a timer; no error if there is none."""

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
    """Send a message to every live member but this host."""

    message: messages.Message


# Callers.

@_effect
class Answer:
    """Final refusal or failure; ends the caller's response.

    After the first byte was relayed the runtime ends the stream with
    an error event that carries the same problem. ``location`` is the
    "address:port" of a host that takes the request instead, sent as a
    redirect, or empty.
    """

    rid: str
    problem: problems.Problem
    location: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LocateAddress:
    """One address for callers, in order of preference."""

    host: str
    address: str
    port: int
    domain: str


@_effect
class AnswerLocate:
    """Answer ``GET locate``; ``ttl_s`` is how long to keep it."""

    rid: str
    addresses: tuple[LocateAddress, ...]
    ttl_s: float
    generation: int


# Attempts.

@_effect
class OpenAttempt:
    """Send the held request to a backend server and relay its answer.

    ``silence_s`` bounds the time without traffic, ``first_byte_s`` the
    time to the first byte. ``replayable``: keep the answer a while for
    resends under the same key. ``model`` replaces the one that the
    body names; empty: the body goes out as it came.
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
    """Go on with a broken stream at its engine.

    What the caller already has is not sent again.

    For a resume from a caller, ``stream`` is the first request's rid
    and ``after`` the caller's last event; else empty and -1.
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
    """Cancel at the backend server and stop relaying."""

    rid: str
    attempt: int


@_effect
class Replay:
    """Answer a caller from this host's own kept answer of ``held``."""

    rid: str
    held: str
    after: int = 0


@_effect
class ReplayFrom:
    """Answer a caller with what ``host`` holds of request ``held``.

    The runtime asks the peer and relays; it reports ``AttemptClosed``
    with attempt 0 when it could not (GONE) or had done so (DONE).
    """

    rid: str
    host: str
    held: str
    after: int = 0
    proof: str = ""


# Platform.

@_effect
class StoreGet:
    """Read an object; answered by ``StoreAnswered`` with ``op``."""

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
    """Conditional write: ``version`` 0 creates, else must match."""

    op: tuple
    path: str
    body: bytes
    version: int


@_effect
class WantHostList:
    """Read the host list; its answer is an event of its own."""


# What happened.

@_effect
class Record:
    """One event of the time line; never holds prompt text or secrets.

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
    """The drain is complete; the program may end."""


Effect = (
    SetTimer | CancelTimer | Send | Broadcast | Answer | AnswerLocate
    | OpenAttempt | ResumeAttempt | CancelAttempt | Replay | ReplayFrom
    | StoreGet | StoreWatch | StorePut | WantHostList | Record | Measure
    | Exit
)
