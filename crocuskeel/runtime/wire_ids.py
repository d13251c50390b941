"""Ids of attempts on the engines' wire, and of stream events.

``{rid}.{attempt}.{engine}.{proof}`` names an attempt and ``:{n}`` one
of its events. The proof is a keyed code over workspace, caller and rid:
any host can tell whether a resuming caller is the one who began.
"""

import dataclasses

from cryptography.hazmat.primitives import constant_time
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import hmac

__all__ = ["WireId", "attempt_id", "parse_event_id", "proof", "proves"]

_PROOF_BYTES = 12
_RID_PARTS = 3
_MAX_CHARS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class WireId:
    """An event id of a stream, parsed; ``after`` is the event."""

    rid: str
    attempt: int
    engine: str
    proof: str
    after: int

    @property
    def request_id(self):
        """The attempt's id as the engine knows it."""
        return attempt_id(self.rid, self.attempt, self.engine, self.proof)


def attempt_id(rid, attempt, engine, code):
    """Return the ``X-Request-Id`` of an attempt."""
    return f"{rid}.{attempt}.{engine}.{code}"


def proof(key, workspace, caller, rid):
    """Return the code that ties a rid to its caller, hex."""
    code = hmac.HMAC(key, hashes.SHA256())
    code.update("\0".join((workspace, caller, rid)).encode())
    return code.finalize()[:_PROOF_BYTES].hex()


def proves(key, identity, wire_id):
    """Tell whether the stream of ``wire_id`` is this caller's."""
    want = proof(key, identity.workspace, identity.caller, wire_id.rid)
    return constant_time.bytes_eq(want.encode(), wire_id.proof.encode())


def parse_event_id(text):
    """Return the :class:`WireId` of an event id, None if it is none.

    Host names have no dots; an engine's name may have some.
    """
    if len(text) > _MAX_CHARS:
        return None
    name, _, number = text.rpartition(":")
    parts = name.split(".")
    if len(parts) < _RID_PARTS + 3 or not number.isdecimal():
        return None
    if not parts[_RID_PARTS].isdecimal():
        return None
    return WireId(
        rid=".".join(parts[:_RID_PARTS]), attempt=int(parts[_RID_PARTS]),
        engine=".".join(parts[_RID_PARTS + 1:-1]), proof=parts[-1],
        after=int(number))
