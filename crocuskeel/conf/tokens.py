"""A packed, sorted index from token hashes to shards.

An entry is ten bytes: the first eight of the token's SHA-256 and two for
the shard number. 18,000 tokens take 180 kB, where a dict of their full
hashes takes some megabytes. The reader compares the full hash in the
shard, so hashes with the same first eight bytes are told apart there.
"""

import bisect
from typing import Iterable
from typing import Iterator
from typing import Mapping

_PREFIX_BYTES = 8
_ENTRY_BYTES = 10


def pack_entries(shard: int, workspaces: Mapping) -> Iterator[bytes]:
    """Yield one entry for each token of ``workspaces`` (bodies by name)."""
    for body in workspaces.values():
        for token in body.get('tokens', ()):
            prefix = bytes.fromhex(token['sha256'])[:_PREFIX_BYTES]
            yield prefix + shard.to_bytes(_ENTRY_BYTES - _PREFIX_BYTES, 'big')


def _entries(index: bytes) -> Iterator[bytes]:
    for start in range(0, len(index), _ENTRY_BYTES):
        yield index[start:start + _ENTRY_BYTES]


def new_index(entries: Iterable[bytes]) -> bytes:
    """Return the index of ``entries``."""
    return b''.join(sorted(entries))


def replace_entries(
    index: bytes, shards: frozenset, new: Iterable[bytes],
) -> bytes:
    """Return ``index`` with the entries of ``shards`` replaced."""
    kept = (
        entry for entry in _entries(index)
        if int.from_bytes(entry[_PREFIX_BYTES:], 'big') not in shards
    )
    return new_index([*kept, *new])


def find_shards(index: bytes, sha256: str) -> tuple[int, ...]:
    """Return the shards that may hold the token with this hex hash."""
    try:
        prefix = bytes.fromhex(sha256)[:_PREFIX_BYTES]
    except ValueError:
        return ()
    if len(prefix) < _PREFIX_BYTES:
        return ()
    count = len(index) // _ENTRY_BYTES

    def prefix_at(number: int) -> bytes:
        start = number * _ENTRY_BYTES
        return index[start:start + _PREFIX_BYTES]

    position = bisect.bisect_left(range(count), prefix, key=prefix_at)
    found = []
    while position < count and prefix_at(position) == prefix:
        start = position * _ENTRY_BYTES + _PREFIX_BYTES
        found.append(int.from_bytes(index[start:start + 2], 'big'))
        position += 1
    return tuple(found)
