"""State of the entry host: all requests that it handles."""

import collections
import dataclasses
import enum

from crocuskeel import conf
from crocuskeel.core import events
from crocuskeel.core import problems

__all__ = ["CellState", "ClaimLookup", "EndedRequest", "FrontendState",
           "Relay", "RelaySource", "Request", "RetryBudget", "Stage",
           "new_state"]


class Stage(enum.StrEnum):
    """The processing stage of a request.

    WAITING: queued at a dispatcher. CLAIMING: holds a slot and waits
    for its claim. RUNNING: an attempt is open. RESUMING: the attempt's
    connection was lost and its stream is about to be resumed.
    """

    WAITING = "waiting"
    CLAIMING = "claiming"
    RUNNING = "running"
    RESUMING = "resuming"


@dataclasses.dataclass(slots=True)
class Request:
    """One admitted request, from arrival to its final answer.

    ``policy`` is that of the generation at arrival and never changes.
    ``attempt`` counts the attempts enqueued at dispatchers,
    ``opened_attempts`` those sent to a backend server. ``outcome`` is
    the combined outcome of all attempts so far, ``earlier_outcome`` the
    same without the open attempt. ``engine`` is the engine whose slot
    the request holds, empty for none. ``watchers`` are the rids of
    callers' requests that get this request's answer. ``model`` replaces
    the body's model, empty to leave it.
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
    answer_started: bool = False
    ttft_s: float = 0.0
    tokens: int = 0
    forwarded: int = 0
    resumes: int = 0
    returned_grants: int = 0
    first_lost_end: str = ""
    avoid: tuple[str, ...] = ()
    outcome: problems.Outcome = problems.Outcome.NOT_RUN
    earlier_outcome: problems.Outcome = problems.Outcome.NOT_RUN
    claim_requested: bool = False
    claimed: bool = False
    claim_expires_at: float = 0.0
    caller_gone: bool = False
    watchers: set[str] = dataclasses.field(default_factory=set)

    @property
    def rid(self):
        """The request's id."""
        return self.arrival.rid

    @property
    def scope(self):
        """The Idempotency-Key with the workspace and caller it belongs to."""
        return (self.caller.workspace, self.caller.caller,
                self.arrival.idempotency_key)


@dataclasses.dataclass(slots=True)
class ClaimLookup:
    """A refusal that is delayed until the ledger lookup of its key.

    ``rids`` are the callers' requests to be refused, ``key`` is the
    ledger key, ``problem`` the refusal to send if the key is unclaimed.
    """

    rid: str
    rids: list[str]
    key: str
    class_name: str
    problem: problems.Problem
    location: str = ""


class RelaySource(enum.StrEnum):
    """The source of a relayed answer."""

    LOCAL = "here"
    PEER = "peer"
    ENGINE = "engine"


@dataclasses.dataclass(slots=True)
class Relay:
    """A caller's request that gets the answer of another request.

    ``original_rid`` is the request that produces the answer. ``resume``
    is set for a resumed stream, which may continue at the engine.
    ``outcome`` is reported if the answer to a resend is unavailable.
    """

    rid: str
    original_rid: str
    resume: events.ResumeArrived | None = None
    outcome: problems.Outcome = problems.Outcome.UNKNOWN
    source: RelaySource = RelaySource.LOCAL
    resumes: int = 0

    @property
    def attempt(self):
        """The attempt number in the event that reports its end."""
        return self.resume.attempt if self.source is RelaySource.ENGINE else 0

    @property
    def after(self):
        """The number of the last event that the caller received."""
        return self.resume.after if self.resume else 0


@dataclasses.dataclass(slots=True)
class CellState:
    """This host's requests in one cell.

    ``unreachable_since`` is when the dispatcher became unreachable, None
    while it is reachable. ``unreported_tokens`` holds the token counts
    not yet reported to the dispatcher.
    """

    dispatcher: str
    waiting: dict[str, None] = dataclasses.field(default_factory=dict)
    slots: dict[str, None] = dataclasses.field(default_factory=dict)
    unreported_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    unreachable_since: float | None = None
    next_reregister_at: float = 0.0
    local_grants: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRequest:
    """An ended request whose answer or outcome is retained for resends."""

    rid: str
    workspace: str
    caller: str
    key: str
    digest: str
    has_answer: bool
    outcome: problems.Outcome
    expires_at: float


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """The number of retries that a class may still make."""

    tokens: float


@dataclasses.dataclass(slots=True)
class FrontendState:
    """All requests by rid, with their indexes.

    ``rids_by_key`` maps the scope of an Idempotency-Key to a rid in
    ``requests`` or ``ended_requests``. ``abandoned_claims`` maps a rid to the
    claim key that it abandoned before running. ``lookups`` holds the
    refusals waiting for a ledger lookup, by rid.
    """

    requests: dict[str, Request] = dataclasses.field(
        default_factory=dict)
    relays: dict[str, Relay] = dataclasses.field(default_factory=dict)
    cells: dict[str, CellState] = dataclasses.field(default_factory=dict)
    rids_by_key: dict[tuple, str] = dataclasses.field(default_factory=dict)
    ended_requests: collections.OrderedDict[
        str, EndedRequest] = dataclasses.field(
            default_factory=collections.OrderedDict)
    abandoned_claims: collections.OrderedDict[str, str] = dataclasses.field(
        default_factory=collections.OrderedDict)
    retry_budgets: collections.OrderedDict[
        str, RetryBudget] = dataclasses.field(
            default_factory=collections.OrderedDict)
    lookups: dict[str, ClaimLookup] = dataclasses.field(default_factory=dict)
    unreachable_hosts: set[str] = dataclasses.field(default_factory=set)
    live_hosts: tuple[str, ...] = ()
    membership_changed_at: float = 0.0
    drain_started_at: float | None = None
    exited: bool = False


def new_state():
    """Return an empty state."""
    return FrontendState()
