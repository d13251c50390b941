"""Batches of edits, applied atomically."""

import dataclasses
import enum
import hashlib
from typing import Any
from typing import Iterable
from typing import Iterator
from typing import Mapping
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from crocuskeel.conf import checks
from crocuskeel.conf import exceptions
from crocuskeel.conf import model
from crocuskeel.conf import parts
from crocuskeel.conf import tokens
from crocuskeel.conf import tree as trees

INVALID_PATH = 'conf.E201'
OVERLAPPING_EDITS = 'conf.E202'
TOO_LARGE = 'conf.E203'

Faults = tuple[model.SettingsFault, ...]


class Removal(enum.Enum):
    """The type of ``REMOVE``."""

    REMOVE = 'remove'


REMOVE = Removal.REMOVE


class Edit(NamedTuple):
    """One change: the value that ``path`` gets, or ``REMOVE``.

    A list is replaced as a whole: a path can't address its items.
    """

    path: model.Path
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Edits that take effect together.

    ``id`` identifies the batch permanently: a commit that finds the id
    already accepted does not apply it again. ``created_at`` is the author's
    Unix time in seconds, for display only; nothing is ordered by it.
    ``base_generation`` is the generation that the edits were made on.
    """

    id: str
    author: str
    created_at: float
    base_generation: int
    edits: tuple[Edit, ...]


def encode_edit(edit: Edit) -> dict[str, Any]:
    """Return the JSON form of an edit."""
    if edit.value is REMOVE:
        return {'path': list(edit.path), 'remove': True}
    return {'path': list(edit.path), 'value': edit.value}


def decode_edit(body: Mapping[str, Any]) -> Edit:
    """Return the edit decoded from its JSON form."""
    value = REMOVE if 'remove' in body else body['value']
    return Edit(tuple(body['path']), value)


def encode_batch(batch: Batch) -> dict[str, Any]:
    """Return the JSON form of a batch."""
    return {
        'id': batch.id,
        'author': batch.author,
        'at': batch.created_at,
        'base_generation': batch.base_generation,
        'edits': [encode_edit(edit) for edit in batch.edits],
    }


def decode_batch(body: Mapping[str, Any]) -> Batch:
    """Return the batch decoded from its JSON form."""
    edits = tuple(decode_edit(edit) for edit in body['edits'])
    return Batch(
        body['id'], body['author'], body['at'], body['base_generation'],
        edits)


def new_batch(
    author: str, created_at: float, base_generation: int,
    edits: Iterable[Edit],
) -> Batch:
    """Return a batch whose id is a hash of its content.

    A batch that is resent after a lost answer has the same id; any
    difference in content gives another id.
    """
    batch = Batch('', author, created_at, base_generation, tuple(edits))
    digest = hashlib.sha256(parts.canonical_json(encode_batch(batch)))
    return dataclasses.replace(batch, id=digest.hexdigest()[:32])


def paths_overlap(first: model.Path, second: model.Path) -> bool:
    """Return whether one path is a prefix of the other, or equal to it."""
    shared = min(len(first), len(second))
    return first[:shared] == second[:shared]


def edit_node(node: Any, path: model.Path, value: Any) -> Any:
    """Return a copy of ``node`` with one edit; shares what is unchanged.

    Raises ``InvalidEditPath`` if a parent of the path is not an object.
    """
    if not isinstance(node, dict):
        raise exceptions.InvalidEditPath(
            'a parent of the path is not an object')
    key, rest = path[0], path[1:]
    if value is REMOVE and key not in node:
        return node
    changed = dict(node)
    if rest:
        changed[key] = edit_node(node.get(key, {}), rest, value)
    elif value is REMOVE:
        del changed[key]
    else:
        changed[key] = value
    return changed


def _edit_path_faults(batch: Batch) -> Iterator[model.SettingsFault]:
    for edit in batch.edits:
        if not edit.path or edit.path == ('workspaces',):
            yield model.SettingsFault(
                INVALID_PATH, edit.path, None, 'the path is too short',
                'edit one section or one workspace at a time')
    ordered = sorted(edit.path for edit in batch.edits)
    for first, second in zip(ordered, ordered[1:]):
        # Sorting puts a path directly before the paths below it.
        if paths_overlap(first, second):
            yield model.SettingsFault(
                OVERLAPPING_EDITS, second, None,
                'two edits of the batch have overlapping paths',
                f'the other path is {".".join(first)}')


@dataclasses.dataclass(slots=True)
class _BatchState:
    """State that accumulates while a batch is applied."""

    common: Mapping[str, Any]
    shards: dict[int, Mapping[str, Any]]
    edited_names: set[str]
    faults: list[model.SettingsFault]


def _apply_edit(tree: model.Tree, state: _BatchState, edit: Edit) -> None:
    try:
        if edit.path[0] != 'workspaces':
            state.common = edit_node(state.common, edit.path, edit.value)
            return
        number = parts.shard_of(edit.path[1])
        before = state.shards.get(number)
        if before is None:
            before = trees.shard_document(tree, number)
        state.shards[number] = edit_node(before, edit.path[1:], edit.value)
        state.edited_names.add(edit.path[1])
    except exceptions.InvalidEditPath as exc:
        state.faults.append(model.SettingsFault(
            INVALID_PATH, edit.path, None, str(exc),
            'replace the whole object'))


def _edited_workspaces(state: _BatchState) -> dict[str, Any]:
    found = {}
    for name in sorted(state.edited_names):
        shard = state.shards[parts.shard_of(name)]
        if name in shard:
            found[name] = shard[name]
    return found


def _unedited_workspace_faults(
    tree: model.Tree, state: _BatchState,
) -> Iterator[model.SettingsFault]:
    for number, part in tree.shards.items():
        unedited = {
            name: body for name, body in parts.decode_part(part).items()
            if name not in state.edited_names
        }
        yield from checks.cross_section_faults(state.common, unedited)


def _validation_faults(
    tree: model.Tree, state: _BatchState,
) -> Iterator[model.SettingsFault]:
    """Check only what the change can have invalidated.

    Workspaces that are not edited still match the schema. They are
    checked against the other sections only if one of these changed.
    """
    if state.common is not tree.common:
        yield from checks.common_faults(state.common)
        yield from _unedited_workspace_faults(tree, state)
    yield from checks.workspace_faults(
        state.common, _edited_workspaces(state))


def _other_owners(
    after: model.Tree, state: _BatchState, sha256: str,
) -> Iterator[str]:
    """Yield the unedited workspaces that have the same token."""
    shards = tokens.find_shards(after.tokens, sha256)
    if len(shards) < 2:
        return
    for number in shards:
        for owner, body in trees.shard_document(after, number).items():
            present = {each for _, each in checks.token_hashes(body)}
            if owner not in state.edited_names and sha256 in present:
                yield owner


def _token_faults(
    after: model.Tree, state: _BatchState,
) -> Iterator[model.SettingsFault]:
    for name, body in _edited_workspaces(state).items():
        for number, sha256 in checks.token_hashes(body):
            for owner in _other_owners(after, state, sha256):
                yield checks.token_fault(name, number, owner)


def _next_token_index(tree: model.Tree, state: _BatchState) -> bytes:
    """Return the token index, rebuilt only if a token changed."""
    before: list[bytes] = []
    after: list[bytes] = []
    for number, group in state.shards.items():
        old = trees.shard_document(tree, number)
        before.extend(tokens.pack_entries(number, old))
        after.extend(tokens.pack_entries(number, group))
    if sorted(before) == sorted(after):
        return tree.tokens
    return tokens.replace_entries(tree.tokens, frozenset(state.shards), after)


def _next_tree(tree: model.Tree, state: _BatchState) -> model.Tree:
    shards = dict(tree.shards)
    for number, group in state.shards.items():
        if group:
            shards[number] = parts.new_part(group)
        else:
            shards.pop(number, None)
    index = _next_token_index(tree, state)
    return trees.new_tree(
        tree.generation + 1, state.common, shards, index, tree.decode)


def apply_unchecked(tree: model.Tree, batch: Batch) -> model.Tree:
    """Return the next generation without validating it.

    For followers, which apply batches that were validated when they were
    accepted.
    Raises ``InvalidEditPath``, ``PartTooLarge`` or ``PartCorrupt``.
    """
    state = _BatchState(tree.common, {}, set(), [])
    for edit in batch.edits:
        _apply_edit(tree, state, edit)
    if state.faults:
        raise exceptions.InvalidEditPath(str(state.faults[0]))
    return _next_tree(tree, state)


def apply_batch(tree: model.Tree, batch: Batch) -> Result[model.Tree, Faults]:
    """Return the next generation, or all faults found in the batch.

    ``tree`` must be the generation directly before the batch; a batch made
    on an older one is rebased first, see ``crocuskeel.conf.merging``.
    """
    faults = list(_edit_path_faults(batch))
    if faults:
        return Err(tuple(faults))
    state = _BatchState(tree.common, {}, set(), [])
    for edit in batch.edits:
        _apply_edit(tree, state, edit)
    faults = [*state.faults, *_validation_faults(tree, state)]
    if faults:
        return Err(tuple(faults))
    try:
        after = _next_tree(tree, state)
        parts.new_part(after.common)
    except exceptions.PartTooLarge as exc:
        return Err((model.SettingsFault(
            TOO_LARGE, (), None, str(exc), 'remove unused settings'),))
    faults = list(_token_faults(after, state))
    return Err(tuple(faults)) if faults else Ok(after)
