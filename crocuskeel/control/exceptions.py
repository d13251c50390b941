"""Errors of the control daemon's runtime."""

__all__ = ["BadSettingsFile", "ControlError", "LeaseNotFresh"]


class ControlError(Exception):
    """Base of this layer's errors."""


class BadSettingsFile(ControlError):
    """The settings file can't be used; the text says where."""


class LeaseNotFresh(ControlError):
    """An order was held back right before its sending."""
