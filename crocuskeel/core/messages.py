"""Messages between entry hosts.

Each message is a frozen dataclass; ``crocuskeel.wire`` converts it to and
from the protobuf message of the same name, field by field. The hosts'
clocks differ, so times are spans in seconds relative to the sending.
"""

import dataclasses

from crocuskeel.core.settings_messages import PartAnswer
from crocuskeel.core.settings_messages import PartAsk
from crocuskeel.core.settings_messages import SettingsAnswer
from crocuskeel.core.settings_messages import SettingsAsk
from crocuskeel.core.settings_messages import SettingsVouch
from crocuskeel.core.settings_messages import SettingsVouchAsk

__all__ = [
    "Backend", "ClaimAnswer", "ClaimAsk", "ClaimSettle", "CrashSeen",
    "Enqueue", "Grant", "HostListAsk", "HostListNews", "MemberUpdate",
    "Message", "NotDispatcher", "PartAnswer", "PartAsk", "Probe",
    "ProbeAck", "ProbeVia", "Progress", "Progressed", "Refusal",
    "Released", "ReplayAsk", "ReplayChunk", "Reregister", "ReregisterAsk",
    "Running", "SettingsAnswer", "SettingsAsk", "SettingsVouch",
    "SettingsVouchAsk", "Withdraw",
]

_message = dataclasses.dataclass(frozen=True, slots=True)


# Queueing in cells: entry host -> dispatcher.

@_message
class Enqueue:
    """An entry host enqueues one attempt with a cell's dispatcher.

    ``deadline_in_s`` and ``waited_s`` are spans at sending time;
    ``floor`` is the class's minimum share of grants; with ``late_drop`` an
    answer after the deadline is worthless; ``avoid`` names engines not to
    use again; ``prefix`` is the hash of the prompt's prefix, 0 for none.
    """

    rid: str
    attempt: int
    cell: str
    service: str
    class_name: str
    workspace: str
    tier: int
    weight: float = 1.0
    floor: float = 0.0
    target_ttft_s: float = 1.0
    deadline_in_s: float = 30.0
    waited_s: float = 0.0
    late_drop: bool = False
    repeatable: bool = True
    queue_limit: int = 100
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: int = 0
    fingerprint: str = ""
    avoid: tuple[str, ...] = ()
    generation: int = 0


@_message
class Withdraw:
    """The entry host no longer wants a slot for this attempt."""

    rid: str
    attempt: int
    cell: str


@_message
class Running:
    """One granted attempt, as known to its entry host."""

    rid: str
    attempt: int
    cell: str
    engine: str
    class_name: str
    workspace: str
    tier: int
    fingerprint: str = ""
    tokens: int = 0
    age_s: float = 0.0
    alone: bool = False


@_message
class Reregister:
    """All attempts of one entry host in a cell; replaces earlier ones.

    Sent to a new dispatcher, after a peer connection was reestablished,
    and in answer to :class:`ReregisterAsk`.
    """

    cell: str
    waiting: tuple[Enqueue, ...] = ()
    running: tuple[Running, ...] = ()


@_message
class Progress:
    """Tokens that one attempt has produced so far."""

    rid: str
    attempt: int
    tokens: int


@_message
class Progressed:
    """Batched progress of an entry host's running attempts in a cell."""

    cell: str
    items: tuple[Progress, ...] = ()


@_message
class Released:
    """A granted slot is free again, with measurements of the engine.

    ``end`` is an ``AttemptEnd`` value; ``ttft_s`` and ``itl_s`` are the
    time to first token and the mean time between tokens, 0 if not
    measured.
    """

    rid: str
    attempt: int
    cell: str
    engine: str
    end: str
    tokens: int = 0
    ttft_s: float = 0.0
    itl_s: float = 0.0
    fingerprint: str = ""


# Queueing in cells: dispatcher -> entry host.

@_message
class Grant:
    """An engine slot for a waiting attempt.

    ``alone`` marks a suspect that gets the engine exclusively.
    """

    rid: str
    attempt: int
    cell: str
    engine: str
    alone: bool = False


@_message
class Refusal:
    """The dispatcher refused a waiting attempt; it was not run."""

    rid: str
    attempt: int
    cell: str
    reason: str
    retry_after_s: float = 0.0
    detail: str = ""


