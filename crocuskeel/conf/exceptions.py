"""Errors of the settings layer.

Faults of the settings themselves are values (``SettingsFault``, in
``crocuskeel.conf.model``). The exceptions here report corrupt stored data,
parts too large to store, and edits that can't be applied.
"""


class ConfError(Exception):
    """Base class of the settings layer's errors."""


class PartCorrupt(ConfError):
    """A stored part can't be decoded or doesn't match its digest."""


class PartTooLarge(ConfError):
    """An encoded part exceeds the size limit of one platform object."""


class InvalidEditPath(ConfError):
    """A parent of an edit's path is not an object."""
