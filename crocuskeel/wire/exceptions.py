"""Errors of the wire layer."""

__all__ = ["BadCode", "BadMessage", "OtherDeployment", "WireError"]


class WireError(Exception):
    """Base class of the wire layer's errors."""


class BadCode(WireError):
    """The authentication code is invalid: the sender lacks the key."""


class OtherDeployment(WireError):
    """The message is for another deployment or receiver."""


class BadMessage(WireError):
    """The message can't be decoded with this schema."""
