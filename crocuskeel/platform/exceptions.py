"""Errors of the platform adapter."""

__all__ = ["BootSettingsError", "InvalidObjectError", "PlatformError",
           "StoreError"]


class PlatformError(Exception):
    """Base class of the errors of the platform adapter."""


class BootSettingsError(PlatformError):
    """The settings file is invalid; ``faults`` lists every error."""

    def __init__(self, faults):
        super().__init__("; ".join(faults))
        self.faults = tuple(faults)


class InvalidObjectError(PlatformError):
    """An object of the store does not have the expected fields."""


class StoreError(PlatformError):
    """A call to the store failed; ``status`` is 0 without an answer."""

    def __init__(self, status, why):
        super().__init__(f"{why} ({status})" if status else why)
        self.status = status
