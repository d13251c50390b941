"""Faults of shape: from jsonschema's errors to settings faults."""

import difflib
from typing import Any
from typing import Iterable
from typing import Iterator
from typing import Mapping

from crocuskeel.conf import fields
from crocuskeel.conf import model
from crocuskeel.conf import schema

UNKNOWN_KEY = 'conf.E003'
WRONG_TYPE = 'conf.E004'
OUT_OF_RANGE = 'conf.E005'
MISSING_KEY = 'conf.E006'
MALFORMED = 'conf.E007'

_IDS = {
    'type': WRONG_TYPE,
    'enum': OUT_OF_RANGE,
    'minimum': OUT_OF_RANGE,
    'maximum': OUT_OF_RANGE,
    'exclusiveMinimum': OUT_OF_RANGE,
}
_NAME_HINT = 'names: a-z, 0-9, dot, dash, underscore; at most 63 characters'


def suggest(word: str, known: Iterable[str]) -> str:
    """Return a hint with the known word nearest to ``word``."""
    close = difflib.get_close_matches(word, list(known), 1)
    if close:
        return f'did you mean {close[0]!r}?'
    return 'known: ' + ', '.join(sorted(known)[:12])


def _path(error) -> model.Path:
    return tuple(str(step) for step in error.absolute_path)


def _unknown_keys(error) -> Iterator[model.SettingsFault]:
    known = error.schema.get('properties', {})
    for key in sorted(set(error.instance) - set(known)):
        field = fields.FIELDS.get(key)
        if field and not field.in_workspace:
            hint = 'holds for the deployment; set it in the class'
        else:
            hint = suggest(key, known)
        yield model.SettingsFault(
            UNKNOWN_KEY, (*_path(error), key), None,
            f'unknown key {key!r}', hint)


def _missing_keys(error) -> Iterator[model.SettingsFault]:
    # jsonschema reports each missing key as an error of its own.
    key = error.message.split("'")[1]
    yield model.SettingsFault(
        MISSING_KEY, _path(error), None, f'key {key!r} is missing')


def _hint(error) -> str:
    if error.validator == 'enum':
        if isinstance(error.instance, str):
            return suggest(error.instance, error.validator_value)
        return f'one of {error.validator_value}'
    bounds = ('minimum', 'exclusiveMinimum', 'maximum')
    limits = [f'{name} {error.schema[name]}' for name in bounds
              if name in error.schema]
    if limits:
        return ', '.join(limits)
    if error.schema.get('pattern') == schema.SHA256:
        return 'the hex SHA-256 of the token, 64 lower-case characters'
    return _NAME_HINT if error.validator == 'pattern' else ''


def _translate(error) -> Iterator[model.SettingsFault]:
    if error.validator == 'additionalProperties':
        return _unknown_keys(error)
    if error.validator == 'required':
        return _missing_keys(error)
    path = _path(error)
    if 'propertyNames' in error.absolute_schema_path:
        path = (*path, str(error.instance))
    fault_id = _IDS.get(error.validator, MALFORMED)
    fault = model.SettingsFault(
        fault_id, path, None, error.message[:200], _hint(error))
    return iter((fault,))


def common_faults(
    common: Mapping[str, Any],
) -> Iterator[model.SettingsFault]:
    """Yield faults of shape in every section but the workspaces."""
    validator, _workspaces = schema.validators()
    for error in validator.iter_errors(common):
        for fault in _translate(error):
            if fault.id == UNKNOWN_KEY and len(fault.path) == 1:
                hint = suggest(fault.path[0], schema.SECTIONS)
                yield model.SettingsFault(
                    fault.id, fault.path, None, fault.fault, hint)
            else:
                yield fault


def workspace_faults(bodies: Any) -> Iterator[model.SettingsFault]:
    """Yield faults of shape in workspaces, name to body."""
    _common, validator = schema.validators()
    for error in validator.iter_errors(bodies):
        for fault in _translate(error):
            yield model.SettingsFault(
                fault.id, ('workspaces', *fault.path), None, fault.fault,
                fault.hint)
