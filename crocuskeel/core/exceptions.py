"""Errors of the pure core.

The core signals faults of its inputs as values; an exception from here
means that the program itself is wrong.
"""

__all__ = ["CoreError", "UnknownEvent"]


class CoreError(Exception):
    """Base of the core's own errors."""


class UnknownEvent(CoreError):
    """An event reached the reducer that no concern takes."""
