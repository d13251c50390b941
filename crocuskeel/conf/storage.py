"""Layout of the settings in the Object API.

One small object, the head, is the only one that is ever updated. It names
the index part, which names the part of the common sections and one part a
shard of workspaces. Parts are named by their content and never change, so
they can be written before the head names them, and twice without harm.
Each generation also has a delta part, by which a follower that holds the
generation before gets the next one without reading any shard.

The head keeps the last batches by id. A commit whose answer was lost is
recognised there; see ``crocuskeel.conf.commit``.
"""

import dataclasses
import json
from typing import Mapping

from result import Err
from result import Ok
from result import Result

from crocuskeel.conf import batches
from crocuskeel.conf import exceptions
from crocuskeel.conf import merging
from crocuskeel.conf import model
from crocuskeel.conf import parts
from crocuskeel.conf import tree as trees

HEAD_KEY = 'settings/head'
PART_PREFIX = 'settings/parts/'
RECENT_BATCHES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Recent:
    """An accepted batch, its generation, and its delta's digest."""

    generation: int
    batch_id: str
    delta: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head object: the newest generation and how to get there.

    ``recent`` is ordered by generation without gaps and ends with this
    one; it holds at most ``RECENT_BATCHES``.
    """

    generation: int
    batch_id: str
    index: str
    recent: tuple[Recent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Index:
    """The digests of a generation's parts; shard number to digest."""

    common: str
    shards: Mapping[int, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """One generation as a step from the one before.

    ``index`` is the digest of the index after it, by which a follower
    knows that it arrived at the same tree as everyone. ``parent`` is the
    digest of the delta before, empty for the first; following it leads
    through the whole history.
    """

    generation: int
    batch: batches.Batch
    index: str
    parent: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """What one commit writes: new parts first, then the head."""

    tree: model.Tree
    head: Head
    delta: Delta
    parts: tuple[model.Part, ...]


def part_key(digest: str) -> str:
    """Return the Object API key of a part."""
    return PART_PREFIX + digest


def encode_head(head: Head) -> bytes:
    """Return the stored form of the head."""
    recent = [[at.generation, at.batch_id, at.delta] for at in head.recent]
    return parts.canonical({
        'generation': head.generation,
        'batch_id': head.batch_id,
        'index': head.index,
        'recent': recent,
    })


def decode_head(stored: bytes) -> Head:
    """Return the head of its stored form; raises ``PartCorrupt``."""
    try:
        body = json.loads(stored)
        recent = tuple(Recent(*entry) for entry in body['recent'])
        return Head(
            body['generation'], body['batch_id'], body['index'], recent)
    except (ValueError, KeyError, TypeError) as exc:
        raise exceptions.PartCorrupt(f'head: {exc!r}') from exc


def index_part(tree: model.Tree) -> model.Part:
    """Return the part that names all parts of ``tree``."""
    shards = {str(at): part.digest for at, part in tree.shards.items()}
    return parts.new_part({
        'common': parts.new_part(tree.common).digest,
        'shard_count': parts.SHARDS,
        'shards': shards,
    })


def decode_index(part: model.Part) -> Index:
    """Return the index of its part; raises ``PartCorrupt``."""
    body = parts.decode_part(part)
    try:
        if body['shard_count'] != parts.SHARDS:
            raise exceptions.PartCorrupt('another number of shards')
        shards = {int(at): name for at, name in body['shards'].items()}
        return Index(body['common'], shards)
    except (ValueError, KeyError, TypeError) as exc:
        raise exceptions.PartCorrupt(f'index: {exc!r}') from exc


def delta_part(delta: Delta) -> model.Part:
    """Return the part of a delta; raises ``PartTooLarge``."""
    return parts.new_part({
        'generation': delta.generation,
        'batch': batches.encode_batch(delta.batch),
        'index': delta.index,
        'parent': delta.parent,
    })


def decode_delta(part: model.Part) -> Delta:
    """Return the delta of its part; raises ``PartCorrupt``."""
    body = parts.decode_part(part)
    try:
        batch = batches.decode_batch(body['batch'])
        return Delta(
            body['generation'], batch, body['index'], body['parent'])
    except (KeyError, TypeError) as exc:
        raise exceptions.PartCorrupt(f'delta: {exc!r}') from exc


def tree_parts(tree: model.Tree) -> dict[str, model.Part]:
    """Return every part of ``tree`` by digest, the index included."""
    found = [
        index_part(tree), parts.new_part(tree.common), *tree.shards.values()]
    return {part.digest: part for part in found}


def new_parts(
    before: model.Tree, after: model.Tree,
) -> tuple[model.Part, ...]:
    """Return the parts of ``after`` that ``before`` does not have."""
    held = {part.digest for part in before.shards.values()}
    changed = [
        part for part in after.shards.values() if part.digest not in held]
    if after.common is not before.common:
        changed.append(parts.new_part(after.common))
    return (*changed, index_part(after))


def _window(head: Head | None, entry: Recent) -> tuple[Recent, ...]:
    earlier = head.recent if head else ()
    return (*earlier, entry)[-RECENT_BATCHES:]


def prepare(
    tree: model.Tree, head: Head | None, batch: batches.Batch,
) -> Result[Prepared, batches.Faults]:
    """Return what to write to commit ``batch`` on top of ``head``.

    ``tree`` is the generation that ``head`` names, or the empty tree
    where there is no head yet.
    """
    applied = batches.apply(tree, batch)
    if applied.is_err():
        return Err(applied.unwrap_err())
    after = applied.unwrap()
    changed = new_parts(tree, after)
    index = changed[-1].digest
    parent = head.recent[-1].delta if head else ''
    delta = Delta(after.generation, batch, index, parent)
    try:
        stored = delta_part(delta)
    except exceptions.PartTooLarge as exc:
        return Err((model.SettingsFault(
            batches.TOO_LARGE, (), None, str(exc),
            'split the batch; each half takes effect by itself'),))
    entry = Recent(after.generation, batch.id, stored.digest)
    new_head = Head(
        after.generation, batch.id, index, _window(head, entry))
    return Ok(Prepared(after, new_head, delta, (*changed, stored)))


def advance(tree: model.Tree, delta: Delta) -> Result[model.Tree, str]:
    """Return the generation after ``tree``, or why it can't be had so.

    A follower must load the tree whole on an error.
    """
    if delta.generation != tree.generation + 1:
        return Err(f'delta is generation {delta.generation}, the tree '
                   f'is {tree.generation}')
    try:
        after = batches.change_tree(tree, delta.batch)
        reached = index_part(after).digest
    except exceptions.ConfError as exc:
        return Err(str(exc))
    if reached != delta.index:
        return Err('the delta does not lead to the tree it names')
    return Ok(after)


def missing_parts(index: Index, held: model.Tree | None) -> frozenset[str]:
    """Return the digests to fetch in order to assemble ``index``."""
    known = set()
    if held is not None:
        known = {part.digest for part in held.shards.values()}
        known.add(parts.new_part(held.common).digest)
    return frozenset({index.common, *index.shards.values()} - known)


def assemble(
    generation: int,
    index: Index,
    fetched: Mapping[str, model.Part],
    held: model.Tree | None = None,
) -> model.Tree:
    """Return the whole tree from parts, fetched ones and those held.

    Raises ``PartCorrupt`` where a part is missing or damaged.
    """
    known = dict(tree_parts(held)) if held is not None else {}
    known.update(fetched)
    try:
        common = parts.decode_part(known[index.common])
        shards = {at: known[name] for at, name in index.shards.items()}
    except KeyError as exc:
        raise exceptions.PartCorrupt(f'part {exc} is missing') from exc
    return trees.load_tree(generation, common, shards)


def accepted(delta: Delta) -> merging.Accepted:
    """Return what a merge needs to know of a generation."""
    return merging.Accepted(delta.generation, delta.batch)


def delta_of(head: Head, generation: int) -> str | None:
    """Return the digest of a generation's delta, None if too old."""
    for entry in head.recent:
        if entry.generation == generation:
            return entry.delta
    return None
