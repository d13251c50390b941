"""Parses and formats paths, values and files of edits."""

import csv
import dataclasses
import json
import typing

from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
import json5
from result import Err
from result import Ok

__all__ = ["EditFile", "parse_assignment", "parse_edit_file", "format_path",
           "format_value", "split_path"]

_MAX_VALUE_LENGTH = 60


@dataclasses.dataclass(frozen=True, slots=True)
class EditFile:
    """A file of edits; ``base`` is None if the file has none.

    ``edits`` are in the JSON form of the operator API.
    """

    base: int | None
    edits: tuple[dict[str, typing.Any], ...]


def split_path(text):
    """Split ``a.b."c.d"`` into names; dots in quotes don't separate."""
    return next(csv.reader([text], delimiter=".", quotechar='"'), [])


def format_path(path):
    """Format a path so that :func:`split_path` can parse it."""
    names = (f'"{name}"' if "." in name else name for name in path)
    return ".".join(names) or "(root)"


def format_value(value):
    """Format a value as JSON, truncated if it is long."""
    text = json.dumps(value, ensure_ascii=False)
    return (text if len(text) <= _MAX_VALUE_LENGTH
            else text[:_MAX_VALUE_LENGTH] + "...")


def parse_assignment(text):
    """Return Ok of the edit of ``path=value`` or Err(Failure).

    The value is parsed as JSON; if that fails, it is a string.
    """
    name, equals, value = text.partition("=")
    if not equals or not name.strip():
        return Err(Failure(
            Code.USAGE, f"{text!r} is not PATH=VALUE",
            "Example: workspaces.hire.classes.briefing.tier=1"))
    edit = {"path": split_path(name.strip()), "value": _parse_value(value)}
    return Ok(edit)


def _parse_value(text):
    try:
        return json5.loads(text)
    except ValueError:
        return text


def parse_edit_file(text, name):
    """Return Ok of the :class:`EditFile` of a text or Err(Failure).

    JSON with comments: ``{"base": 41, "edits": [{"path": "a.b",
    "value": 1}, {"path": ["a", "c"], "remove": true}]}``.
    """
    try:
        body = json5.loads(text)
    except ValueError as exc:
        return Err(_invalid_file(name, str(exc).replace("<string>:", "line ")))
    if not isinstance(body, dict) or not isinstance(
            body.get("edits"), list):
        return Err(_invalid_file(name, "'edits' is not a list"))
    edits = []
    for number, item in enumerate(body["edits"], start=1):
        edit = _parse_edit(item)
        if edit is None:
            return Err(_invalid_file(
                name, f"edit {number} needs a path, and either a value "
                "or remove: true"))
        edits.append(edit)
    base = body.get("base")
    if base is not None and type(base) is not int:
        return Err(_invalid_file(name, "base is not a generation number"))
    return Ok(EditFile(base, tuple(edits)))


def _parse_edit(item):
    if not isinstance(item, dict):
        return None
    path = item.get("path")
    names = split_path(path) if isinstance(path, str) else path
    has_value, removes = "value" in item, item.get("remove") is True
    if not names or has_value == removes:
        return None
    if removes:
        return {"path": names, "remove": True}
    return {"path": names, "value": item["value"]}


def _invalid_file(name, reason):
    return Failure(
        Code.USAGE, f"{name}: {reason}",
        "A file of edits looks like {\"edits\": [{\"path\": \"a.b\", "
        "\"value\": 1}]}; use --whole for a complete settings file.")
