"""Parses an operator's batch and builds the response to its commit."""

import dataclasses
import math
import typing

from crocuskeel.conf import batches
from crocuskeel.conf import commit
from crocuskeel.ops import exceptions

__all__ = ["Accepted", "ConflictDetail", "Rejected",
           "ValidationError", "new_batch", "new_response"]

MAX_EDITS = 10_000
_frozen = dataclasses.dataclass(frozen=True, slots=True)


@_frozen
class Accepted:
    """The batch was committed as ``generation``."""

    generation: int
    batch_id: str


@_frozen
class ConflictDetail:
    """Two conflicting edits of one value, both in their JSON form.

    ``theirs`` was committed by ``author`` as ``generation``; ``at`` is
    the Unix time by that author's clock.
    """

    ours: dict[str, typing.Any]
    theirs: dict[str, typing.Any]
    generation: int
    author: str
    at: float


@_frozen
class ValidationError:
    """A validation error that the batch would cause."""

    id: str
    path: tuple[str, ...]
    fault: str
    hint: str


@_frozen
class Rejected:
    """The batch was not accepted.

    ``reason`` and ``outcome`` are values of ``conf.commit``'s enums.
    """

    batch_id: str
    reason: str
    outcome: str
    detail: str
    conflicts: tuple[ConflictDetail, ...]
    faults: tuple[ValidationError, ...]


def new_batch(body, author):
    """Parse a JSON body into a batch; raise :class:`InvalidQueryError`.

    The body has ``base_generation``, ``at`` (the operator's Unix time)
    and ``edits`` (``{"path": [...], "value": ...}`` or
    ``{"path": [...], "remove": true}``). The batch ID is derived from
    these and the author, so that the same body sent again, to any host,
    is the same batch and is committed at most once. A client that sends
    the body again after a lost response adds ``"resent": true``.
    """
    if not isinstance(body, dict):
        raise exceptions.InvalidQueryError("batch: not a JSON object")
    try:
        edits = tuple(_edit(each) for each in body["edits"])
        at = float(body["at"])
        base = body["base_generation"]
    except (KeyError, TypeError, ValueError) as exc:
        raise exceptions.InvalidQueryError(f"batch: {exc!r}") from exc
    if not math.isfinite(at) or type(base) is not int or base < 0:
        raise exceptions.InvalidQueryError(
            "batch: invalid at or base_generation")
    if not 0 < len(edits) <= MAX_EDITS:
        raise exceptions.InvalidQueryError(
            f"a batch has 1 to {MAX_EDITS} edits, this one has {len(edits)}")
    return batches.new_batch(author, at, base, edits)


def _edit(body):
    path = body["path"]
    if not isinstance(path, list) or not path:
        raise TypeError("a path is a list of names")
    if not all(isinstance(step, str) for step in path):
        raise TypeError(f"a path is a list of names: {path!r}")
    return batches.decode_edit(body)


def new_response(batch, result):
    """Return the response to an operator for a finished commit."""
    if isinstance(result, commit.Committed):
        return Accepted(result.generation, batch.id)
    return Rejected(
        batch.id, result.reason.value, result.outcome.value, result.detail,
        tuple(_conflict(each) for each in result.conflicts),
        tuple(ValidationError(each.id, each.path, each.message, each.hint)
              for each in result.faults))


def _conflict(conflict):
    return ConflictDetail(
        batches.encode_edit(conflict.ours),
        batches.encode_edit(conflict.theirs),
        conflict.generation, conflict.author, conflict.created_at)
