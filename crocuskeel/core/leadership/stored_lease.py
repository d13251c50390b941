"""The lease as the store holds it, checked field by field."""

import dataclasses
import json
import typing

from crocuskeel.core import revisions
from crocuskeel import decoding

__all__ = ["StoredLease", "decode", "encode"]

_UNKNOWN_SPAN_S = 60.0
# Bounds of what an object may claim.
_MAX_SPAN_S = 3600.0
_MAX_COUNT = 2 ** 63 - 1
_MAX_NAME_CHARS = 253


@dataclasses.dataclass(frozen=True, slots=True)
class StoredLease:
    """The lease object; ``nonce`` is empty after a release.

    ``era`` is the store's era that the record is of; None if the writer ran
    a version of this program without eras.
    """

    holder: str
    nonce: str
    renewals: int
    span_s: float
    order_s: float
    record: typing.Any = None
    era: int | None = None


def encode(stored):
    """Return the object's text, bytes."""
    return json.dumps(dataclasses.asdict(stored)).encode()


def decode(body):
    """Return the StoredLease of an object's text.

    The writer of one that can't be read may act as the holder for a long
    span.
    """
    try:
        doc = decoding.loads(body)
        return StoredLease(
            _text(doc["holder"]), _text(doc["nonce"]),
            _integer(doc["renewals"], -_MAX_COUNT, _MAX_COUNT),
            _span_s(doc["span_s"]), _span_s(doc["order_s"]), doc.get("record"),
            _era(doc.get("era")))
    except decoding.DECODING_ERRORS:
        return StoredLease("?", "?", 0, _UNKNOWN_SPAN_S, _UNKNOWN_SPAN_S)


def _text(value):
    """Return a text that is checked; hosts tell each other the holder."""
    if not (isinstance(value, str) and len(value) <= _MAX_NAME_CHARS
            and value.isprintable()):
        raise ValueError("invalid text")
    return value


def _integer(value, least, most):
    if type(value) is not int or not least <= value <= most:
        raise ValueError("invalid number")
    return value


def _span_s(value):
    if type(value) not in (int, float) or not 0 <= value <= _MAX_SPAN_S:
        raise ValueError("invalid span")
    return float(value)


def _era(value):
    return None if value is None else _integer(value, 0, revisions.MAX_ERA)
