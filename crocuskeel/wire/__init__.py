"""Schema and codecs of the messages between entry hosts."""

from crocuskeel.wire.codec import from_frame
from crocuskeel.wire.codec import to_frame
from crocuskeel.wire.exceptions import AuthenticationError
from crocuskeel.wire.exceptions import BadMessage
from crocuskeel.wire.exceptions import WireError
from crocuskeel.wire.exceptions import WrongRecipient
from crocuskeel.wire.seal import MAX_SEALED_BYTES
from crocuskeel.wire.seal import open_sealed
from crocuskeel.wire.seal import seal

__all__ = ["AuthenticationError", "BadMessage", "MAX_SEALED_BYTES",
           "WireError", "WrongRecipient", "from_frame", "open_sealed", "seal",
           "to_frame"]
