"""An operator's batch: from its JSON to the answer."""

import dataclasses
import math
import typing

from crocuskeel.conf import batches
from crocuskeel.conf import commit
from crocuskeel.ops import exceptions

__all__ = ["Accepted", "ConflictLine", "FaultLine", "Rejected", "answer",
           "new_batch"]

MAX_EDITS = 10_000
_line = dataclasses.dataclass(frozen=True, slots=True)


@_line
class Accepted:
    """The batch is in the settings as ``generation``."""

    generation: int
    batch_id: str


@_line
class ConflictLine:
    """Two edits of one value, both in their JSON form.

    ``theirs`` was accepted as ``generation`` by ``author``; ``at`` is
    that author's Unix time.
    """

    ours: dict[str, typing.Any]
    theirs: dict[str, typing.Any]
    generation: int
    author: str
    at: float


@_line
class FaultLine:
    """A fault that the batch would make."""

    id: str
    path: tuple[str, ...]
    fault: str
    hint: str


@_line
class Rejected:
    """The batch was not accepted.

    ``reason`` and ``outcome`` are values of ``conf.commit``'s enums.
    """

    batch_id: str
    reason: str
    outcome: str
    detail: str
    conflicts: tuple[ConflictLine, ...]
    faults: tuple[FaultLine, ...]


def new_batch(body, author):
    """Return the batch of a JSON body; raises :class:`BadQuery`.

    The body has ``base_generation``, ``at`` (the operator's Unix time)
    and ``edits`` (``{"path": [...], "value": ...}`` or
    ``{"path": [...], "remove": true}``). Its id comes from these and
    the author, so that the same body sent again, to any host, is the
    same batch and is never done twice. Whoever sends it again after a
    lost answer adds ``"resent": true``.
    """
    if not isinstance(body, dict):
        raise exceptions.BadQuery("batch: not an object")
    try:
        edits = tuple(_edit(each) for each in body["edits"])
        at = float(body["at"])
        base = body["base_generation"]
    except (KeyError, TypeError, ValueError) as exc:
        raise exceptions.BadQuery(f"batch: {exc!r}") from exc
    if not math.isfinite(at) or type(base) is not int or base < 0:
        raise exceptions.BadQuery("batch: bad at or base_generation")
    if not 0 < len(edits) <= MAX_EDITS:
        raise exceptions.BadQuery(
            f"a batch has 1 to {MAX_EDITS} edits, this one {len(edits)}")
    return batches.new_batch(author, at, base, edits)


def _edit(body):
    path = body["path"]
    if not isinstance(path, list) or not path:
        raise TypeError("a path is a list of names")
    if not all(isinstance(step, str) for step in path):
        raise TypeError(f"a path is a list of names: {path!r}")
    return batches.decode_edit(body)


def answer(batch, ended):
    """Return what an operator is told of an ended commit."""
    if isinstance(ended, commit.Done):
        return Accepted(ended.generation, batch.id)
    return Rejected(
        batch.id, ended.reason.value, ended.outcome.value, ended.detail,
        tuple(_conflict(each) for each in ended.conflicts),
        tuple(FaultLine(each.id, each.path, each.fault, each.hint)
              for each in ended.faults))


def _conflict(conflict):
    return ConflictLine(
        batches.encode_edit(conflict.ours),
        batches.encode_edit(conflict.theirs),
        conflict.generation, conflict.author, conflict.at)
