"""The ledger of claims that runs non-repeatable requests at most once."""

from crocuskeel.core.claims.ledger import key_digest
from crocuskeel.core.claims.ledger import Outcome
from crocuskeel.core.claims.ledger import slot_of
from crocuskeel.core.claims.reducer import COMPONENT
from crocuskeel.core.claims.reducer import handle
from crocuskeel.core.claims.state import ClaimsConfig
from crocuskeel.core.claims.state import ClaimsState
from crocuskeel.core.claims.state import new_state
from crocuskeel.core.claims.state import slot_owner

__all__ = [
    "COMPONENT", "ClaimsConfig", "ClaimsState", "Outcome", "handle",
    "key_digest", "new_state", "slot_of", "slot_owner",
]
