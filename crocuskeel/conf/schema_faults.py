"""Conversion of jsonschema's errors to settings faults."""

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

_FAULT_IDS = {
    'type': WRONG_TYPE,
    'enum': OUT_OF_RANGE,
    'minimum': OUT_OF_RANGE,
    'maximum': OUT_OF_RANGE,
    'exclusiveMinimum': OUT_OF_RANGE,
}
_NAME_HINT = 'names: a-z, 0-9, dot, dash, underscore; at most 63 characters'


def suggest(word: str, known: Iterable[str]) -> str:
    """Return a hint with the known word most similar to ``word``."""
    close = difflib.get_close_matches(word, list(known), 1)
    if close:
        return f'did you mean {close[0]!r}?'
    return 'known: ' + ', '.join(sorted(known)[:12])


def _path(error) -> model.Path:
    return tuple(str(key) for key in error.absolute_path)


def _unknown_keys(error) -> Iterator[model.SettingsFault]:
    known = error.schema.get('properties', {})
    for key in sorted(set(error.instance) - set(known)):
        field = fields.FIELDS.get(key)
        if field and not field.in_workspace:
            hint = 'applies to the whole deployment; set it in the class'
        else:
            hint = suggest(key, known)
        yield model.SettingsFault(
            UNKNOWN_KEY, (*_path(error), key), None,
            f'unknown key {key!r}', hint)


def _missing_keys(error) -> Iterator[model.SettingsFault]:
    # jsonschema reports each missing key as a separate error.
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
    if error.schema.get('pattern') == schema.SHA256_PATTERN:
        return 'the hex SHA-256 of the token, 64 lower-case characters'
    return _NAME_HINT if error.validator == 'pattern' else ''


def _to_faults(error) -> Iterator[model.SettingsFault]:
    if error.validator == 'additionalProperties':
        return _unknown_keys(error)
    if error.validator == 'required':
        return _missing_keys(error)
    path = _path(error)
    if 'propertyNames' in error.absolute_schema_path:
        path = (*path, str(error.instance))
    fault_id = _FAULT_IDS.get(error.validator, MALFORMED)
    fault = model.SettingsFault(
        fault_id, path, None, error.message[:200], _hint(error))
    return iter((fault,))


def common_faults(
    common: Mapping[str, Any],
) -> Iterator[model.SettingsFault]:
    """Yield schema faults in every section but the workspaces."""
    validator, _workspaces = schema.validators()
    for error in validator.iter_errors(common):
        for fault in _to_faults(error):
            if fault.id == UNKNOWN_KEY and len(fault.path) == 1:
                hint = suggest(fault.path[0], schema.SECTIONS)
                yield model.SettingsFault(
                    fault.id, fault.path, None, fault.message, hint)
            else:
                yield fault


def workspace_faults(bodies: Any) -> Iterator[model.SettingsFault]:
    """Yield schema faults in ``bodies``, workspaces by name."""
    _common, validator = schema.validators()
    for error in validator.iter_errors(bodies):
        for fault in _to_faults(error):
            yield model.SettingsFault(
                fault.id, ('workspaces', *fault.path), None, fault.message,
                fault.hint)
