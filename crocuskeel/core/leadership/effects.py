"""What a candidate asks of its runtime."""

import dataclasses

__all__ = ["ReadLease", "Record", "WriteLease"]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease object; answered by ``LeaseRead``."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLease:
    """Conditional update; ``version`` 0 creates. Never repeated."""

    nonce: str
    number: int
    body: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One event of the time line; ``fields`` are names and values."""

    kind: str
    fields: tuple[tuple[str, str | int | float | bool], ...] = ()
