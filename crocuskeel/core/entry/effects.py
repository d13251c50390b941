"""Everything that an entry host may do, as data for the runtime."""

import dataclasses

from crocuskeel.core.entry import model

__all__ = ["Answer", "Cancel", "Cut", "Exit", "FetchCatalog", "Note",
           "PassOn", "Retire", "Send", "SendDuty", "Tell",
           "TellLoads", "Timer"]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a server, as attempt ``turn``.

    ``budget_s`` is the time left that is passed on; ``resume``: go on
    after the last event that the caller has. ``fetch_from`` is the address
    of an engine that holds shared parts of the prompt, or None.
    """

    key: int
    turn: int
    server: model.Server
    budget_s: float
    priority: int
    workspace: str
    stream: bool
    resume: bool = False
    fetch_from: tuple | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """End an attempt at once, so that its server stops work."""

    key: int
    turn: int


@dataclasses.dataclass(frozen=True, slots=True)
class PassOn:
    """Let the caller have the answer of this attempt."""

    key: int
    turn: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer the caller from here; this is final.

    ``retry_s`` tells when to come back, if the request has not run.
    """

    key: int
    status: int
    reason: str
    retry_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Break the caller's stream off so that it can't look complete."""

    key: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """Feed TimerFired at ``at``, in place of any earlier timer."""

    key: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TellLoads:
    """Feed LoadsDue at this time."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """Send this host's state to a peer by datagram."""

    peer: model.Peer
    event: object


@dataclasses.dataclass(frozen=True, slots=True)
class FetchCatalog:
    """Read the configuration from a peer that has a newer one."""

    peer: model.Peer


@dataclasses.dataclass(frozen=True, slots=True)
class Retire:
    """Take no more connections; close the idle ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """End the process."""


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """One line of the log: an event's name and its inputs."""

    event: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class SendDuty:
    """Make a call of a duty: a Report or an Order of the duties.

    ``fence`` is the holder's number. The call must neither begin nor go
    on at ``until``, when another host may hold the duty.
    """

    call: object
    fence: int
    until: float
