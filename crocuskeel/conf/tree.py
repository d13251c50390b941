"""Construction of trees, and conversion of trees to documents.

A tree keeps its workspaces compressed and decodes a shard when one of its
workspaces is requested. Decoded shards and resolved policies are kept in
bounded LRU caches: a daemon must not keep 18,000 workspaces resolved.
Decoded shards are content-addressed and so are shared from one generation
to the next; resolved policies are not, as each includes its generation.
"""

import functools
from typing import Any
from typing import Callable
from typing import Iterator
from typing import Mapping

from crocuskeel.conf import model
from crocuskeel.conf import parts
from crocuskeel.conf import resolving
from crocuskeel.conf import tokens

MAX_DECODED_SHARDS = 16
MAX_CACHED_POLICIES = 2048
MAX_CACHED_CALLERS = 2048

Decode = Callable[[model.Part], Mapping[str, Any]]


def new_decoder(shards: int = MAX_DECODED_SHARDS) -> Decode:
    """Return a decoder of parts with an LRU cache."""
    return functools.lru_cache(maxsize=shards)(parts.decode_part)


def new_tree(
    generation: int,
    common: Mapping[str, Any],
    shards: Mapping[int, model.Part],
    index: bytes,
    decode: Decode,
) -> model.Tree:
    """Return a tree with its own cache of policies and callers."""
    lookups = resolving.new_lookups(
        generation, common, shards, index, decode,
        MAX_CACHED_POLICIES, MAX_CACHED_CALLERS)
    return model.Tree(generation, common, shards, index, decode, lookups)


def empty_tree() -> model.Tree:
    """Return the tree of generation 0, without any settings."""
    return new_tree(0, {}, {}, b'', new_decoder())


def load_tree(
    generation: int,
    common: Mapping[str, Any],
    shards: Mapping[int, model.Part],
) -> model.Tree:
    """Return a tree from stored parts; raises ``PartCorrupt``."""
    decode = new_decoder()
    entries = (
        entry
        for number, part in shards.items()
        for entry in tokens.pack_entries(number, parts.decode_part(part))
    )
    index = tokens.new_index(entries)
    return new_tree(generation, common, dict(shards), index, decode)


def from_document(document: Mapping[str, Any], generation: int) -> model.Tree:
    """Return the tree of a whole validated document."""
    common = {
        key: value for key, value in document.items() if key != 'workspaces'}
    grouped: dict[int, dict[str, Any]] = {}
    for name, body in document.get('workspaces', {}).items():
        grouped.setdefault(parts.shard_of(name), {})[name] = body
    shards = {
        number: parts.new_part(group) for number, group in grouped.items()}
    return load_tree(generation, common, shards)


def shard_document(tree: model.Tree, number: int) -> Mapping[str, Any]:
    """Return the workspaces of one shard by name; read-only."""
    part = tree.shards.get(number)
    return tree.decode(part) if part else {}


def workspaces(tree: model.Tree) -> Iterator[tuple[str, Mapping[str, Any]]]:
    """Yield each workspace's name and stored overrides."""
    for part in tree.shards.values():
        yield from parts.decode_part(part).items()


def to_document(tree: model.Tree) -> dict[str, Any]:
    """Return the whole document; large if there are many workspaces."""
    document = dict(tree.common)
    found = dict(sorted(workspaces(tree)))
    if found:
        document['workspaces'] = found
    return document
