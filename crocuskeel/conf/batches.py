"""Batches of edits: accepted whole or not at all."""

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

BAD_PATH = 'conf.E201'
OVERLAPPING_EDITS = 'conf.E202'
TOO_LARGE = 'conf.E203'

Faults = tuple[model.SettingsFault, ...]


class Removal(enum.Enum):
    """The type of ``REMOVE``."""

    REMOVE = 'remove'


REMOVE = Removal.REMOVE


class Edit(NamedTuple):
    """One change: the value that ``path`` gets, or ``REMOVE``.

    Lists are values as a whole; a path leads through objects only.
    """

    path: model.Path
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Edits that take effect together.

    ``id`` names the batch for good: a commit that finds the id done does
    not repeat it. ``at`` is the author's Unix time in seconds, for people
    only; nothing is ordered by it. ``base_generation`` is what the author
    had in view.
    """

    id: str
    author: str
    at: float
    base_generation: int
    edits: tuple[Edit, ...]


def encode_edit(edit: Edit) -> dict[str, Any]:
    """Return the JSON form of an edit."""
    if edit.value is REMOVE:
        return {'path': list(edit.path), 'remove': True}
    return {'path': list(edit.path), 'value': edit.value}


def decode_edit(body: Mapping[str, Any]) -> Edit:
    """Return the edit of its JSON form."""
    value = REMOVE if 'remove' in body else body['value']
    return Edit(tuple(body['path']), value)


def encode_batch(batch: Batch) -> dict[str, Any]:
    """Return the JSON form of a batch."""
    return {
        'id': batch.id,
        'author': batch.author,
        'at': batch.at,
        'base_generation': batch.base_generation,
        'edits': [encode_edit(edit) for edit in batch.edits],
    }


def decode_batch(body: Mapping[str, Any]) -> Batch:
    """Return the batch of its JSON form."""
    edits = tuple(decode_edit(edit) for edit in body['edits'])
    return Batch(
        body['id'], body['author'], body['at'], body['base_generation'],
        edits)


def new_batch(
    author: str, at: float, base_generation: int, edits: Iterable[Edit],
) -> Batch:
    """Return a batch whose id comes from its content.

    Sent again after a lost answer it has the same id; a batch that
    differs in anything has another.
    """
    batch = Batch('', author, at, base_generation, tuple(edits))
    digest = hashlib.sha256(parts.canonical(encode_batch(batch)))
    return dataclasses.replace(batch, id=digest.hexdigest()[:32])


def overlap(one: model.Path, other: model.Path) -> bool:
    """Say whether two paths are equal or one leads through the other."""
    shared = min(len(one), len(other))
    return one[:shared] == other[:shared]


def edited(node: Any, path: model.Path, value: Any) -> Any:
    """Return ``node`` with one edit done; shares what is unchanged.

    Raises ``PathBlocked`` where the path leads through a non-object.
    """
    if not isinstance(node, dict):
        raise exceptions.PathBlocked('the path leads through a value')
    key, rest = path[0], path[1:]
    if value is REMOVE and key not in node:
        return node
    changed = dict(node)
    if rest:
        changed[key] = edited(node.get(key, {}), rest, value)
    elif value is REMOVE:
        del changed[key]
    else:
        changed[key] = value
    return changed


def _path_faults(batch: Batch) -> Iterator[model.SettingsFault]:
    for edit in batch.edits:
        if not edit.path or edit.path == ('workspaces',):
            yield model.SettingsFault(
                BAD_PATH, edit.path, None, 'the path is too short',
                'edit one section, or one workspace, at a time')
    ordered = sorted(edit.path for edit in batch.edits)
    for one, other in zip(ordered, ordered[1:]):
        # Sorted tuples put a path right before those that it leads to.
        if overlap(one, other):
            yield model.SettingsFault(
                OVERLAPPING_EDITS, other, None,
                'two edits of the batch touch the same value',
                f'the other is at {".".join(one)}')


@dataclasses.dataclass(slots=True)
class _Change:
    """Work in progress of one ``apply``."""

    common: Mapping[str, Any]
    shards: dict[int, Mapping[str, Any]]
    touched: set[str]
    faults: list[model.SettingsFault]


def _apply_edit(tree: model.Tree, change: _Change, edit: Edit) -> None:
    try:
        if edit.path[0] != 'workspaces':
            change.common = edited(change.common, edit.path, edit.value)
            return
        number = parts.shard_of(edit.path[1])
        before = change.shards.get(number)
        if before is None:
            before = trees.shard_document(tree, number)
        change.shards[number] = edited(before, edit.path[1:], edit.value)
        change.touched.add(edit.path[1])
    except exceptions.PathBlocked as exc:
        change.faults.append(model.SettingsFault(
            BAD_PATH, edit.path, None, str(exc),
            'set the object as a whole'))


def _bodies(change: _Change) -> dict[str, Any]:
    found = {}
    for name in sorted(change.touched):
        shard = change.shards[parts.shard_of(name)]
        if name in shard:
            found[name] = shard[name]
    return found


def _all_cross_faults(
    tree: model.Tree, change: _Change,
) -> Iterator[model.SettingsFault]:
    for number, part in tree.shards.items():
        untouched = {
            name: body for name, body in parts.decode_part(part).items()
            if name not in change.touched
        }
        yield from checks.cross_faults(change.common, untouched)


def _change_faults(
    tree: model.Tree, change: _Change,
) -> Iterator[model.SettingsFault]:
    """Check only what the change can have broken.

    Workspaces that are not touched keep their shape, and fit the other
    sections as before unless one of these changed.
    """
    if change.common is not tree.common:
        yield from checks.common_faults(change.common)
        yield from _all_cross_faults(tree, change)
    yield from checks.workspace_faults(change.common, _bodies(change))


def _other_holders(
    after: model.Tree, change: _Change, sha256: str,
) -> Iterator[str]:
    """Yield untouched workspaces that have the token too."""
    shards = tokens.find_shards(after.tokens, sha256)
    if len(shards) < 2:
        return
    for number in shards:
        for holder, body in trees.shard_document(after, number).items():
            held = {one for _at, one in checks.hashes(body)}
            if holder not in change.touched and sha256 in held:
                yield holder


def _token_faults(
    after: model.Tree, change: _Change,
) -> Iterator[model.SettingsFault]:
    for name, body in _bodies(change).items():
        for number, sha256 in checks.hashes(body):
            for holder in _other_holders(after, change, sha256):
                yield checks.token_fault(name, number, holder)


def _next_index(tree: model.Tree, change: _Change) -> bytes:
    """Return the token index; rebuilt only if a token changed."""
    before: list[bytes] = []
    after: list[bytes] = []
    for number, group in change.shards.items():
        old = trees.shard_document(tree, number)
        before.extend(tokens.pack(number, old))
        after.extend(tokens.pack(number, group))
    if sorted(before) == sorted(after):
        return tree.tokens
    return tokens.replace(tree.tokens, frozenset(change.shards), after)


def _next_tree(tree: model.Tree, change: _Change) -> model.Tree:
    shards = dict(tree.shards)
    for number, group in change.shards.items():
        if group:
            shards[number] = parts.new_part(group)
        else:
            shards.pop(number, None)
    index = _next_index(tree, change)
    return trees.new_tree(
        tree.generation + 1, change.common, shards, index, tree.decode)


def change_tree(tree: model.Tree, batch: Batch) -> model.Tree:
    """Return the next generation without checking it.

    For a follower, which applies what was checked when it was accepted.
    Raises ``PathBlocked``, ``PartTooLarge`` or ``PartCorrupt``.
    """
    change = _Change(tree.common, {}, set(), [])
    for edit in batch.edits:
        _apply_edit(tree, change, edit)
    if change.faults:
        raise exceptions.PathBlocked(str(change.faults[0]))
    return _next_tree(tree, change)


def apply(tree: model.Tree, batch: Batch) -> Result[model.Tree, Faults]:
    """Return the next generation, or every fault the batch would make.

    ``tree`` must be the generation the batch is to follow; see
    ``crocuskeel.conf.merging`` for a batch made on an older one.
    """
    faults = list(_path_faults(batch))
    if faults:
        return Err(tuple(faults))
    change = _Change(tree.common, {}, set(), [])
    for edit in batch.edits:
        _apply_edit(tree, change, edit)
    faults = [*change.faults, *_change_faults(tree, change)]
    if faults:
        return Err(tuple(faults))
    try:
        after = _next_tree(tree, change)
        parts.new_part(after.common)
    except exceptions.PartTooLarge as exc:
        return Err((model.SettingsFault(
            TOO_LARGE, (), None, str(exc), 'remove what is unused'),))
    faults = list(_token_faults(after, change))
    return Err(tuple(faults)) if faults else Ok(after)
