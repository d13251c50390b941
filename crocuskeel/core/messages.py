"""Messages between entry hosts.

One frozen dataclass a message; ``crocuskeel.wire`` turns them into the
protobuf messages of the same name and back, field by field. Clocks of
hosts differ, so times are spans in seconds relative to the sending.
"""

import dataclasses

__all__ = [
    "Backend", "ClaimAnswer", "ClaimAsk", "ClaimSettle", "CrashSeen",
    "Enqueue", "Grant", "HostListAsk", "HostListNews", "MemberUpdate",
    "Message", "NotDispatcher", "PartAnswer", "PartAsk", "Probe",
    "ProbeAck", "ProbeVia", "Progress", "Progressed", "Refusal",
    "Released", "ReplayAsk", "ReplayChunk", "Reregister", "ReregisterAsk",
    "Running", "SettingsAnswer", "SettingsAsk", "Withdraw",
]

_message = dataclasses.dataclass(frozen=True, slots=True)


# Queueing in cells: door -> dispatcher.

@_message
class Enqueue:
    """A door registers one waiting attempt with a cell's dispatcher.

    ``deadline_in_s`` and ``waited_s`` are spans at sending time;
    ``floor`` is the class's share of the cell's slots; ``late_drop``
    says that an answer after the deadline is worthless; ``avoid`` names
    engines not to use again; ``prefix`` is the hash of the prompt's
    prefix, 0 for none.
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
    """The door no longer wants a slot for this attempt."""

    rid: str
    attempt: int
    cell: str


@_message
class Running:
    """One granted attempt, as its door knows it."""

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
    """All that one door holds in a cell; replaces what was known.

    Sent to a new dispatcher, after a peer connection was remade, and on
    :class:`ReregisterAsk`.
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
    """Batched progress of a door's running attempts in a cell."""

    cell: str
    items: tuple[Progress, ...] = ()


@_message
class Released:
    """A granted slot is free again, with what was seen of the engine.

    ``end`` is an ``AttemptEnd`` value; ``ttft_s`` and ``itl_s`` are the
    time to first token and the mean time between tokens, 0 if unseen.
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


# Queueing in cells: dispatcher -> door.

@_message
class Grant:
    """An engine slot for a waiting attempt.

    ``alone`` marks a suspect that has the engine to itself.
    """

    rid: str
    attempt: int
    cell: str
    engine: str
    alone: bool = False


@_message
class Refusal:
    """The dispatcher gave a waiting attempt up; it was not run."""

    rid: str
    attempt: int
    cell: str
    reason: str
    retry_after_s: float = 0.0
    detail: str = ""


@_message
class NotDispatcher:
    """The receiver does not own the cell in its own view."""

    cell: str
    rid: str = ""


@_message
class ReregisterAsk:
    """The dispatcher asks a door for all it holds in a cell."""

    cell: str


@_message
class CrashSeen:
    """An engine crashed while these requests ran on it.

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
    """A door asks a slot's owner for a claim, or only to ``look``."""

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
    ``too_old``, ``too_new`` (dated ahead), ``unavailable``, for a look
    ``absent``. For a duplicate: the host and request that hold the
    claim and the outcome as far as the ledger knows it.
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
    """A door reports how its claimed request ended."""

    rid: str
    slot: int
    key: str
    outcome: str


# Answers that another host holds.

@_message
class ReplayAsk:
    """Ask the host that holds a request's answer for its events.

    ``after`` is the number of the last event the caller has;
    ``proof`` shows that the same caller asks.
    """

    rid: str
    ask: str
    after: int
    proof: str = ""


@_message
class ReplayChunk:
    """Part of a held answer.

    ``status`` is ``more``, ``end``, ``unknown`` (not held here) or
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
    """What is said of one entry host.

    ``status`` is ``alive``, ``suspect``, ``dead`` or ``leaving``;
    ``load`` is the share of the door's capacity in use, 0 to 1.
    ``refutations`` counts how often the host itself denied, within one
    incarnation, that it was suspect or dead: the newer count wins. An
    empty ``address`` means that address and labels are left out.
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
    """Liveness probe; ``updates`` are disseminated along with it."""

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


# Settings.

@_message
class SettingsAsk:
    """Ask a peer for what leads from ``have`` to its generation."""

    have: int


@_message
class SettingsAnswer:
    """A peer's generation, with the stored objects that lead there.

    ``head`` is the stored head object; ``deltas`` are the stored delta
    objects from ``base`` + 1 on, in order; empty when too far behind,
    then the parts that the head names are asked for one by one.
    """

    generation: int
    base: int = 0
    head: bytes = b""
    deltas: tuple[bytes, ...] = ()


@_message
class PartAsk:
    """Ask a peer for one content-addressed part."""

    digest: str


@_message
class PartAnswer:
    """One content-addressed part; empty ``data``: not held here."""

    digest: str
    data: bytes = b""


# Host list.

@_message
class Backend:
    """A backend server as the host list has it.

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
    """Ask a peer for the host list when the platform can't be read."""

    have: int


@_message
class HostListNews:
    """Backend servers that the sender saw leaving in the host list.

    ``at`` is the list's own position, to order news. ``backends`` is
    the whole list, only in an answer to :class:`HostListAsk`.
    """

    at: int
    leaving: tuple[str, ...] = ()
    backends: tuple[Backend, ...] = ()


Message = (
    Enqueue | Withdraw | Reregister | Progressed | Released | Grant
    | Refusal | NotDispatcher | ReregisterAsk | CrashSeen | ClaimAsk
    | ClaimAnswer | ClaimSettle | ReplayAsk | ReplayChunk | Probe
    | ProbeAck | ProbeVia | SettingsAsk | SettingsAnswer | PartAsk
    | PartAnswer | HostListAsk | HostListNews
)
