"""Errors of the operators' interface."""

__all__ = ["BadQuery", "OpsError"]


class OpsError(Exception):
    """Base of the operators' interface's own errors."""


class BadQuery(OpsError):
    """An operator's request can't be understood; the text says why."""
