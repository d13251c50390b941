"""Errors of the runtime."""

__all__ = ["BadRequest", "LinkRefused", "RuntimeLayerError",
           "SettingsFileError", "TooLarge"]


class RuntimeLayerError(Exception):
    """Base class of the runtime's errors."""


class SettingsFileError(RuntimeLayerError):
    """The process settings file is invalid; the message says where."""


class BadRequest(RuntimeLayerError):
    """A caller's request is malformed."""


class TooLarge(RuntimeLayerError):
    """A caller's request exceeds a size limit."""


class LinkRefused(RuntimeLayerError):
    """A peer's batch has a wrong key, deployment, sender or sequence."""
