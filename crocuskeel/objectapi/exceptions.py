"""Exceptions that the transport raises for the client.

Callers of the client never see them: the result of every call is one of
the types in :mod:`crocuskeel.objectapi.results`.
"""

__all__ = ["NotSent", "ResponseLost", "TransportError"]


class TransportError(Exception):
    """Base class of the transport's exceptions."""


class NotSent(TransportError):
    """No byte of the request was sent; it had no effect."""


class ResponseLost(TransportError):
    """The request may have been sent; a write may have taken effect."""
