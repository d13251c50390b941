"""Committing a batch: a pure reducer over the store's answers.

Guarantees, and the failures that each one covers:

* At-most-once application. A head write is conditional on the version
  that was read, so of all writes on one version only one takes effect,
  however late. Its answer can be lost after it took effect; then the head
  is read again, and a head that contains the batch's id ends the commit.
* No accepted batch is lost. A head is built only from the tree of the
  head that it replaces, to which every delta in between was applied.
* A late retry is not applied again. The head lists a bounded number of
  recent batches. A batch made on generation g can only have been accepted
  after g, so its id is certain to be listed while the window reaches back
  to g + 1; after that its outcome is unknown and it is refused.

Callers do the I/O, with their own timeouts and backoff, and pass each
answer to ``commit_step``. An operation must be sent to the store once: a
client that retries a head write by itself would mistake its own success
for a lost race.
"""

import dataclasses
import enum
from typing import TypeAlias

from crocuskeel.conf import batches
from crocuskeel.conf import exceptions
from crocuskeel.conf import merging
from crocuskeel.conf import model
from crocuskeel.conf import storage

MAX_RETRIES = 32
# Marks a possible write of an earlier attempt, on a head not read yet.
UNREAD_HEAD = -1


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
    """Update the head if it still has ``version``; None creates it.

    Answered by ``HeadWritten``, ``HeadVersionConflict`` or ``OutcomeUnknown``.
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
    """The requested part."""

    part: model.Part


@dataclasses.dataclass(frozen=True, slots=True)
class PartsWritten:
    """All parts of ``WriteParts`` are stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWritten:
    """The head was updated."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadVersionConflict:
    """The head had another version and was not updated."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The answer was lost; a write may have taken effect or may yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """The operation is known to have failed without effect."""


# Results of a commit.


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
    """What is known of the effect of a refused batch."""

    NOT_APPLIED = 'not_applied'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The batch is accepted as ``generation``.

    ``tree`` is that generation if this commit wrote it, and None if the
    batch was found to be accepted already.
    """

    generation: int
    tree: model.Tree | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The batch was not accepted by this commit.

    ``UNKNOWN``: it may have been accepted earlier, or a write that is
    still in flight may take effect; the same batch may be sent again.
    """

    reason: Reason
    outcome: Outcome
    conflicts: tuple[merging.Conflict, ...] = ()
    faults: tuple[model.SettingsFault, ...] = ()
    detail: str = ''


Operation: TypeAlias = ReadHead | ReadPart | WriteParts | WriteHead
Answer: TypeAlias = (
    HeadRead | PartRead | PartsWritten | HeadWritten | HeadVersionConflict
    | OutcomeUnknown | StoreFailed)
Step: TypeAlias = Operation | Committed | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """State of one commit.

    ``tree`` is the newest generation available here; deltas advance it
    to that of ``head``. ``in_flight`` is the operation whose answer is
    awaited. ``history`` holds the batches accepted since this one's base.
    ``pending_generation`` is the generation of the newest head on which a
    write of this batch may still take effect; None if there is no such write.
    """

    batch: batches.Batch
    tree: model.Tree
    in_flight: Operation
    retries_left: int
    head: storage.Head | None = None
    version: int | str | None = None
    history: tuple[merging.AcceptedBatch, ...] = ()
    prepared: storage.PreparedCommit | None = None
    pending_generation: int | None = None


Transition: TypeAlias = tuple[Commit, Step]


def new_commit(
    batch: batches.Batch,
    tree: model.Tree,
    *,
    resent: bool,
    max_retries: int = MAX_RETRIES,
) -> tuple[Commit, Operation]:
    """Return a commit of ``batch`` by a host that has ``tree``.

    ``resent`` must be True if any host may have begun to commit this
    batch before: a write of that attempt may still be in flight, so "not
    applied" can't be reported before the head has a newer generation.
    ``max_retries`` bounds failed answers and lost races together.
    """
    first = ReadHead()
    pending = UNREAD_HEAD if resent else None
    return Commit(batch, tree, first, max_retries,
                  pending_generation=pending), first


def _request(state: Commit, operation: Operation) -> Transition:
    return dataclasses.replace(state, in_flight=operation), operation


def _refuse(state: Commit, reason: Reason, **details) -> Transition:
    # An attempt on this head or an older one would have had the same
    # conflict, so none has a write in flight that can still succeed.
    settled = state.pending_generation is None or reason is Reason.CONFLICT
    unknown = not settled or reason is Reason.OUTSIDE_WINDOW
    outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_APPLIED
    return state, Refused(reason, outcome, **details)


def _retry(state: Commit, operation: Operation) -> Transition:
    if not state.retries_left:
        return _refuse(state, Reason.STORE_UNAVAILABLE)
    state = dataclasses.replace(state, retries_left=state.retries_left - 1)
    return _request(state, operation)


def _generation(head: storage.Head | None) -> int:
    return head.generation if head else 0


def _oldest_listed_generation(head: storage.Head | None) -> int:
    return head.recent_batches[0].generation if head else 1


def _accepted_generation(state: Commit) -> int | None:
    for entry in state.head.recent_batches if state.head else ():
        if entry.batch_id == state.batch.id:
            return entry.generation
    return None


def _still_pending(state: Commit, newest: int) -> int | None:
    # A write whose answer was lost can take effect late. Once the head
    # has a newer generation, from another batch, it no longer can, as the
    # version that it requires is gone. A read that returns the same head,
    # or an older one, proves nothing.
    if state.pending_generation == UNREAD_HEAD:
        return newest
    if state.pending_generation is None or newest > state.pending_generation:
        return None
    return state.pending_generation


def _on_head(state: Commit, answer: HeadRead) -> Transition:
    state = dataclasses.replace(
        state, head=answer.head, version=answer.version,
        pending_generation=_still_pending(state, _generation(answer.head)))
    found = _accepted_generation(state)
    if found is not None:
        return state, Committed(found, None)
    newest, base = _generation(state.head), state.batch.base_generation
    if base > newest or state.tree.generation > newest:
        # The store was restored from an older copy. A commit on it would
        # reuse a generation number, and hosts would permanently differ.
        return _refuse(state, Reason.UNKNOWN_BASE)
    if base + 1 < _oldest_listed_generation(state.head):
        return _refuse(state, Reason.OUTSIDE_WINDOW)
    if state.tree.generation + 1 < _oldest_listed_generation(state.head):
        return _refuse(state, Reason.TREE_BEHIND)
    return _catch_up(state)


def _newest_known_generation(state: Commit) -> int:
    """Return the newest generation whose batch need not be fetched."""
    if state.history:
        return state.history[-1].generation
    return min(state.batch.base_generation, state.tree.generation)


def _catch_up(state: Commit) -> Transition:
    """Fetch the next delta, or prepare the write once at the head."""
    if _newest_known_generation(state) == _generation(state.head):
        return _prepare(state)
    assert state.head is not None
    digest = storage.find_delta_digest(
        state.head, _newest_known_generation(state) + 1)
    assert digest is not None
    return _request(state, ReadPart(digest))


def _on_part(state: Commit, answer: PartRead) -> Transition:
    try:
        delta = storage.decode_delta(answer.part)
    except exceptions.PartCorrupt as exc:
        return _refuse(state, Reason.CORRUPT, detail=str(exc))
    tree = state.tree
    if delta.generation > tree.generation:
        advanced = storage.apply_delta(tree, delta)
        if advanced.is_err():
            detail = advanced.unwrap_err()
            return _refuse(state, Reason.CORRUPT, detail=detail)
        tree = advanced.unwrap()
    history = (*state.history, storage.accepted_batch(delta))
    return _catch_up(
        dataclasses.replace(state, tree=tree, history=history))


def _prepare(state: Commit) -> Transition:
    merged = merging.merge(state.history, state.batch)
    if merged.is_err():
        conflicts = merged.unwrap_err()
        return _refuse(state, Reason.CONFLICT, conflicts=conflicts)
    prepared = storage.prepare(state.tree, state.head, merged.unwrap())
    if prepared.is_err():
        faults = prepared.unwrap_err()
        return _refuse(state, Reason.FAULTS, faults=faults)
    state = dataclasses.replace(state, prepared=prepared.unwrap())
    return _request(state, WriteParts(prepared.unwrap().parts))


def _on_parts_written(state: Commit) -> Transition:
    assert state.prepared is not None
    return _request(state, WriteHead(state.prepared.head, state.version))


def _on_head_written(state: Commit) -> Transition:
    assert state.prepared is not None
    tree = state.prepared.tree
    return state, Committed(tree.generation, tree)


def _on_outcome_unknown(state: Commit) -> Transition:
    if isinstance(state.in_flight, WriteHead):
        # Writing again without a read would be safe too, as the version is
        # the same, but could not tell our write from another's.
        pending = _generation(state.head)
        state = dataclasses.replace(state, pending_generation=pending)
        return _retry(state, ReadHead())
    return _retry(state, state.in_flight)


def commit_step(state: Commit, answer: Answer) -> Transition:
    """Return the state after ``answer`` and what to do next.

    ``answer`` is the store's answer to the last returned operation.
    ``Committed`` and ``Refused`` end the commit.
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
        case HeadVersionConflict():
            return _retry(state, ReadHead())
        case OutcomeUnknown():
            return _on_outcome_unknown(state)
        case StoreFailed():
            return _retry(state, state.in_flight)
    raise AssertionError(answer)
