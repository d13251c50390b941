"""The ledger of one slot: its entries, its judgement, its stored form.

A ledger says who holds which key. It is stored as JSON lines: a header,
then one line an entry. Entries are never dropped for want of room, only
by age, counted in the ledger's own epochs: see :func:`age`.
"""

import base64
import dataclasses
import enum
import hashlib
import json

import xxhash

__all__ = [
    "BadLedger", "Entry", "Ledger", "Outcome", "Verdict", "age", "claim",
    "copy", "decode", "empty", "encode", "judge", "key_digest",
    "settle", "slot_of",
]

_FORMAT = 1
_KEY_BYTES = 16
_DIGEST_CHARS = 16


class BadLedger(ValueError):
    """The stored ledger can't be read; no claim may rest on it."""


class Outcome(enum.StrEnum):
    """What is known of a claimed request.

    NOT_RUN is never stored: it frees the key.
    """

    CLAIMED = "claimed"
    RAN = "ran"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class Verdict(enum.Enum):
    """Judgement of an ask against a ledger."""

    FREE = "free"
    HELD = "held"
    DUPLICATE = "duplicate"
    MISMATCH = "mismatch"
    TOO_OLD = "too_old"
    FULL = "full"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One claimed key; ``line`` is its stored form.

    ``rid``, ``host`` and ``incarnation`` are the attempt that holds it.
    ``issued_at`` is the caller's issue time of the key in Unix seconds,
    0 for an undated key.
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
    """Entries at one version of the object; 0: there is no object.

    ``floor`` is the latest issue time among all entries ever dropped;
    ``size`` is the length of all lines in bytes.
    """

    version: int
    epoch: int
    floor: float
    entries: dict[str, Entry]
    size: int = 0


# Keys.

def key_digest(workspace, caller, key):
    """Return the digest that names a caller's key in the ledgers."""
    named = json.dumps([workspace, caller, key]).encode()
    raw = hashlib.sha256(named).digest()[:_KEY_BYTES]
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def slot_of(key, slots):
    """Return the slot of a key digest, 0 to ``slots`` - 1."""
    return xxhash.xxh3_64_intdigest(key.encode()) % slots


# Stored form.

def empty():
    """Return the ledger of a slot that has no object yet."""
    return Ledger(version=0, epoch=0, floor=0.0, entries={})


def copy(ledger):
    """Return a copy to be changed; entries are shared."""
    return dataclasses.replace(ledger, entries=dict(ledger.entries))


def encode(ledger, nonce):
    """Return the stored form; ``nonce`` names the commit."""
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
        head = json.loads(header)
        if head["format"] != _FORMAT:
            raise BadLedger(f"format {head['format']}")
        entries = [_entry_of(line) for line in lines]
        return Ledger(
            version=version, epoch=int(head["epoch"]),
            floor=float(head["floor"]),
            entries={each.key: each for each in entries},
            size=sum(len(line) + 1 for line in lines))
    except (KeyError, TypeError, ValueError) as exc:
        raise BadLedger(str(exc)) from exc


def _entry_of(line):
    (key, digest, rid, host, incarnation, epoch, issued_at,
     outcome) = json.loads(line)
    return Entry(key, digest, rid, host, incarnation, epoch, issued_at,
                 Outcome(outcome), line)


def _with_line(entry):
    line = json.dumps(
        [entry.key, entry.digest, entry.rid, entry.host,
         entry.incarnation, entry.epoch, entry.issued_at,
         entry.outcome], separators=(",", ":")).encode()
    return dataclasses.replace(entry, line=line)


# Judgement and changes.

def judge(ledger, ask, max_bytes):
    """Judge a claim; FREE means that it may be appended.

    HELD: the very same attempt holds the key and has not ended.
    """
    entry = ledger.entries.get(ask.key)
    if entry is None:
        return _judge_new(ledger, ask, max_bytes)
    if entry.digest != ask.digest[:_DIGEST_CHARS]:
        return Verdict.MISMATCH
    holder = (entry.rid, entry.host, entry.incarnation)
    same = holder == (ask.rid, ask.host, ask.incarnation)
    if same and entry.outcome is Outcome.CLAIMED:
        return Verdict.HELD
    return Verdict.DUPLICATE


def _judge_new(ledger, ask, max_bytes):
    # Without this a key whose entry was dropped by age would look new
    # and run a second time. Any dropped key was issued at the floor or
    # before, whatever the clocks of callers and hosts say.
    if ask.issued_at and ask.issued_at <= ledger.floor:
        return Verdict.TOO_OLD
    if ledger.size + _room(ask) > max_bytes:
        return Verdict.FULL
    return Verdict.FREE


def _new_entry(ledger, ask):
    return _with_line(Entry(
        key=ask.key, digest=ask.digest[:_DIGEST_CHARS], rid=ask.rid,
        host=ask.host, incarnation=ask.incarnation, epoch=ledger.epoch,
        issued_at=ask.issued_at, outcome=Outcome.CLAIMED))


def _room(ask):
    """Bytes a new entry may take, generously."""
    return 160 + len(ask.rid) + len(ask.host)


def claim(ledger, ask):
    """Append the entry of an ask that was judged FREE."""
    entry = _new_entry(ledger, ask)
    ledger.entries[ask.key] = entry
    ledger.size += len(entry.line) + 1


def settle(ledger, key, rid, outcome):
    """Record the outcome of the attempt ``rid``; say if that changed it.

    Only the holder's own attempt can be settled, and RAN is final.
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
    settled = _with_line(dataclasses.replace(entry, outcome=outcome))
    ledger.entries[key] = settled
    ledger.size += len(settled.line) + 1
    return True


def age(ledger, kept_epochs):
    """Begin the next epoch; drop what is ``kept_epochs`` behind it."""
    ledger.epoch += 1
    oldest = ledger.epoch - kept_epochs
    dropped = [each for each in ledger.entries.values()
               if each.epoch < oldest]
    for each in dropped:
        del ledger.entries[each.key]
        ledger.size -= len(each.line) + 1
        ledger.floor = max(ledger.floor, each.issued_at)
