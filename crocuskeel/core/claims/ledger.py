"""The ledger of a slot: its entries, checks and stored form.

A ledger records which attempt holds which key. It is stored as JSON
lines: a header, then one line per entry. Entries are never dropped for
lack of space, only by age, counted in the ledger's own epochs: see
:func:`advance_epoch`.
"""

import base64
import dataclasses
import enum
import hashlib
import json

import xxhash

__all__ = [
    "Entry", "InvalidLedger", "Ledger", "Outcome", "Verdict", "add_claim",
    "advance_epoch", "check", "copy", "decode", "empty", "encode",
    "key_digest", "settle", "slot_of",
]

_FORMAT = 1
_KEY_BYTES = 16
_DIGEST_CHARS = 16


class InvalidLedger(ValueError):
    """The stored ledger can't be parsed; no claim may be based on it."""


class Outcome(enum.StrEnum):
    """What is known about a claimed request.

    NOT_RUN is never stored: it frees the key.
    """

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class Verdict(enum.Enum):
    """Result of checking a request against a ledger."""

    FREE = "free"
    HELD = "held"
    DUPLICATE = "duplicate"
    MISMATCH = "mismatch"
    TOO_OLD = "too_old"
    FULL = "full"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One claimed key; ``line`` is its stored form.

    ``rid``, ``host`` and ``incarnation`` identify the attempt that holds
    it. ``issued_at`` is when the caller issued the key, in Unix seconds,
    or 0 for an undated key.
    """

    key: str
    digest: str
    rid: str
    host: str
    incarnation: int
    epoch: int
    issued_at: float
    outcome: Outcome
    line: bytes = b""


@dataclasses.dataclass(slots=True)
class Ledger:
    """Entries at one version of the stored object; 0 if there is none.

    ``floor`` is the latest issue time of all entries ever dropped;
    ``size`` is the length of all lines in bytes.
    """

    version: int
    epoch: int
    floor: float
    entries: dict[str, Entry]
    size: int = 0


# Keys.

def key_digest(workspace, caller, key):
    """Return the digest that identifies a caller's key in the ledgers."""
    scope = json.dumps([workspace, caller, key]).encode()
    raw = hashlib.sha256(scope).digest()[:_KEY_BYTES]
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def slot_of(key, slots):
    """Return the slot of a key digest, 0 to ``slots`` - 1."""
    return xxhash.xxh3_64_intdigest(key.encode()) % slots


# Stored form.

def empty():
    """Return the ledger of a slot that has no object yet."""
    return Ledger(version=0, epoch=0, floor=0.0, entries={})


def copy(ledger):
    """Return a copy that may be changed; entries are shared."""
    return dataclasses.replace(ledger, entries=dict(ledger.entries))


def encode(ledger, nonce):
    """Return the stored form; ``nonce`` identifies the commit."""
    header = json.dumps({
        "format": _FORMAT, "epoch": ledger.epoch, "floor": ledger.floor,
        "commit": nonce})
    lines = [header.encode()]
    lines.extend(each.line for each in ledger.entries.values())
    return b"\n".join(lines)


def decode(version, body):
    """Return the ledger stored as ``body``; raise BadLedger."""
    try:
        header, *lines = body.split(b"\n")
        header_fields = json.loads(header)
        if header_fields["format"] != _FORMAT:
            raise InvalidLedger(f"format {header_fields['format']}")
        entries = [_decode_entry(line) for line in lines]
        return Ledger(
            version=version, epoch=int(header_fields["epoch"]),
            floor=float(header_fields["floor"]),
            entries={each.key: each for each in entries},
            size=sum(len(line) + 1 for line in lines))
    except (KeyError, TypeError, ValueError) as exc:
        raise InvalidLedger(str(exc)) from exc


def _decode_entry(line):
    (key, digest, rid, host, incarnation, epoch, issued_at,
     outcome) = json.loads(line)
    return Entry(key, digest, rid, host, incarnation, epoch, issued_at,
                 Outcome(outcome), line)


def _encode_entry(entry):
    line = json.dumps(
        [entry.key, entry.digest, entry.rid, entry.host,
         entry.incarnation, entry.epoch, entry.issued_at,
         entry.outcome], separators=(",", ":")).encode()
    return dataclasses.replace(entry, line=line)


# Checks and changes.

def check(ledger, request, max_bytes):
    """Check a request against the ledger.

    FREE: the claim may be appended. HELD: the same attempt holds the
    key and has not ended.
    """
    entry = ledger.entries.get(request.key)
    if entry is None:
        return _check_new(ledger, request, max_bytes)
    if entry.digest != request.digest[:_DIGEST_CHARS]:
        return Verdict.MISMATCH
    holder = (entry.rid, entry.host, entry.incarnation)
    same_attempt = holder == (request.rid, request.host, request.incarnation)
    if same_attempt and entry.outcome is Outcome.CLAIMED:
        return Verdict.HELD
    return Verdict.DUPLICATE


def _check_new(ledger, request, max_bytes):
    # Without this check, a key whose entry was dropped by age would
    # look new and run a second time. Every dropped key was issued at the
    # floor or before, whatever the clocks of callers and hosts.
    if request.issued_at and request.issued_at <= ledger.floor:
        return Verdict.TOO_OLD
    if ledger.size + _estimated_entry_bytes(request) > max_bytes:
        return Verdict.FULL
    return Verdict.FREE


def _new_entry(ledger, request):
    return _encode_entry(Entry(
        key=request.key, digest=request.digest[:_DIGEST_CHARS],
        rid=request.rid, host=request.host,
        incarnation=request.incarnation, epoch=ledger.epoch,
        issued_at=request.issued_at, outcome=Outcome.CLAIMED))


def _estimated_entry_bytes(request):
    """Return a generous estimate of a new entry's size in bytes."""
    return 160 + len(request.rid) + len(request.host)


def add_claim(ledger, request):
    """Append the entry of a request whose verdict is FREE."""
    entry = _new_entry(ledger, request)
    ledger.entries[request.key] = entry
    ledger.size += len(entry.line) + 1


def settle(ledger, key, rid, outcome):
    """Record the outcome of attempt ``rid``; return whether it is new.

    Only the attempt that holds the key can be settled, and RAN is final.
    """
    entry = ledger.entries.get(key)
    if entry is None or entry.rid != rid:
        return False
    if entry.outcome in (outcome, Outcome.RAN):
        return False
    ledger.size -= len(entry.line) + 1
    if outcome is Outcome.NOT_RUN:
        del ledger.entries[key]
        return True
    settled = _encode_entry(dataclasses.replace(entry, outcome=outcome))
    ledger.entries[key] = settled
    ledger.size += len(settled.line) + 1
    return True


def advance_epoch(ledger, kept_epochs):
    """Start the next epoch; drop entries ``kept_epochs`` behind it."""
    ledger.epoch += 1
    oldest = ledger.epoch - kept_epochs
    dropped = [each for each in ledger.entries.values()
               if each.epoch < oldest]
    for each in dropped:
        del ledger.entries[each.key]
        ledger.size -= len(each.line) + 1
        ledger.floor = max(ledger.floor, each.issued_at)
