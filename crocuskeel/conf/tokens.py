"""A packed, sorted index from token hashes to shards.

An entry is ten bytes: the first eight of the token's SHA-256 and two of
the shard's number. 18,000 tokens take 180 kB, where a dict of their full
hashes takes some megabytes. The reader compares the whole hash in the
shard, so two hashes with the same eight bytes do no harm.
"""

import bisect
from typing import Iterable
from typing import Iterator
from typing import Mapping

_PREFIX = 8
_ENTRY = 10


def pack(shard: int, workspaces: Mapping) -> Iterator[bytes]:
    """Yield one entry for each token of ``workspaces`` (name to body)."""
    for body in workspaces.values():
        for token in body.get('tokens', ()):
            prefix = bytes.fromhex(token['sha256'])[:_PREFIX]
            yield prefix + shard.to_bytes(_ENTRY - _PREFIX, 'big')


def _entries(index: bytes) -> Iterator[bytes]:
    for at in range(0, len(index), _ENTRY):
        yield index[at:at + _ENTRY]


def new_index(entries: Iterable[bytes]) -> bytes:
    """Return the index of ``entries``."""
    return b''.join(sorted(entries))


def replace(index: bytes, shards: frozenset, new: Iterable[bytes]) -> bytes:
    """Return ``index`` with the entries of ``shards`` replaced."""
    kept = (
        entry for entry in _entries(index)
        if int.from_bytes(entry[_PREFIX:], 'big') not in shards
    )
    return new_index([*kept, *new])


def find_shards(index: bytes, sha256: str) -> tuple[int, ...]:
    """Return the shards that may hold the token with this hex hash."""
    try:
        prefix = bytes.fromhex(sha256)[:_PREFIX]
    except ValueError:
        return ()
    if len(prefix) < _PREFIX:
        return ()
    count = len(index) // _ENTRY

    def prefix_at(number: int) -> bytes:
        at = number * _ENTRY
        return index[at:at + _PREFIX]

    first = bisect.bisect_left(range(count), prefix, key=prefix_at)
    found = []
    while first < count and prefix_at(first) == prefix:
        at = first * _ENTRY + _PREFIX
        found.append(int.from_bytes(index[at:at + 2], 'big'))
        first += 1
    return tuple(found)
