"""Errors of the settings layer.

Faults of the settings themselves are values (``SettingsFault``, in
``crocuskeel.conf.model``); the exceptions here say that stored data can't
be what this layer wrote.
"""


class ConfError(Exception):
    """Base of the settings layer's errors."""


class PartCorrupt(ConfError):
    """A stored part can't be decoded or doesn't match its digest."""


class PartTooLarge(ConfError):
    """An encoded part exceeds what one platform object may hold."""


class PathBlocked(ConfError):
    """An edit's path leads through a value that is not an object."""
