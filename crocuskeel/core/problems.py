"""Refusal codes and outcomes that callers see (RFC 9457 problem details).

Every refusal names one :class:`Reason`; ``PROBLEM_TYPES`` gives its HTTP
status and title.
"""

import dataclasses
import enum

__all__ = ["Outcome", "PROBLEM_TYPES", "Problem", "Reason", "new_problem"]


class Outcome(enum.StrEnum):
    """What is known about whether a request ran on a backend server."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Stable codes; part of the public API, never renamed."""

    UNAUTHORIZED = "unauthorized"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_CLASS = "unknown_class"
    KEY_REQUIRED = "key_required"
    KEY_MISMATCH = "key_mismatch"
    KEY_TOO_OLD = "key_too_old"
    OVERLOAD = "overload"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_BACKEND = "no_backend"
    QUARANTINED = "quarantined"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    DUPLICATE = "duplicate"
    BACKEND_LOST = "backend_lost"
    BACKEND_FAILED = "backend_failed"
    STREAM_UNKNOWN = "stream_unknown"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    SETTINGS_STALE = "settings_stale"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class ProblemType:
    """The HTTP status and title of a reason."""

    status: int
    title: str


PROBLEM_TYPES = {
    Reason.UNAUTHORIZED: ProblemType(401, "The bearer token is not known"),
    Reason.BAD_REQUEST: ProblemType(400, "The request can't be understood"),
    Reason.TOO_LARGE: ProblemType(413, "The request is over its size limit"),
    Reason.UNKNOWN_CLASS: ProblemType(404, "No such class in this workspace"),
    Reason.KEY_REQUIRED: ProblemType(
        400, "A non-repeatable request needs an Idempotency-Key"),
    Reason.KEY_MISMATCH: ProblemType(
        422, "This Idempotency-Key named another request"),
    Reason.KEY_TOO_OLD: ProblemType(
        409, "This Idempotency-Key is older than the kept span"),
    Reason.OVERLOAD: ProblemType(503, "No capacity is left for this tier"),
    Reason.QUEUE_FULL: ProblemType(429, "The queue of this class is full"),
    Reason.DEADLINE: ProblemType(504, "The deadline can't be met"),
    Reason.NO_BACKEND: ProblemType(503, "No backend server can take this"),
    Reason.QUARANTINED: ProblemType(
        422, "This request crashed backend servers and is quarantined"),
    Reason.CLAIM_UNAVAILABLE: ProblemType(
        503, "The claim for this request can't be recorded now"),
    Reason.DUPLICATE: ProblemType(409, "This request was already taken"),
    Reason.BACKEND_LOST: ProblemType(502, "The backend server was lost"),
    Reason.BACKEND_FAILED: ProblemType(502, "The backend server failed"),
    Reason.STREAM_UNKNOWN: ProblemType(404, "No such stream for this caller"),
    Reason.NOT_READY: ProblemType(503, "This host has no settings yet"),
    Reason.LEAVING: ProblemType(503, "This host is leaving"),
    Reason.SETTINGS_STALE: ProblemType(
        503, "This host has heard no settings for too long"),
    Reason.INTERNAL: ProblemType(500, "This host failed on the request"),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One refusal or failure as a caller sees it.

    ``retry_after_s`` is the time until a retry in seconds, 0 for none.
    """

    reason: Reason
    outcome: Outcome
    detail: str = ""
    retry_after_s: float = 0.0


def new_problem(reason, outcome=Outcome.NOT_RUN, detail="",
                retry_after_s=0.0):
    """Build a :class:`Problem`."""
    return Problem(reason, outcome, detail, retry_after_s)
