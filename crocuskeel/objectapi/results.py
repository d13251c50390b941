"""Results of Object API and host list calls, as data."""

import dataclasses

__all__ = [
    "Conflict", "Found", "HostEntry", "HostList", "HttpAnswer", "Listed",
    "NotFound", "ObjectRef", "ReadResult", "Rejected", "Unavailable",
    "Unchanged", "WriteResult", "WriteUnknown", "Written",
]

_result = dataclasses.dataclass(frozen=True, slots=True)


@_result
class HttpAnswer:
    """What the transport got; ``headers`` keys are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@_result
class Found:
    """An object and the version it has."""

    version: int
    body: bytes


@_result
class NotFound:
    """There is no such object."""


@_result
class Unchanged:
    """A watch ended; the object still has ``version``."""

    version: int


@_result
class Written:
    """The write took effect; ``version`` is the new one, 0 if gone."""

    version: int


@_result
class Conflict:
    """The condition on the version failed; nothing was written."""


@_result
class WriteUnknown:
    """The write may have taken effect, or may do so later.

    A read that shows the old version settles nothing, for the write may
    still be on its way: only a version that moved on does.
    """

    reason: str


@_result
class Unavailable:
    """Known not to have happened; come back after ``retry_after_s``.

    ``reason`` is ``not_sent``, ``circuit_open``, ``budget_spent``,
    ``in_flight``, ``busy``, or for reads also ``lost``, ``server_error``,
    ``bad_answer`` and ``cancelled``.
    """

    reason: str
    retry_after_s: float = 0.0


@_result
class Rejected:
    """Refused for good (bad token, too large): a repeat won't help."""

    status: int


@_result
class ObjectRef:
    """One object of a listing."""

    path: str
    version: int


@_result
class Listed:
    """The objects under a prefix."""

    objects: tuple[ObjectRef, ...]


@_result
class HostEntry:
    """One host of the host list.

    ``role`` is ``entry``, ``engine`` or ``service``; ``state`` is
    ``live`` or ``leaving``.
    """

    name: str
    address: str
    port: int
    domain: str
    region: str
    role: str
    service: str
    state: str


@_result
class HostList:
    """The host list at its own position ``at``."""

    at: int
    hosts: tuple[HostEntry, ...]


ReadResult = (
    Found | NotFound | Unchanged | Listed | HostList | Unavailable
    | Rejected
)
WriteResult = (
    Written | NotFound | Conflict | WriteUnknown | Unavailable | Rejected
)
