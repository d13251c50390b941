"""Errors of an entry host's I/O."""

__all__ = ["CallFailed", "GatewayError"]


class GatewayError(Exception):
    """Base class of this package's errors."""


class CallFailed(GatewayError):
    """A call got no complete answer; it may have been carried out.

    ``cut``: its connection was established, and ended from the other side.
    ``too_large``: the answer has more bytes than were asked for.
    """

    def __init__(self, why, cut=False, too_large=False):
        super().__init__(why)
        self.cut = cut
        self.too_large = too_large
