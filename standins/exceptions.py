"""Exceptions of the stand-ins."""


class StandInError(Exception):
    """Base class of the exceptions of the stand-ins."""


class InvalidBodyError(StandInError):
    """A request's body or query parameter is malformed or fails validation."""
