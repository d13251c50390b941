"""State of the door: every request that this entry host holds."""

import collections
import dataclasses
import enum

from crocuskeel import conf
from crocuskeel.core import events
from crocuskeel.core import problems

__all__ = ["Business", "Budget", "DoorState", "Kept", "Look", "Relay",
           "Request", "Source", "Stage", "new_state"]


class Stage(enum.StrEnum):
    """Where a request is on its path.

    WAITING: queued with a dispatcher. CLAIMING: holds a slot and waits
    for its claim. RUNNING: an attempt is open. RESUMING: the attempt's
    connection broke and its stream is about to be asked for again.
    """

    WAITING = "waiting"
    CLAIMING = "claiming"
    RUNNING = "running"
    RESUMING = "resuming"


@dataclasses.dataclass(slots=True)
class Request:
    """One admitted request, from arrival to its final answer.

    ``policy`` is that of the generation at arrival and never changes.
    ``attempt`` numbers the entries with dispatchers, ``opened_attempts``
    counts those sent to a backend server. ``outcome`` is what is known
    of all attempts so far, ``earlier`` the same without the open one.
    ``engine`` names the held slot, empty for none. ``watchers`` are
    callers' requests that are answered with this one's answer.
    ``model`` replaces the body's model, empty for none.
    """

    arrival: events.RequestArrived
    caller: conf.CallerIdentity
    policy: conf.ClassPolicy
    repeatable: bool
    cell: str
    arrived_at: float
    deadline_at: float
    model: str = ""
    attempt: int = 1
    stage: Stage = Stage.WAITING
    engine: str = ""
    alone: bool = False
    granted_at: float = 0.0
    opened_attempts: int = 0
    opened: bool = False
    ttft_s: float = 0.0
    tokens: int = 0
    forwarded: int = 0
    resumes: int = 0
    given_back: int = 0
    lost_end: str = ""
    avoid: tuple[str, ...] = ()
    outcome: problems.Outcome = problems.Outcome.NOT_RUN
    earlier: problems.Outcome = problems.Outcome.NOT_RUN
    claim_asked: bool = False
    claimed: bool = False
    claim_until: float = 0.0
    caller_gone: bool = False
    watchers: set[str] = dataclasses.field(default_factory=set)

    @property
    def rid(self):
        """The request's id."""
        return self.arrival.rid

    @property
    def scope(self):
        """What an Idempotency-Key is unique in, with the key."""
        return (self.caller.workspace, self.caller.caller,
                self.arrival.idempotency_key)


@dataclasses.dataclass(slots=True)
class Look:
    """A refusal held back until the ledger was asked for its key.

    ``rids`` are the callers' requests that get it, ``key`` the ledger's
    key, ``problem`` what is said if nobody holds the key.
    """

    rid: str
    rids: list[str]
    key: str
    class_name: str
    problem: problems.Problem
    location: str = ""


class Source(enum.StrEnum):
    """Where a relayed answer comes from."""

    HERE = "here"
    PEER = "peer"
    ENGINE = "engine"


@dataclasses.dataclass(slots=True)
class Relay:
    """A caller's request answered with an answer that exists already.

    ``held`` is the request whose answer it is. ``resume`` is set for a
    caller's resume, which may go on at the engine; ``outcome`` is what
    to say when a resend's answer can't be had.
    """

    rid: str
    held: str
    resume: events.ResumeArrived | None = None
    outcome: problems.Outcome = problems.Outcome.UNKNOWN
    source: Source = Source.HERE
    tries: int = 0

    @property
    def attempt(self):
        """The attempt number that its end is reported under."""
        return self.resume.attempt if self.source is Source.ENGINE else 0

    @property
    def after(self):
        """The number of the last event that the caller has."""
        return self.resume.after if self.resume else 0


@dataclasses.dataclass(slots=True)
class Business:
    """What this host has in one cell.

    ``unsettled_at`` is since when no dispatcher can be reached, None
    while one can. ``progress`` is not reported yet.
    """

    dispatcher: str
    waiting: dict[str, None] = dataclasses.field(default_factory=dict)
    slots: dict[str, None] = dataclasses.field(default_factory=dict)
    progress: dict[str, int] = dataclasses.field(default_factory=dict)
    unsettled_at: float | None = None
    next_try: float = 0.0
    alone_grants: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """An ended request whose answer or outcome is kept for resends."""

    rid: str
    workspace: str
    caller: str
    key: str
    digest: str
    done: bool
    outcome: problems.Outcome
    until: float


@dataclasses.dataclass(slots=True)
class Budget:
    """Retries that a class may still make."""

    tokens: float


@dataclasses.dataclass(slots=True)
class DoorState:
    """All requests by rid, and what finds them.

    ``keys`` maps the scope of an Idempotency-Key to a rid in
    ``requests`` or ``kept``. ``abandoned`` maps a rid to the claim key
    that it gave up before running. ``looks`` are refusals on their way,
    by rid. ``down`` holds unreachable hosts.
    """

    requests: dict[str, Request] = dataclasses.field(
        default_factory=dict)
    relays: dict[str, Relay] = dataclasses.field(default_factory=dict)
    cells: dict[str, Business] = dataclasses.field(default_factory=dict)
    keys: dict[tuple, str] = dataclasses.field(default_factory=dict)
    kept: collections.OrderedDict[str, Kept] = dataclasses.field(
        default_factory=collections.OrderedDict)
    abandoned: collections.OrderedDict[str, str] = dataclasses.field(
        default_factory=collections.OrderedDict)
    budgets: collections.OrderedDict[str, Budget] = dataclasses.field(
        default_factory=collections.OrderedDict)
    looks: dict[str, Look] = dataclasses.field(default_factory=dict)
    down: set[str] = dataclasses.field(default_factory=set)
    live: tuple[str, ...] = ()
    changed_at: float = 0.0
    drain_at: float | None = None
    exited: bool = False


def new_state():
    """Return the state of a door without requests."""
    return DoorState()
