"""Parsing a settings text, with all faults reported by line."""

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
MAX_TEXT_LENGTH = 4_000_000

Faults = tuple[model.SettingsFault, ...]


def _not_json(
    fault: str, line: int | None = None, hint: str = '',
) -> Faults:
    return (model.SettingsFault(NOT_JSON, (), line, fault, hint),)


def _syntax_fault(error: str) -> Faults:
    found = re.match(r'<string>:(\d+) (.*)', error)
    if not found:
        return _not_json(error)
    line, fault = found.groups()
    return _not_json(
        fault, int(line),
        'expected JSON with comments: check commas and brackets')


def _read_object(text: str) -> Result[Any, Faults]:
    if not text.strip():
        return Err(_not_json('the text is empty', 1))
    if len(text) > MAX_TEXT_LENGTH:
        return Err(_not_json(f'the text is over {MAX_TEXT_LENGTH} characters'))
    try:
        value, error, _position = json5.parse(text)
    except RecursionError:
        # The parser recurses once per bracket. A text with thousands of
        # brackets would crash the operator's program with no fault shown.
        return Err(_not_json('the text is nested too deeply'))
    if error:
        return Err(_syntax_fault(error))
    if not isinstance(value, dict):
        return Err(_not_json('the top level is not an object', 1))
    return Ok(value)


def _repeated_key_faults(
    found: positions.Positions,
) -> list[model.SettingsFault]:
    paths = {key.path for key in found.repeated}
    return [
        model.SettingsFault(
            REPEATED_KEY, key.path, key.line,
            f'key {key.path[-1]!r} is repeated',
            f'first on line {key.first_line}; the last one would apply')
        for key in found.repeated
        if not any(
            key.path[:count] in paths for count in range(1, len(key.path)))
    ]


def _locate(faults: Faults, text: str) -> Faults:
    found = positions.read_positions(text)
    located = [
        dataclasses.replace(fault, line=found.line(fault.path))
        for fault in faults
    ]
    located += _repeated_key_faults(found)
    return tuple(sorted(located, key=lambda fault: (fault.line, fault.id)))


def _has_repeated_keys(text: str) -> bool:
    _value, error, _position = json5.parse(
        text, allow_duplicate_keys=False)
    return error is not None


def parse_document(text: str) -> Result[dict[str, Any], Faults]:
    """Return the validated document of ``text``, or all its faults."""
    read = _read_object(text)
    if read.is_err():
        return Err(read.unwrap_err())
    document = read.unwrap()
    faults = checks.document_faults(document)
    if faults or _has_repeated_keys(text):
        return Err(_locate(faults, text))
    return Ok(document)


def parse(text: str, generation: int = 1) -> Result[model.Tree, Faults]:
    """Return the tree of a settings text, or all its faults by line."""
    return parse_document(text).map(
        lambda document: tree.from_document(document, generation))
