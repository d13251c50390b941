"""Reads the settings in force: values with their origin, and documents."""

import dataclasses
import typing

from crocuskeel import conf
from crocuskeel.conf import fields

__all__ = ["Document", "Value", "Values", "document", "values"]

_KEYS = (*fields.FIELDS, "weight")


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """The value of one key of a class, and where it was set.

    ``layer`` is a ``conf.Layer`` value; ``path`` is empty for a built-in
    default.
    """

    key: str
    value: typing.Any
    layer: str
    path: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Values:
    """All keys of a class in a workspace, in one generation."""

    generation: int
    workspace: str
    class_name: str
    values: tuple[Value, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Stored settings: the whole document, or one workspace's overrides."""

    generation: int
    document: dict[str, typing.Any]


def values(tree, workspace, class_name):
    """Return the :class:`Values`, None if either name is unknown."""
    found = [(key, conf.find_origin(tree, workspace, class_name, key))
             for key in _KEYS]
    if any(origin is None for _key, origin in found):
        return None
    return Values(tree.generation, workspace, class_name, tuple(
        Value(key, origin.value, origin.layer.value, origin.path)
        for key, origin in found))


def document(tree, workspace=""):
    """Return the :class:`Document`, None if the workspace is unknown."""
    if not workspace:
        return Document(tree.generation, conf.to_document(tree))
    body = tree.lookups.workspace(workspace)
    if body is None:
        return None
    return Document(tree.generation, {"workspaces": {workspace: body}})
