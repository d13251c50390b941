"""Exceptions of the operator API."""

__all__ = ["InvalidQueryError", "OpsError"]


class OpsError(Exception):
    """Base class of the operator API's exceptions."""


class InvalidQueryError(OpsError):
    """An operator's request is invalid; the message says why."""
