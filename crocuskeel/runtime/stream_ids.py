"""Ids of attempts as sent to engines, and of stream events.

``{rid}.{attempt}.{engine}.{proof}`` identifies an attempt and ``:{n}``
one of its events. The proof is an HMAC over workspace, caller and rid,
with which any host can verify that a resuming caller started the stream.
"""

import dataclasses

from cryptography.hazmat.primitives import constant_time
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import hmac

__all__ = ["StreamEventId", "attempt_id", "parse_event_id", "proof",
           "proof_matches"]

_PROOF_BYTES = 12
_RID_PARTS = 3
_MAX_ID_CHARS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEventId:
    """A parsed stream event id; ``after`` is the event's number."""

    rid: str
    attempt: int
    engine: str
    proof: str
    after: int

    @property
    def request_id(self):
        """The attempt's id at the engine."""
        return attempt_id(self.rid, self.attempt, self.engine, self.proof)


def attempt_id(rid, attempt, engine, proof):
    """Return the ``X-Request-Id`` of an attempt."""
    return f"{rid}.{attempt}.{engine}.{proof}"


def proof(key, workspace, caller, rid):
    """Return the code that binds a rid to its caller, in hex."""
    mac = hmac.HMAC(key, hashes.SHA256())
    mac.update("\0".join((workspace, caller, rid)).encode())
    return mac.finalize()[:_PROOF_BYTES].hex()


def proof_matches(key, identity, event_id):
    """Return whether this caller started the stream of ``event_id``."""
    expected = proof(key, identity.workspace, identity.caller, event_id.rid)
    return constant_time.bytes_eq(expected.encode(), event_id.proof.encode())


def parse_event_id(text):
    """Return the :class:`StreamEventId` of a text, None if malformed.

    Host names have no dots; engine names may have some.
    """
    if len(text) > _MAX_ID_CHARS:
        return None
    stream, _, event = text.rpartition(":")
    parts = stream.split(".")
    if len(parts) < _RID_PARTS + 3 or not event.isdecimal():
        return None
    if not parts[_RID_PARTS].isdecimal():
        return None
    return StreamEventId(
        rid=".".join(parts[:_RID_PARTS]), attempt=int(parts[_RID_PARTS]),
        engine=".".join(parts[_RID_PARTS + 1:-1]), proof=parts[-1],
        after=int(event))
