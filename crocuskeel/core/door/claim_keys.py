"""Where the ledger keeps the claim of a request."""

from crocuskeel.core import claims
from crocuskeel.core import membership

__all__ = ["key_of", "owner_of", "slot_of"]


def key_of(scope):
    """Return the ledger's key: callers can't reach each other's.

    ``scope`` is workspace, caller and Idempotency-Key.
    """
    return claims.key_digest(*scope)


def slot_of(daemon, key):
    """Return the ledger slot of a claim key."""
    return claims.slot_of(key, daemon.claims.cfg.slots)


def owner_of(daemon, key):
    """Return the host that records claims of the key's slot."""
    slot = slot_of(daemon, key)
    return claims.owner_of(slot, membership.live(daemon))
