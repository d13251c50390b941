"""The object of the store that holds crashes."""

from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import stored_crashes

__all__ = ["KIND", "NAME", "decode", "encode"]

KIND = "crocuskeel-crashes"
NAME = "main"
# Bounds of what an object may claim.
MAX_PARTS = 64
MAX_TEXT_CHARS = 512
MAX_WALL_MS = 2 ** 53
# What the look at an object of another form raises.
_INVALID = (AttributeError, KeyError, OverflowError, TypeError, ValueError)


def encode(crashes):
    """Return the content of an object that holds StoredCrash rows."""
    return {"Crashes": [
        {"Digest": row.digest, "Server": row.incarnation, "Sign": row.sign,
         "AtMs": round(row.wall_at * 1000), "Parts": list(row.parts)}
        for row in crashes]}


def decode(obj):
    """Return (StoredCrash rows, number of errors) of an object, or of None.

    What isn't of this form is left out, as are rows above the limit.
    """
    if obj is None:
        return (), 0
    try:
        found = obj["Spec"]["Crashes"]
    except _INVALID:
        return (), 1
    if not isinstance(found, list):
        return (), 1
    rows = []
    errors = max(0, len(found) - stored_crashes.MAX_ROWS)
    for each in found[:stored_crashes.MAX_ROWS]:
        try:
            rows.append(_decode_row(each))
        except _INVALID:
            errors += 1
    return tuple(rows), errors


def _decode_row(row):
    at_ms = row["AtMs"]
    if isinstance(at_ms, bool) or not 0 <= at_ms <= MAX_WALL_MS:
        raise ValueError("invalid AtMs")
    parts = row["Parts"]
    if not isinstance(parts, list) or len(parts) > MAX_PARTS:
        raise ValueError("invalid Parts")
    return stored_crashes.StoredCrash(
        _text(row["Digest"]), _text(row["Server"]),
        str(crash_records.Sign(row["Sign"])), at_ms / 1000,
        tuple(map(_text, parts)))


def _text(value):
    """Return a text that is checked; hosts hash it and send it to others."""
    if not (isinstance(value, str) and 0 < len(value) <= MAX_TEXT_CHARS
            and value.isprintable() and "\ufffd" not in value):
        raise ValueError("invalid text")
    return value
