"""Errors of the wire layer."""

__all__ = ["AuthenticationError", "BadMessage", "WireError", "WrongRecipient"]


class WireError(Exception):
    """Base class of the wire layer's errors."""


class AuthenticationError(WireError):
    """The authentication code is invalid: the sender lacks the key."""


class WrongRecipient(WireError):
    """The message is for another deployment or receiver."""


class BadMessage(WireError):
    """The message can't be decoded with this schema."""
