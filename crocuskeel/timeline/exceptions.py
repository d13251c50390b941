"""Exceptions of the timeline's parser."""

__all__ = ["InvalidEventError", "TimelineError"]


class TimelineError(Exception):
    """Base class of the timeline's exceptions."""


class InvalidEventError(TimelineError):
    """A line or object is not a valid event; the message says why."""
