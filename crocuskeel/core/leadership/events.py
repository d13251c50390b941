"""Events about the lease object that a candidate handles."""

import dataclasses
import enum

__all__ = ["LeaseRead", "LeaseWritten", "Status"]


class Status(enum.StrEnum):
    """Results of calls to the store.

    UNAVAILABLE: the call is known not to have taken effect. UNKNOWN: the
    write may have taken effect, or may do so later.
    """

    FOUND = "found"
    NOT_FOUND = "not_found"
    WRITTEN = "written"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRead:
    """The response to ``ReadLease``; the version has the store's era."""

    status: Status
    version: int = 0
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWritten:
    """The response to the ``WriteLease`` of that nonce and number."""

    nonce: str
    number: int
    status: Status
    version: int = 0
