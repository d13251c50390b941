"""Errors of the time line's parsing."""

__all__ = ["BadEvent", "TimelineError"]


class TimelineError(Exception):
    """Base of the time line's own errors."""


class BadEvent(TimelineError):
    """A line or object that is no event; the text says why."""
