"""Errors of the runtime."""

__all__ = ["BadRequest", "BadSettingsFile", "LinkRefused",
           "RuntimeLayerError", "TooLarge"]


class RuntimeLayerError(Exception):
    """Base of the runtime's errors."""


class BadSettingsFile(RuntimeLayerError):
    """The process settings file can't be used; the text says where."""


class BadRequest(RuntimeLayerError):
    """A caller's request can't be understood."""


class TooLarge(RuntimeLayerError):
    """A caller's request is over a size limit."""


class LinkRefused(RuntimeLayerError):
    """A peer's batch can't be taken: key, deployment or sequence."""
