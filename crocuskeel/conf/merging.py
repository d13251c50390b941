"""Merging a batch with those accepted since its base; diffs; reversal."""

import dataclasses
from typing import Any
from typing import Iterator
from typing import Mapping
from typing import Sequence

from result import Err
from result import Ok
from result import Result

from crocuskeel.conf import batches
from crocuskeel.conf import model
from crocuskeel.conf import tree as trees


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Two conflicting edits, one of them already accepted.

    ``theirs`` was accepted in ``generation``, by ``author`` at the Unix
    time ``created_at``; ``ours`` belongs to the refused batch.
    """

    ours: batches.Edit
    theirs: batches.Edit
    batch_id: str
    generation: int
    author: str
    created_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedBatch:
    """An accepted batch and the generation that it produced."""

    generation: int
    batch: batches.Batch


def _equal_edits(first: batches.Edit, second: batches.Edit) -> bool:
    return (
        first.path == second.path
        and type(first.value) is type(second.value)
        and first.value == second.value
    )


class _EditIndex:
    """Edits of one accepted batch, by path and by each prefix of it."""

    def __init__(self, edits: Sequence[batches.Edit]):
        self._by_path = {edit.path: edit for edit in edits}
        self._by_prefix: dict[model.Path, list[batches.Edit]] = {}
        for edit in edits:
            for count in range(1, len(edit.path) + 1):
                prefix = edit.path[:count]
                self._by_prefix.setdefault(prefix, []).append(edit)

    def overlapping(self, path: model.Path) -> Iterator[batches.Edit]:
        """Yield the edits at, above or below ``path``."""
        for count in range(1, len(path)):
            if path[:count] in self._by_path:
                yield self._by_path[path[:count]]
        yield from self._by_prefix.get(path, ())


def _conflicts(
    history: Sequence[AcceptedBatch], batch: batches.Batch,
) -> Iterator[Conflict]:
    for accepted in history:
        if accepted.generation <= batch.base_generation:
            continue
        theirs = accepted.batch
        index = _EditIndex(theirs.edits)
        for ours in batch.edits:
            for edit in index.overlapping(ours.path):
                if not _equal_edits(edit, ours):
                    yield Conflict(
                        ours, edit, theirs.id, accepted.generation,
                        theirs.author, theirs.created_at)


def merge(
    history: Sequence[AcceptedBatch], batch: batches.Batch,
) -> Result[batches.Batch, tuple[Conflict, ...]]:
    """Return ``batch`` rebased on the end of ``history``, or conflicts.

    ``history`` must contain every batch accepted since the base. Edits
    with overlapping paths conflict unless they set the same path to the
    same value.
    """
    found = tuple(_conflicts(history, batch))
    if found:
        return Err(found)
    generations = [accepted.generation for accepted in history]
    newest = max([batch.base_generation, *generations])
    return Ok(dataclasses.replace(batch, base_generation=newest))


def diff(
    before: Mapping[str, Any], after: Mapping[str, Any],
) -> tuple[batches.Edit, ...]:
    """Return the minimal edits that turn one document into another."""
    return tuple(_diff(before, after, ()))


def _diff(before, after, path: model.Path) -> Iterator[batches.Edit]:
    for key in sorted({*before, *after}):
        inner = (*path, key)
        old = before.get(key, batches.REMOVE)
        new = after.get(key, batches.REMOVE)
        if inner == ('workspaces',):
            yield from _diff(before.get(key, {}), after.get(key, {}), inner)
        elif isinstance(old, dict) and isinstance(new, dict):
            yield from _diff(old, new, inner)
        elif type(old) is not type(new) or old != new:
            yield batches.Edit(inner, new)


def _undo_edit(node: Any, path: model.Path) -> batches.Edit:
    """Return the edit that undoes a change at ``path``.

    If the path did not exist, the edit removes its first missing key, so
    that no empty objects remain.
    """
    for count, key in enumerate(path, start=1):
        if not isinstance(node, Mapping) or key not in node:
            return batches.Edit(path[:count], batches.REMOVE)
        node = node[key]
    return batches.Edit(path, node)


def reversal(
    tree: model.Tree, batch: batches.Batch,
) -> tuple[batches.Edit, ...]:
    """Return the edits that undo ``batch``, given the tree before it."""
    found: dict[model.Path, batches.Edit] = {}
    for edit in batch.edits:
        if edit.path[0] != 'workspaces':
            undo = _undo_edit(tree.common, edit.path)
        else:
            body = tree.lookups.workspace(edit.path[1])
            present = {} if body is None else {edit.path[1]: body}
            undo = _undo_edit({'workspaces': present}, edit.path)
        found[undo.path] = undo
    return tuple(found.values())


def document_edits(
    tree: model.Tree, document: Mapping[str, Any],
) -> tuple[batches.Edit, ...]:
    """Return the edits that turn ``tree`` into ``document``."""
    return diff(trees.to_document(tree), document)
