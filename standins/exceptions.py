"""Errors of the stand-ins."""


class StandinError(Exception):
    """Base of all errors of the stand-ins."""


class BadBodyError(StandinError):
    """A request body is no JSON or doesn't fit its schema."""
