"""Reading a settings text: every fault at once, each with its line."""

import dataclasses
import re
from typing import Any

import json5
from result import Err
from result import Ok
from result import Result

from crocuskeel.conf import checks
from crocuskeel.conf import model
from crocuskeel.conf import positions
from crocuskeel.conf import tree

NOT_JSON = 'conf.E001'
REPEATED_KEY = 'conf.E002'
MAX_TEXT = 4_000_000

Faults = tuple[model.SettingsFault, ...]


def _one(fault: str, line: int | None = None, hint: str = '') -> Faults:
    return (model.SettingsFault(NOT_JSON, (), line, fault, hint),)


def _syntax_fault(error: str) -> Faults:
    found = re.match(r'<string>:(\d+) (.*)', error)
    if not found:
        return _one(error)
    line, fault = found.groups()
    return _one(
        fault, int(line), 'JSON with comments: check commas and brackets')


def _read(text: str) -> Result[Any, Faults]:
    if not text.strip():
        return Err(_one('the text is empty', 1))
    if len(text) > MAX_TEXT:
        return Err(_one(f'the text is over {MAX_TEXT} characters'))
    try:
        value, error, _at = json5.parse(text)
    except RecursionError:
        # The parser descends once a bracket. A text of many thousand
        # brackets would end the operator's program without a fault.
        return Err(_one('the text is nested too deeply'))
    if error:
        return Err(_syntax_fault(error))
    if not isinstance(value, dict):
        return Err(_one('the settings are not an object', 1))
    return Ok(value)


def _repeated(places: positions.Positions) -> list[model.SettingsFault]:
    found = {one.path for one in places.repeated}
    return [
        model.SettingsFault(
            REPEATED_KEY, one.path, one.line,
            f'key {one.path[-1]!r} stands twice',
            f'first on line {one.first}; the later one would win')
        for one in places.repeated
        if not any(
            one.path[:at] in found for at in range(1, len(one.path)))
    ]


def _locate(found: Faults, text: str) -> Faults:
    places = positions.read_positions(text)
    located = [
        dataclasses.replace(fault, line=places.line(fault.path))
        for fault in found
    ]
    located += _repeated(places)
    return tuple(sorted(located, key=lambda fault: (fault.line, fault.id)))


def _has_repeated_keys(text: str) -> bool:
    _value, error, _at = json5.parse(text, allow_duplicate_keys=False)
    return error is not None


def parse_document(text: str) -> Result[dict[str, Any], Faults]:
    """Return the checked document of ``text``, or all its faults."""
    read = _read(text)
    if read.is_err():
        return Err(read.unwrap_err())
    document = read.unwrap()
    found = checks.document_faults(document)
    if found or _has_repeated_keys(text):
        return Err(_locate(found, text))
    return Ok(document)


def parse(text: str, generation: int = 1) -> Result[model.Tree, Faults]:
    """Return the tree of a settings text, or all its faults by line."""
    return parse_document(text).map(
        lambda document: tree.from_document(document, generation))
