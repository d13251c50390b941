"""Encoding of settings into immutable, content-addressed parts.

A part's name is the SHA-256 of its canonical JSON. Workspaces are spread
over a fixed number of shards by a hash of their name, so that an edit of
one workspace rewrites one small part.
"""

import hashlib
import json
from typing import Any
import zlib

import xxhash

from crocuskeel.conf import exceptions
from crocuskeel.conf import model

SHARDS = 256
# The platform holds values up to a megabyte; the rest is for its envelope.
MAX_BLOB = 900_000
MAX_PLAIN = 16_000_000
_LEVEL = 6


def canonical(value: Any) -> bytes:
    """Return the one JSON text of ``value``: sorted, compact, UTF-8."""
    text = json.dumps(
        value, allow_nan=False, ensure_ascii=False, separators=(',', ':'),
        sort_keys=True)
    return text.encode()


def new_part(value: Any) -> model.Part:
    """Encode ``value``; raises ``PartTooLarge``."""
    plain = canonical(value)
    blob = zlib.compress(plain, _LEVEL)
    if len(blob) > MAX_BLOB or len(plain) > MAX_PLAIN:
        raise exceptions.PartTooLarge(
            f'{len(blob)} bytes compressed of {MAX_BLOB}, '
            f'{len(plain)} plain of {MAX_PLAIN}')
    return model.Part(hashlib.sha256(plain).hexdigest(), blob)


def decode_part(part: model.Part) -> Any:
    """Return the value of ``part``, checked against its digest.

    Raises ``PartCorrupt``: a blob from a peer or the platform that is
    damaged must never be judged by, and a small one that inflates without
    end must not fill the memory.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(part.blob, MAX_PLAIN)
    except zlib.error as exc:
        raise exceptions.PartCorrupt(str(exc)) from exc
    if not inflater.eof:
        raise exceptions.PartCorrupt('blob is cut off or too large')
    if hashlib.sha256(plain).hexdigest() != part.digest:
        raise exceptions.PartCorrupt(f'blob is not part {part.digest}')
    return json.loads(plain)


def shard_of(workspace: str) -> int:
    """Return the number of the shard that holds ``workspace``."""
    return xxhash.xxh64_intdigest(workspace.encode()) % SHARDS
