"""Results of Object API and host list calls, as data."""

import dataclasses

__all__ = [
    "Conflict", "Found", "HostEntry", "HostList", "HttpResponse", "NotFound",
    "ObjectList", "ObjectRef", "ReadResult", "Rejected", "Unavailable",
    "Unchanged", "WriteResult", "WriteUnknown", "Written",
]

_result = dataclasses.dataclass(frozen=True, slots=True)


@_result
class HttpResponse:
    """An HTTP response; the keys of ``headers`` are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@_result
class Found:
    """An object and its version."""

    version: int
    body: bytes


@_result
class NotFound:
    """The object does not exist."""


@_result
class Unchanged:
    """A watch ended without a change; the object has ``version``."""

    version: int


@_result
class Written:
    """The write took effect; ``version`` is the new one, 0 if deleted."""

    version: int


@_result
class Conflict:
    """The condition on the version failed; nothing was written."""


@_result
class WriteUnknown:
    """The write may have taken effect, or may do so later.

    Reading the old version proves nothing, since the write may still be
    in flight; only a newer version settles the outcome.
    """

    reason: str


@_result
class Unavailable:
    """The call had no effect; retry after ``retry_after_s``.

    ``reason`` is ``not_sent``, ``circuit_open``, ``budget_spent``,
    ``in_flight``, ``busy``, or for reads also ``lost``, ``server_error``,
    ``bad_answer`` and ``cancelled``.
    """

    reason: str
    retry_after_s: float = 0.0


@_result
class Rejected:
    """Permanently refused (bad token, too large); a retry can't succeed."""

    status: int


@_result
class ObjectRef:
    """An object in a listing."""

    path: str
    version: int


@_result
class ObjectList:
    """The objects under a prefix."""

    objects: tuple[ObjectRef, ...]


@_result
class HostEntry:
    """A host in the host list.

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
    """The host list as of ``revision``.

    ``fault_count`` entries that can't be used were left out; ``faults`` says
    why, for some of them.
    """

    revision: int
    hosts: tuple[HostEntry, ...]
    fault_count: int = 0
    faults: tuple[str, ...] = ()


ReadResult = (
    Found | NotFound | Unchanged | ObjectList | HostList | Unavailable
    | Rejected
)
WriteResult = (
    Written | NotFound | Conflict | WriteUnknown | Unavailable | Rejected
)
