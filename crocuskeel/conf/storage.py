"""Layout of the settings in the Object API.

One small object, the head, is the only one that is ever updated. It
references the index part, which references the part of the common
sections and one part per shard of workspaces. Parts are content-addressed
and immutable, so they can be written before the head references them, and
writing one twice is harmless. Each generation also has a delta part, from
which a follower that has the previous generation builds the next one
without reading any shard.

The head lists the ids of the last batches, by which a commit whose answer
was lost finds its batch; see ``crocuskeel.conf.commit``.
"""

import dataclasses
from typing import Any
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
from crocuskeel import decoding

HEAD_KEY = 'settings/head'
PART_PREFIX = 'settings/parts/'
RECENT_BATCHES = 64
# Hosts send generations to each other as 64-bit integers.
MAX_GENERATION = 2 ** 63 - 1
MAX_TEXT_CHARS = 253


@dataclasses.dataclass(frozen=True, slots=True)
class RecentBatch:
    """An accepted batch, its generation, and its delta's digest."""

    generation: int
    batch_id: str
    delta_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head object: the newest generation and its recent batches.

    ``recent_batches`` is ordered by generation without gaps and ends with this
    one; it has at most ``RECENT_BATCHES`` entries.
    """

    generation: int
    batch_id: str
    index_digest: str
    recent_batches: tuple[RecentBatch, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Index:
    """The digests of a generation's parts, those of shards by number."""

    common: str
    shards: Mapping[int, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """One generation as a change to the previous one.

    ``index`` is the digest of the resulting index, by which a follower
    verifies that its tree equals that of all other hosts. ``parent`` is
    the digest of the previous delta, empty for the first; these links
    give the whole history.
    """

    generation: int
    batch: batches.Batch
    index: str
    parent: str


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedCommit:
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
    recent = [
        [entry.generation, entry.batch_id, entry.delta_digest]
        for entry in head.recent_batches]
    return parts.canonical_json({
        'generation': head.generation,
        'batch_id': head.batch_id,
        'index': head.index_digest,
        'recent': recent,
    })


def decode_head(stored: bytes) -> Head:
    """Return the head decoded from its stored form.

    Raises ``PartCorrupt``.
    """
    try:
        body = decoding.loads(stored)
        recent = tuple(
            RecentBatch(_generation(number), _text(batch_id), _text(digest))
            for number, batch_id, digest in body['recent'])
        return Head(
            _generation(body['generation']), _text(body['batch_id']),
            _text(body['index']), recent)
    except decoding.DECODING_ERRORS as exc:
        raise exceptions.PartCorrupt(f'head: {exc!r}') from exc


def _generation(value: Any) -> int:
    """Return a generation that is checked; raises ``ValueError``."""
    if (not isinstance(value, int) or isinstance(value, bool)
            or not 0 <= value <= MAX_GENERATION):
        raise ValueError('invalid generation')
    return value


def _text(value: Any) -> str:
    """Return an id or digest that is checked; raises ``ValueError``."""
    if not (isinstance(value, str) and len(value) <= MAX_TEXT_CHARS
            and value.isprintable()):
        raise ValueError('invalid text')
    return value


def index_part(tree: model.Tree) -> model.Part:
    """Return the part that references all parts of ``tree``."""
    shards = {
        str(number): part.digest for number, part in tree.shards.items()}
    return parts.new_part({
        'common': parts.new_part(tree.common).digest,
        'shard_count': parts.SHARD_COUNT,
        'shards': shards,
    })


def decode_index(part: model.Part) -> Index:
    """Return the index decoded from its part; raises ``PartCorrupt``."""
    body = parts.decode_part(part)
    try:
        if body['shard_count'] != parts.SHARD_COUNT:
            raise exceptions.PartCorrupt('unexpected number of shards')
        shards = {
            int(number): _text(digest)
            for number, digest in body['shards'].items()}
        if not all(0 <= number < parts.SHARD_COUNT for number in shards):
            raise exceptions.PartCorrupt('unexpected shard')
        return Index(_text(body['common']), shards)
    except decoding.DECODING_ERRORS as exc:
        raise exceptions.PartCorrupt(f'index: {exc!r}') from exc


def delta_part(delta: Delta) -> model.Part:
    """Return a delta encoded as a part; raises ``PartTooLarge``."""
    return parts.new_part({
        'generation': delta.generation,
        'batch': batches.encode_batch(delta.batch),
        'index': delta.index,
        'parent': delta.parent,
    })


def decode_delta(part: model.Part) -> Delta:
    """Return the delta decoded from its part; raises ``PartCorrupt``."""
    body = parts.decode_part(part)
    try:
        batch = batches.decode_batch(body['batch'])
        return Delta(
            _generation(body['generation']), batch, _text(body['index']),
            _text(body['parent']))
    except decoding.DECODING_ERRORS as exc:
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
    existing = {part.digest for part in before.shards.values()}
    changed = [
        part for part in after.shards.values()
        if part.digest not in existing]
    if after.common is not before.common:
        changed.append(parts.new_part(after.common))
    return (*changed, index_part(after))


def _append_recent(
    head: Head | None, entry: RecentBatch,
) -> tuple[RecentBatch, ...]:
    earlier = head.recent_batches if head else ()
    return (*earlier, entry)[-RECENT_BATCHES:]


def prepare(
    tree: model.Tree, head: Head | None, batch: batches.Batch,
) -> Result[PreparedCommit, batches.Faults]:
    """Return what to write to commit ``batch`` on top of ``head``.

    ``tree`` is the generation of ``head``, or the empty tree if there is
    no head yet.
    """
    applied = batches.apply_batch(tree, batch)
    if applied.is_err():
        return Err(applied.unwrap_err())
    after = applied.unwrap()
    changed = new_parts(tree, after)
    index = changed[-1].digest
    parent = head.recent_batches[-1].delta_digest if head else ''
    delta = Delta(after.generation, batch, index, parent)
    try:
        stored = delta_part(delta)
    except exceptions.PartTooLarge as exc:
        return Err((model.SettingsFault(
            batches.TOO_LARGE, (), None, str(exc),
            'split the batch; each smaller batch takes effect separately'),))
    entry = RecentBatch(after.generation, batch.id, stored.digest)
    new_head = Head(
        after.generation, batch.id, index, _append_recent(head, entry))
    return Ok(PreparedCommit(after, new_head, delta, (*changed, stored)))


def apply_delta(tree: model.Tree, delta: Delta) -> Result[model.Tree, str]:
    """Return the generation after ``tree``, or why the delta can't apply.

    On an error a follower must load the whole tree.
    """
    if delta.generation != tree.generation + 1:
        return Err(f'delta is generation {delta.generation}, the tree '
                   f'is {tree.generation}')
    try:
        after = batches.apply_unchecked(tree, delta.batch)
        reached = index_part(after).digest
    except exceptions.ConfError as exc:
        return Err(str(exc))
    if reached != delta.index:
        return Err('the tree after the delta does not match its index digest')
    return Ok(after)


def missing_parts(
    index: Index, local: model.Tree | None,
) -> frozenset[str]:
    """Return the digests to fetch in order to assemble ``index``."""
    known = set()
    if local is not None:
        known = {part.digest for part in local.shards.values()}
        known.add(parts.new_part(local.common).digest)
    return frozenset({index.common, *index.shards.values()} - known)


def assemble(
    generation: int,
    index: Index,
    fetched: Mapping[str, model.Part],
    local: model.Tree | None = None,
) -> model.Tree:
    """Return the tree of ``index`` from fetched parts and those of ``local``.

    Raises ``PartCorrupt`` if a part is missing or damaged.
    """
    known = dict(tree_parts(local)) if local is not None else {}
    known.update(fetched)
    try:
        common = parts.decode_part(known[index.common])
        shards = {
            number: known[digest] for number, digest in index.shards.items()}
    except KeyError as exc:
        raise exceptions.PartCorrupt(f'part {exc} is missing') from exc
    return trees.load_tree(generation, common, shards)


def accepted_batch(delta: Delta) -> merging.AcceptedBatch:
    """Return the accepted batch of a delta, as a merge needs it."""
    return merging.AcceptedBatch(delta.generation, delta.batch)


def find_delta_digest(head: Head, generation: int) -> str | None:
    """Return the digest of a generation's delta; None if not listed."""
    for entry in head.recent_batches:
        if entry.generation == generation:
            return entry.delta_digest
    return None
