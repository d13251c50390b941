"""Encoding of settings into immutable, content-addressed parts.

A part is named by the SHA-256 of its canonical JSON. Workspaces are
distributed over a fixed number of shards by a hash of their name, so that
an edit of one workspace rewrites one small part.
"""

import hashlib
import json
from typing import Any
import zlib

import xxhash

from crocuskeel.conf import exceptions
from crocuskeel.conf import model
from crocuskeel import decoding

SHARD_COUNT = 256
# The platform stores values up to 1 MB; the rest is for its envelope.
MAX_BLOB_BYTES = 900_000
MAX_PLAIN_BYTES = 16_000_000
_COMPRESSION_LEVEL = 6


def canonical_json(value: Any) -> bytes:
    """Return the canonical JSON of ``value``: sorted, compact, UTF-8."""
    text = json.dumps(
        value, allow_nan=False, ensure_ascii=False, separators=(',', ':'),
        sort_keys=True)
    return text.encode()


def new_part(value: Any) -> model.Part:
    """Return ``value`` encoded as a part; raises ``PartTooLarge``."""
    plain = canonical_json(value)
    blob = zlib.compress(plain, _COMPRESSION_LEVEL)
    if len(blob) > MAX_BLOB_BYTES or len(plain) > MAX_PLAIN_BYTES:
        raise exceptions.PartTooLarge(
            f'{len(blob)} bytes compressed (limit {MAX_BLOB_BYTES}), '
            f'{len(plain)} uncompressed (limit {MAX_PLAIN_BYTES})')
    return model.Part(hashlib.sha256(plain).hexdigest(), blob)


def decode_part(part: model.Part) -> Any:
    """Return the value of ``part``, checked against its digest.

    Raises ``PartCorrupt``. A damaged blob from a peer or the platform must
    never be used as settings, and a small blob that decompresses to an
    unbounded size must not exhaust memory.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(part.blob, MAX_PLAIN_BYTES)
    except zlib.error as exc:
        raise exceptions.PartCorrupt(str(exc)) from exc
    if not inflater.eof:
        raise exceptions.PartCorrupt('blob is truncated or too large')
    if hashlib.sha256(plain).hexdigest() != part.digest:
        raise exceptions.PartCorrupt(
            f'blob does not match digest {part.digest}')
    try:
        return decoding.loads(plain)
    except ValueError as exc:
        raise exceptions.PartCorrupt(f'not JSON: {exc}') from exc


def shard_of(workspace: str) -> int:
    """Return the number of the shard that holds ``workspace``."""
    return xxhash.xxh64_intdigest(workspace.encode()) % SHARD_COUNT
