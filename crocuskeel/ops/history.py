"""The log of committed batches, and the edits that revert one of them."""

import dataclasses

from crocuskeel import conf
from crocuskeel.conf import batches
from crocuskeel.conf import merging
from crocuskeel.conf import parts as conf_parts
from crocuskeel.conf import storage
from crocuskeel.conf import tree as trees
from crocuskeel.ops import store
from result import Err
from result import Ok

__all__ = ["Entry", "Log", "Reversal", "log", "reversal"]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A committed batch; ``at`` is the Unix time by its author's clock.

    ``edits`` are in their JSON form.
    """

    generation: int
    batch_id: str
    author: str
    at: float
    base_generation: int
    edits: tuple[dict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Batches, newest first.

    ``unread`` lists generations whose batch could not be read now.
    """

    generation: int
    entries: tuple[Entry, ...]
    unread: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Reversal:
    """The edits, in their JSON form, that revert a generation.

    They are to be sent as a batch based on ``base_generation``, so that
    later edits of the same values are reported as conflicts instead of
    being overwritten.
    """

    generation: int
    base_generation: int
    edits: tuple[dict, ...]


async def log(daemon, client, limit):
    """Return the :class:`Log` of at most ``limit`` batches."""
    entries = []
    unread = []
    for recent in _recent(daemon)[:limit]:
        delta = await _delta(daemon, client, recent.delta_digest)
        if delta is None:
            unread.append(recent.generation)
        else:
            entries.append(_entry(delta))
    tree = daemon.follower.tree
    return Log(tree.generation, tuple(entries), tuple(unread))


async def reversal(daemon, client, generation):
    """Return Ok of the :class:`Reversal` or Err of an error message."""
    found = [each for each in _recent(daemon)
             if each.generation == generation]
    if not found:
        return Err(f"generation {generation} is not among the last "
                   f"{storage.RECENT_BATCHES}; revert it by sending edits")
    delta = await _delta(daemon, client, found[0].delta_digest)
    if delta is None:
        return Err(f"the batch of generation {generation} can't be read "
                   "now; try again")
    before = await _tree_before(daemon, client, delta)
    if before is None:
        return Err(f"the settings before generation {generation} can't "
                   "be read now; try again")
    edits = merging.reversal(before, delta.batch)
    return Ok(Reversal(generation, generation, tuple(
        batches.encode_edit(edit) for edit in edits)))


def _recent(daemon):
    if not daemon.follower.encoded_head:
        return ()
    head = storage.decode_head(daemon.follower.encoded_head)
    return tuple(reversed(head.recent_batches))


def _entry(delta):
    batch = delta.batch
    return Entry(
        delta.generation, batch.id, batch.author, batch.created_at,
        batch.base_generation,
        tuple(batches.encode_edit(edit) for edit in batch.edits))


async def _delta(daemon, client, digest):
    part = daemon.follower.deltas.get(digest)
    if part is None and client is not None:
        part = await store.read_part(client, digest)
    return _decode_or_none(storage.decode_delta, part)


async def _tree_before(daemon, client, delta):
    """Return the tree before a batch, None if it could not be read.

    Only the shards that the batch changed are loaded: the others can't
    be part of its reversal.
    """
    if not delta.parent:
        return conf.empty_tree()
    parent = await _delta(daemon, client, delta.parent)
    if client is None or parent is None:
        return None
    part = await store.read_part(client, parent.index)
    index = _decode_or_none(storage.decode_index, part)
    if index is None:
        return None
    common = _decode_or_none(conf_parts.decode_part,
                             await store.read_part(client, index.common))
    if common is None:
        return None
    shards = {}
    for number in _changed_shards(delta.batch):
        if number in index.shards:
            shard = await store.read_part(client, index.shards[number])
            if shard is None:
                return None
            shards[number] = shard
    return trees.load_tree(delta.generation - 1, common, shards)


def _changed_shards(batch):
    return sorted({conf_parts.shard_of(edit.path[1])
                   for edit in batch.edits
                   if edit.path[0] == "workspaces"})


def _decode_or_none(decode, part):
    if part is None:
        return None
    try:
        return decode(part)
    except conf.PartCorrupt:
        return None
