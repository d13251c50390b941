"""Exceptions of the control daemon's runtime."""

__all__ = ["ControlError", "OrderNotPermitted", "SettingsFileError"]


class ControlError(Exception):
    """Base class of the exceptions in this package."""


class SettingsFileError(ControlError):
    """The settings file is invalid; the message says where."""


class OrderNotPermitted(ControlError):
    """An order may no longer be sent; its body was not written."""
