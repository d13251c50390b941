"""Errors between the transport and the client.

Callers of the client never see them: every call's result is one of the
types of :mod:`crocuskeel.objectapi.results`.
"""

__all__ = ["AnswerLost", "NotSent", "PlatformError"]


class PlatformError(Exception):
    """Base of the platform layer's own errors."""


class NotSent(PlatformError):
    """No byte of the request left this host; it had no effect."""


class AnswerLost(PlatformError):
    """The request may have left this host; a write may have happened."""
