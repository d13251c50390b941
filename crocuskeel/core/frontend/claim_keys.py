"""Maps a request to the ledger key, slot and host of its claim."""

from crocuskeel.core import claims
from crocuskeel.core import membership

__all__ = ["key_of", "owner_of", "slot_of"]


def key_of(scope):
    """Return the ledger key of an Idempotency-Key.

    ``scope`` is workspace, caller and Idempotency-Key, so that callers
    can't reach each other's claims.
    """
    return claims.key_digest(*scope)


def slot_of(daemon, key):
    """Return the ledger slot of a claim key."""
    return claims.slot_of(key, daemon.claims.cfg.slots)


def owner_of(daemon, key):
    """Return the host that records the claims of the key's slot."""
    slot = slot_of(daemon, key)
    return claims.slot_owner(slot, membership.live(daemon))
