"""Paths, values and files of edits as operators write them."""

import csv
import dataclasses
import json
import typing

from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
import json5
from result import Err
from result import Ok

__all__ = ["EditFile", "parse_assignment", "parse_edit_file", "show_path",
           "show_value", "split_path"]

_MAX_SHOWN = 60


@dataclasses.dataclass(frozen=True, slots=True)
class EditFile:
    """A file of edits; ``base`` is None if the file names none.

    ``edits`` are in the JSON form of the operators' interface.
    """

    base: int | None
    edits: tuple[dict[str, typing.Any], ...]


def split_path(text):
    """Return the steps of ``a.b."c.d"``; quotes keep a name's dots."""
    return next(csv.reader([text], delimiter=".", quotechar='"'), [])


def show_path(path):
    """Return a path as :func:`split_path` reads it."""
    steps = (f'"{step}"' if "." in step else step for step in path)
    return ".".join(steps) or "(whole)"


def show_value(value):
    """Return a value as short JSON."""
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= _MAX_SHOWN else text[:_MAX_SHOWN] + "..."


def parse_assignment(text):
    """Return Ok of the edit of ``path=value`` or Err(Failure).

    The value is JSON; what is none is taken as a text.
    """
    name, equals, value = text.partition("=")
    if not equals or not name.strip():
        return Err(Failure(
            Code.USAGE, f"{text!r} is not PATH=VALUE",
            "Example: workspaces.hire.classes.briefing.tier=1"))
    edit = {"path": split_path(name.strip()), "value": _value(value)}
    return Ok(edit)


def _value(text):
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
        return Err(_bad(name, str(exc).replace("<string>:", "line ")))
    if not isinstance(body, dict) or not isinstance(
            body.get("edits"), list):
        return Err(_bad(name, "no list of edits"))
    edits = []
    for number, item in enumerate(body["edits"], start=1):
        edit = _edit(item)
        if edit is None:
            return Err(_bad(
                name, f"edit {number} needs a path, and either a value "
                "or remove: true"))
        edits.append(edit)
    base = body.get("base")
    if base is not None and type(base) is not int:
        return Err(_bad(name, "base is not a generation number"))
    return Ok(EditFile(base, tuple(edits)))


def _edit(item):
    if not isinstance(item, dict):
        return None
    path = item.get("path")
    steps = split_path(path) if isinstance(path, str) else path
    has_value, removes = "value" in item, item.get("remove") is True
    if not steps or has_value == removes:
        return None
    if removes:
        return {"path": steps, "remove": True}
    return {"path": steps, "value": item["value"]}


def _bad(name, why):
    return Failure(
        Code.USAGE, f"{name}: {why}",
        "A file of edits looks like {\"edits\": [{\"path\": \"a.b\", "
        "\"value\": 1}]}; a whole settings file goes with --whole.")