@_message
class NotDispatcher:
    """The host that sends this doesn't own the cell in its own view."""

    cell: str
    rid: str = ""


@_message
class ReregisterAsk:
    """The dispatcher asks an entry host for its attempts in a cell."""

    cell: str


@_message
class CrashSeen:
    """A verdict on requests that ran on an engine when it may have crashed.

    Broadcast. ``verdict`` is ``suspect``, ``cleared`` or
    ``quarantined``, for each of ``fingerprints``.
    """

    engine: str
    verdict: str
    fingerprints: tuple[str, ...] = ()
    span_s: float = 600.0


# Claims.

@_message
class ClaimAsk:
    """Ask a slot's owner for a claim; ``look`` only reads its state."""

    rid: str
    slot: int
    key: str
    digest: str
    deadline_in_s: float
    issued_at: float = 0.0
    look: bool = False


@_message
class ClaimAnswer:
    """The owner's answer to a claim.

    ``status`` is one of ``granted``, ``duplicate``, ``mismatch``,
    ``too_old``, ``too_new`` (dated in the future), ``unavailable`` or, for
    a look, ``absent``. For a duplicate, the other fields give the host and
    request that hold the claim and the outcome as far as it is recorded.
    """

    rid: str
    key: str
    status: str
    holder_host: str = ""
    holder_rid: str = ""
    outcome: str = ""
    retry_after_s: float = 0.0


@_message
class ClaimSettle:
    """An entry host reports how its claimed request ended."""

    rid: str
    slot: int
    key: str
    outcome: str


# Answers stored on another host.

@_message
class ReplayAsk:
    """Ask the host that stores a request's answer for its events.

    ``after`` is the number of the last event the caller has; ``proof``
    shows that the request is from the same caller.
    """

    rid: str
    ask: str
    after: int
    proof: str = ""


@_message
class ReplayChunk:
    """Part of a stored answer.

    ``status`` is ``more``, ``end``, ``unknown`` (not stored here) or
    ``failed``.
    """

    ask: str
    status: str
    data: bytes = b""
    http_status: int = 200
    content_type: str = ""


# Membership (datagrams).

@_message
class MemberUpdate:
    """The status of one entry host as known to the sender.

    ``status`` is ``alive``, ``suspect``, ``dead`` or ``leaving``;
    ``load`` is the share of the host's capacity in use, 0 to 1.
    ``refutations`` counts how often the host itself denied, within one
    incarnation, that it was suspect or dead: the higher count wins. An
    empty ``address`` means that the address and labels are omitted.
    """

    host: str
    incarnation: int
    status: str
    address: str = ""
    peer_port: int = 0
    door_port: int = 0
    domain: str = ""
    region: str = ""
    load: float = 0.0
    generation: int = 0
    refutations: int = 0


@_message
class Probe:
    """Liveness probe; ``updates`` are piggybacked on it."""

    seq: int
    updates: tuple[MemberUpdate, ...] = ()


@_message
class ProbeAck:
    """Answer to a probe."""

    seq: int
    updates: tuple[MemberUpdate, ...] = ()


@_message
class ProbeVia:
    """Ask the receiver to probe ``target`` for the sender."""

    seq: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


# Host list.

@_message
class Backend:
    """A backend server as the host list describes it.

    ``kind`` is ``engine`` or ``plain``.
    """

    name: str
    service: str
    url: str
    domain: str = ""
    region: str = ""
    kind: str = "engine"
    leaving: bool = False


@_message
class HostListAsk:
    """Ask a peer for the host list if the platform can't be read."""

    have: int


@_message
class HostListNews:
    """Backend servers that the sender saw leaving in the host list.

    ``at`` is the list's own position, which orders these messages.
    ``backends`` is the whole list, only in an answer to
    :class:`HostListAsk`.
    """

    at: int
    leaving: tuple[str, ...] = ()
    backends: tuple[Backend, ...] = ()


Message = (
    Enqueue | Withdraw | Reregister | Progressed | Released | Grant
    | Refusal | NotDispatcher | ReregisterAsk | CrashSeen | ClaimAsk
    | ClaimAnswer | ClaimSettle | ReplayAsk | ReplayChunk | Probe
    | ProbeAck | ProbeVia | SettingsAsk | SettingsAnswer | PartAsk
    | PartAnswer | HostListAsk | HostListNews | SettingsVouchAsk
    | SettingsVouch
)
