"""What a candidate hears of the lease object."""

import dataclasses
import enum

__all__ = ["LeaseRead", "LeaseWritten", "Status"]


class Status(enum.StrEnum):
    """Results of calls to the store.

    UNAVAILABLE: known not to have happened. UNKNOWN: a write that may
    have taken effect, or may do so later.
    """

    FOUND = "found"
    NOT_FOUND = "not_found"
    WRITTEN = "written"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRead:
    """The answer to ``ReadLease``."""

    status: Status
    version: int = 0
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWritten:
    """The answer to the ``WriteLease`` of that nonce and number."""

    nonce: str
    number: int
    status: Status
    version: int = 0
