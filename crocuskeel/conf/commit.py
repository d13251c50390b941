"""Committing a batch: a pure reducer over the store's answers.

The promises, with the failures that threaten them:

* At most once. A head write is conditional on the version that was read,
  so of all writes on one version only one takes effect, however late. The
  answer to it can be lost after it took effect; then the head is read
  back, and a head that holds the batch's id ends the commit.
* Nothing accepted is lost. A head is built only from the tree of the head
  it replaces, brought there through every delta in between.
* A retry that comes too late is not applied again. The head remembers a
  bounded number of batches. A batch made on generation g can only have
  been accepted after g, so its id is sure to be found while the window
  reaches back to g + 1; after that its outcome is unknown and it is
  refused.

Callers do the I/O, with their own time limits and back-off, and feed each
answer to ``commit_step``. An operation must be sent to the store once: a
client that repeats a head write by itself would take its own success for
a lost race.
"""

import dataclasses
import enum
from typing import TypeAlias

from crocuskeel.conf import batches
from crocuskeel.conf import exceptions
from crocuskeel.conf import merging
from crocuskeel.conf import model
from crocuskeel.conf import storage

MAX_ROUNDS = 32
# An earlier attempt's write, on a head that this one has not read yet.
ANY_HEAD = -1


# Operations on the store.


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head and its version; answered by ``HeadRead``."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPart:
    """Read one part; answered by ``PartRead``."""

    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteParts:
    """Create these parts where absent; answered by ``PartsWritten``."""

    parts: tuple[model.Part, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHead:
    """Update the head if it still has ``version``; None: if absent.

    Answered by ``HeadWritten``, ``HeadMoved`` or ``OutcomeUnknown``.
    """

    head: storage.Head
    version: int | str | None


# Answers of the store.


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The head and its version; both None where there is none yet."""

    head: storage.Head | None
    version: int | str | None


@dataclasses.dataclass(frozen=True, slots=True)
class PartRead:
    """A part that was asked for."""

    part: model.Part


@dataclasses.dataclass(frozen=True, slots=True)
class PartsWritten:
    """All parts of ``WriteParts`` are stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWritten:
    """The head was updated."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadMoved:
    """The head had another version and was not updated."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The answer was lost; a write may have taken effect or may yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """The operation is known to have had no effect."""


# Ends of a commit.


class Reason(enum.Enum):
    """Why a batch was refused."""

    CONFLICT = 'conflict'
    FAULTS = 'faults'
    OUTSIDE_WINDOW = 'outside_window'
    UNKNOWN_BASE = 'unknown_base'
    TREE_BEHIND = 'tree_behind'
    STORE_UNAVAILABLE = 'store_unavailable'
    CORRUPT = 'corrupt'


class Outcome(enum.Enum):
    """What a refusal says of the batch's effect."""

    NOT_APPLIED = 'not_applied'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The batch is accepted as ``generation``.

    ``tree`` is that generation where this commit wrote it, else None: it
    was found to be done already.
    """

    generation: int
    tree: model.Tree | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The batch was not accepted now.

    ``UNKNOWN``: it may have been accepted earlier, or a write that is
    still under way may yet be; the same batch may be sent again.
    """

    reason: Reason
    outcome: Outcome
    conflicts: tuple[merging.Conflict, ...] = ()
    faults: tuple[model.SettingsFault, ...] = ()
    detail: str = ''


Operation: TypeAlias = ReadHead | ReadPart | WriteParts | WriteHead
Answer: TypeAlias = (
    HeadRead | PartRead | PartsWritten | HeadWritten | HeadMoved
    | OutcomeUnknown | StoreFailed)
Step: TypeAlias = Operation | Done | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """State of one commit.

    ``tree`` is the newest generation at hand and moves along ``head``.
    ``history`` holds the generations known since the batch's base.
    ``pending`` is the generation of the newest head on which a write of
    this batch may yet take effect; None if there is no such write.
    ``rounds`` counts down the failures that are left.
    """

    batch: batches.Batch
    tree: model.Tree
    waiting: Operation
    rounds: int
    head: storage.Head | None = None
    version: int | str | None = None
    history: tuple[merging.Accepted, ...] = ()
    prepared: storage.Prepared | None = None
    pending: int | None = None


Move: TypeAlias = tuple[Commit, Step]


def new_commit(
    batch: batches.Batch,
    tree: model.Tree,
    *,
    resent: bool,
    rounds: int = MAX_ROUNDS,
) -> tuple[Commit, Operation]:
    """Return a commit of ``batch`` by a host that holds ``tree``.

    ``resent`` must be True if any host may have begun to commit this
    batch before: a write of that attempt may still be under way, so that
    "not applied" can't be said before the head has moved on. ``rounds``
    bounds failed answers and lost races together.
    """
    first = ReadHead()
    pending = ANY_HEAD if resent else None
    return Commit(batch, tree, first, rounds, pending=pending), first


def _ask(state: Commit, operation: Operation) -> Move:
    return dataclasses.replace(state, waiting=operation), operation


def _refuse(state: Commit, reason: Reason, **details) -> Move:
    # An attempt on this head, or on one before, would have met the same
    # conflict, so none has a write under way that can still succeed.
    settled = state.pending is None or reason is Reason.CONFLICT
    unknown = not settled or reason is Reason.OUTSIDE_WINDOW
    outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_APPLIED
    return state, Refused(reason, outcome, **details)


def _try_again(state: Commit, operation: Operation) -> Move:
    if not state.rounds:
        return _refuse(state, Reason.STORE_UNAVAILABLE)
    left = dataclasses.replace(state, rounds=state.rounds - 1)
    return _ask(left, operation)


def _generation(head: storage.Head | None) -> int:
    return head.generation if head else 0


def _oldest(head: storage.Head | None) -> int:
    return head.recent[0].generation if head else 1


def _done_before(state: Commit) -> int | None:
    for entry in state.head.recent if state.head else ():
        if entry.batch_id == state.batch.id:
            return entry.generation
    return None


def _still_pending(state: Commit, newest: int) -> int | None:
    # A write whose answer was lost can take effect late. Once the head
    # has a newer generation, from another batch, it can't any more, as
    # its version is gone. A read that shows the same head, or an older
    # one, proves nothing.
    if state.pending == ANY_HEAD:
        return newest
    if state.pending is None or newest > state.pending:
        return None
    return state.pending


def _on_head(state: Commit, answer: HeadRead) -> Move:
    state = dataclasses.replace(
        state, head=answer.head, version=answer.version,
        pending=_still_pending(state, _generation(answer.head)))
    found = _done_before(state)
    if found is not None:
        return state, Done(found, None)
    newest, base = _generation(state.head), state.batch.base_generation
    if base > newest or state.tree.generation > newest:
        # A store that was set back. Following it would take a generation
        # number for the second time, and hosts would differ for good.
        return _refuse(state, Reason.UNKNOWN_BASE)
    if base + 1 < _oldest(state.head):
        return _refuse(state, Reason.OUTSIDE_WINDOW)
    if state.tree.generation + 1 < _oldest(state.head):
        return _refuse(state, Reason.TREE_BEHIND)
    return _catch_up(state)


def _known(state: Commit) -> int:
    """Return the newest generation whose batch is at hand."""
    if state.history:
        return state.history[-1].generation
    return min(state.batch.base_generation, state.tree.generation)


def _catch_up(state: Commit) -> Move:
    """Fetch the deltas from the base, or the tree, up to the head."""
    if _known(state) == _generation(state.head):
        return _prepare(state)
    assert state.head is not None
    digest = storage.delta_of(state.head, _known(state) + 1)
    assert digest is not None
    return _ask(state, ReadPart(digest))


def _on_part(state: Commit, answer: PartRead) -> Move:
    try:
        delta = storage.decode_delta(answer.part)
    except exceptions.PartCorrupt as exc:
        return _refuse(state, Reason.CORRUPT, detail=str(exc))
    tree = state.tree
    if delta.generation > tree.generation:
        advanced = storage.advance(tree, delta)
        if advanced.is_err():
            detail = advanced.unwrap_err()
            return _refuse(state, Reason.CORRUPT, detail=detail)
        tree = advanced.unwrap()
    history = (*state.history, storage.accepted(delta))
    return _catch_up(
        dataclasses.replace(state, tree=tree, history=history))


def _prepare(state: Commit) -> Move:
    merged = merging.merge(state.history, state.batch)
    if merged.is_err():
        conflicts = merged.unwrap_err()
        return _refuse(state, Reason.CONFLICT, conflicts=conflicts)
    prepared = storage.prepare(state.tree, state.head, merged.unwrap())
    if prepared.is_err():
        faults = prepared.unwrap_err()
        return _refuse(state, Reason.FAULTS, faults=faults)
    state = dataclasses.replace(state, prepared=prepared.unwrap())
    return _ask(state, WriteParts(prepared.unwrap().parts))


def _on_parts_written(state: Commit) -> Move:
    assert state.prepared is not None
    return _ask(state, WriteHead(state.prepared.head, state.version))


def _on_head_written(state: Commit) -> Move:
    assert state.prepared is not None
    tree = state.prepared.tree
    return state, Done(tree.generation, tree)


def _on_unknown(state: Commit) -> Move:
    if isinstance(state.waiting, WriteHead):
        # Writing again without a look would be safe too, as it has the
        # same version, but it could not tell our write from another's.
        pending = _generation(state.head)
        state = dataclasses.replace(state, pending=pending)
        return _try_again(state, ReadHead())
    return _try_again(state, state.waiting)


def commit_step(state: Commit, answer: Answer) -> Move:
    """Return the state after ``answer`` and what to do next.

    ``answer`` is that to the operation returned last. ``Done`` and
    ``Refused`` end the commit.
    """
    match answer:
        case HeadRead():
            return _on_head(state, answer)
        case PartRead():
            return _on_part(state, answer)
        case PartsWritten():
            return _on_parts_written(state)
        case HeadWritten():
            return _on_head_written(state)
        case HeadMoved():
            return _try_again(state, ReadHead())
        case OutcomeUnknown():
            return _on_unknown(state)
        case StoreFailed():
            return _try_again(state, state.waiting)
    raise AssertionError(answer)
