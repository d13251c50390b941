"""Effects of a candidate, which its runtime carries out."""

import dataclasses

__all__ = ["ReadLease", "Record", "WriteLease"]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease object; answered by ``LeaseRead``."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLease:
    """Update the object if at ``version``. Never repeated.

    A version whose number (core.revisions) is 0 creates the object.
    """

    nonce: str
    number: int
    body: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Record an event; ``fields`` holds (name, value) pairs."""

    kind: str
    fields: tuple[tuple[str, str | int | float | bool], ...] = ()
