"""Errors of the platform adapter."""

__all__ = ["BootSettingsError", "InvalidObjectError", "PlatformError",
           "StoreError"]


class PlatformError(Exception):
    """Base class of the errors of the platform adapter."""


class BootSettingsError(PlatformError):
    """The settings file is invalid; ``errors`` lists every error."""

    def __init__(self, errors):
        super().__init__("; ".join(errors))
        self.errors = tuple(errors)


class InvalidObjectError(PlatformError):
    """An object of the store does not have the expected fields."""


class StoreError(PlatformError):
    """A call to the store failed; ``status`` is 0 without an answer.

    ``cut``: the store closed the connection instead. ``too_large``: its answer
    was not read to its end.
    """

    def __init__(self, status, why, cut=False, too_large=False):
        super().__init__(f"{why} ({status})" if status else why)
        self.status = status
        self.cut = cut
        self.too_large = too_large
