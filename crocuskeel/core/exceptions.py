"""Errors of the pure core.

The core reports invalid inputs as values; these exceptions indicate a bug
in the program itself.
"""

__all__ = ["CoreError", "UnknownEvent"]


class CoreError(Exception):
    """Base class of the core's errors."""


class UnknownEvent(CoreError):
    """The reducer has no route for an event."""
