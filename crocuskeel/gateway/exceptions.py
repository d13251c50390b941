"""Errors of an entry host's I/O."""

__all__ = ["CallFailed", "GatewayError"]


class GatewayError(Exception):
    """Base class of this package's errors."""


class CallFailed(GatewayError):
    """A call got no complete answer; it may have been carried out."""
