"""JSON Schema of the settings tree, and the validators made from it."""

import functools
import math
from typing import Any

from crocuskeel.conf import fields

# Python's "$" also matches before a trailing newline; "\Z" does not.
_NAME_PATTERN = r'^[a-z0-9][a-z0-9._-]{0,62}\Z'
_MODEL_PATTERN = r'^[\x21-\x7e]{1,200}\Z'
SHA256_PATTERN = r'^[0-9a-f]{64}\Z'
ROLES = ('call', 'read', 'change')
MAX_WEIGHT = 1000
MAX_TOKENS_PER_WORKSPACE = 256


def _closed_object(properties: dict, required: tuple[str, ...] = ()) -> dict:
    return {
        'type': 'object',
        'properties': properties,
        'required': list(required),
        'additionalProperties': False,
    }


def _objects_by_name(item: dict) -> dict:
    return {
        'type': 'object',
        'propertyNames': {'pattern': _NAME_PATTERN},
        'additionalProperties': item,
    }


def _policy_properties(in_workspace: bool) -> dict:
    return {
        name: dict(field.schema)
        for name, field in fields.FIELDS.items()
        if field.in_workspace or not in_workspace
    }


_WEIGHT = {'type': 'number', 'exclusiveMinimum': 0, 'maximum': MAX_WEIGHT}
_TOKEN = _closed_object({
    'caller': {'type': 'string', 'pattern': _NAME_PATTERN},
    'sha256': {'type': 'string', 'pattern': SHA256_PATTERN},
    'roles': {'type': 'array', 'items': {'enum': list(ROLES)}},
}, ('caller', 'sha256'))
_DEPLOYMENT = _closed_object({
    'name': {'type': 'string', 'pattern': _NAME_PATTERN},
    'failure_domains': {
        'type': 'array',
        'items': {'type': 'string', 'pattern': _NAME_PATTERN},
        'minItems': 1,
        'uniqueItems': True,
    },
}, ('name', 'failure_domains'))
_SERVICE = _closed_object({
    'kind': {'enum': ['engine', 'plain']},
    'models': {
        'type': 'array',
        'items': {'type': 'string', 'pattern': _MODEL_PATTERN},
    },
    'max_slots_per_engine': {
        'type': 'integer', 'minimum': 1, 'maximum': 4096},
    'checks_fence': {'type': 'boolean'},
    'adapters': {
        'type': 'array',
        'items': {'type': 'string', 'pattern': _MODEL_PATTERN},
    },
    'role': {'type': 'string', 'pattern': _NAME_PATTERN},
}, ('kind',))
_WORKSPACE = _closed_object({
    **_policy_properties(in_workspace=True),
    'weight': _WEIGHT,
    'classes': _objects_by_name(
        _closed_object(_policy_properties(in_workspace=True))),
    'tokens': {
        'type': 'array',
        'items': _TOKEN,
        'maxItems': MAX_TOKENS_PER_WORKSPACE,
    },
})
_COMMON_PROPERTIES: dict[str, Any] = {
    'deployment': _DEPLOYMENT,
    'cell_size': {'type': 'integer', 'minimum': 1, 'maximum': 1024},
    'services': _objects_by_name(_SERVICE),
    'defaults': _closed_object({
        **_policy_properties(in_workspace=False), 'weight': _WEIGHT}),
    'classes': _objects_by_name(
        _closed_object(_policy_properties(in_workspace=False))),
}
_REQUIRED = ('deployment', 'services', 'classes')


def _is_number(_checker, value) -> bool:
    # JSON5 allows NaN and Infinity. NaN compares false with every bound
    # and would pass as a deadline that never expires, so it is rejected.
    return (
        isinstance(value, (int, float))
        and not isinstance(value, bool)
        and math.isfinite(value)
    )


def _is_integer(_checker, value) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


@functools.cache
def validators() -> tuple[Any, Any]:
    """Return the validators of the common sections and of workspaces.

    jsonschema is imported here because it takes some 6 MB, and a daemon
    that only follows the settings never validates any.
    """
    import jsonschema

    base = jsonschema.Draft202012Validator
    checker = base.TYPE_CHECKER.redefine_many(
        {'number': _is_number, 'integer': _is_integer})
    extended = jsonschema.validators.extend(base, type_checker=checker)
    common = _closed_object(_COMMON_PROPERTIES, _REQUIRED)
    return extended(common), extended(_objects_by_name(_WORKSPACE))


SECTIONS = (*_COMMON_PROPERTIES, 'workspaces')
