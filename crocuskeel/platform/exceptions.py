"""Errors of the adapter."""

__all__ = ["BadBoot", "BadObject", "PlatformError", "StoreError"]


class PlatformError(Exception):
    """Base of the adapter's errors."""


class BadBoot(PlatformError):
    """The settings file can't be used; ``faults`` lists every reason."""

    def __init__(self, faults):
        super().__init__("; ".join(faults))
        self.faults = tuple(faults)


class BadObject(PlatformError):
    """An object of the store is not of the expected form."""


class StoreError(PlatformError):
    """The store did not answer as asked; ``status`` is 0 without one."""

    def __init__(self, status, why):
        super().__init__(f"{why} ({status})" if status else why)
        self.status = status
