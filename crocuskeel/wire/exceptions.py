"""Errors of the wire layer."""

__all__ = ["BadCode", "BadMessage", "OtherDeployment", "WireError"]


class WireError(Exception):
    """Base of the wire layer's errors."""


class BadCode(WireError):
    """The keyed message code does not match: not one of our hosts."""


class OtherDeployment(WireError):
    """The message belongs to another deployment or receiver."""


class BadMessage(WireError):
    """The bytes are not a message of this schema."""
