"""JSON Schema of the settings tree, and the validators made from it."""

import functools
import math
from typing import Any

from crocuskeel.conf import fields

# Python's "$" lets a trailing line break pass; "\Z" does not.
_NAME = r'^[a-z0-9][a-z0-9._-]{0,62}\Z'
_MODEL = r'^[\x21-\x7e]{1,200}\Z'
SHA256 = r'^[0-9a-f]{64}\Z'
ROLES = ('call', 'read', 'change')
MAX_WEIGHT = 1000
MAX_TOKENS_A_WORKSPACE = 256


def _strict(properties: dict, required: tuple[str, ...] = ()) -> dict:
    return {
        'type': 'object',
        'properties': properties,
        'required': list(required),
        'additionalProperties': False,
    }


def _named(item: dict) -> dict:
    return {
        'type': 'object',
        'propertyNames': {'pattern': _NAME},
        'additionalProperties': item,
    }


def _policy_keys(in_workspace: bool) -> dict:
    return {
        name: dict(field.schema)
        for name, field in fields.FIELDS.items()
        if field.in_workspace or not in_workspace
    }


_WEIGHT = {'type': 'number', 'exclusiveMinimum': 0, 'maximum': MAX_WEIGHT}
_TOKEN = _strict({
    'caller': {'type': 'string', 'pattern': _NAME},
    'sha256': {'type': 'string', 'pattern': SHA256},
    'roles': {'type': 'array', 'items': {'enum': list(ROLES)}},
}, ('caller', 'sha256'))
_DEPLOYMENT = _strict({
    'name': {'type': 'string', 'pattern': _NAME},
    'failure_domains': {
        'type': 'array',
        'items': {'type': 'string', 'pattern': _NAME},
        'minItems': 1,
        'uniqueItems': True,
    },
}, ('name', 'failure_domains'))
_SERVICE = _strict({
    'kind': {'enum': ['engine', 'plain']},
    'models': {
        'type': 'array', 'items': {'type': 'string', 'pattern': _MODEL}},
    'max_slots_per_engine': {
        'type': 'integer', 'minimum': 1, 'maximum': 4096},
    'checks_fence': {'type': 'boolean'},
    'adapters': {
        'type': 'array', 'items': {'type': 'string', 'pattern': _MODEL}},
    'role': {'type': 'string', 'pattern': _NAME},
}, ('kind',))
_WORKSPACE = _strict({
    **_policy_keys(in_workspace=True),
    'weight': _WEIGHT,
    'classes': _named(_strict(_policy_keys(in_workspace=True))),
    'tokens': {
        'type': 'array',
        'items': _TOKEN,
        'maxItems': MAX_TOKENS_A_WORKSPACE,
    },
})
_COMMON_PROPERTIES: dict[str, Any] = {
    'deployment': _DEPLOYMENT,
    'cell_size': {'type': 'integer', 'minimum': 1, 'maximum': 1024},
    'services': _named(_SERVICE),
    'defaults': _strict({
        **_policy_keys(in_workspace=False), 'weight': _WEIGHT}),
    'classes': _named(_strict(_policy_keys(in_workspace=False))),
}
_REQUIRED = ('deployment', 'services', 'classes')


def _is_number(_checker, value) -> bool:
    # JSON5 has NaN and Infinity. NaN compares false with every bound and
    # would pass as a deadline that never comes; it is no number here.
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

    Imported here, as jsonschema takes some 6 MB and a daemon that only
    follows the settings never checks any.
    """
    import jsonschema

    base = jsonschema.Draft202012Validator
    checker = base.TYPE_CHECKER.redefine_many(
        {'number': _is_number, 'integer': _is_integer})
    extended = jsonschema.validators.extend(base, type_checker=checker)
    common = _strict(_COMMON_PROPERTIES, _REQUIRED)
    return extended(common), extended(_named(_WORKSPACE))


SECTIONS = (*_COMMON_PROPERTIES, 'workspaces')
