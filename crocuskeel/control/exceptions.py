"""Exceptions of the control daemon's runtime."""

__all__ = ["BadSettingsFile", "ControlError", "OrderNotPermitted"]


class ControlError(Exception):
    """Base class of the exceptions in this package."""


class BadSettingsFile(ControlError):
    """The settings file is invalid; the message says where."""


class OrderNotPermitted(ControlError):
    """An order may no longer be sent; its body was not written."""
