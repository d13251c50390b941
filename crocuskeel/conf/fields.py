"""The keys of a class's policy: schemas, limits and built-in values."""

import dataclasses
from typing import Any
from typing import Mapping

MIN_TIER = 1
MAX_TIER = 3
MAX_SECONDS = 86_400
MAX_COUNT = 1_000_000

_SECONDS = {'type': 'number', 'exclusiveMinimum': 0, 'maximum': MAX_SECONDS}
_SHARE = {'type': 'number', 'minimum': 0, 'maximum': 1}
_COUNT = {'type': 'integer', 'minimum': 1, 'maximum': MAX_COUNT}
_BOOLEAN = {'type': 'boolean'}


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One inheritable key: its JSON Schema and built-in value.

    ``in_workspace`` is False for keys that apply to a class in the whole
    deployment and so can't be overridden by a workspace.
    """

    schema: Mapping[str, Any]
    builtin: Any
    in_workspace: bool = True


FIELDS: Mapping[str, Field] = {
    'tier': Field(
        {'type': 'integer', 'minimum': MIN_TIER, 'maximum': MAX_TIER}, 2),
    'service': Field({'type': 'string'}, None, in_workspace=False),
    'target_ttft_s': Field(_SECONDS, 1.0),
    'target_itl_s': Field(_SECONDS, 0.1),
    'deadline_s': Field(_SECONDS, 60.0),
    'late': Field({'enum': ['deliver', 'drop']}, 'deliver'),
    'repeatable': Field(_BOOLEAN, True),
    'hedge': Field(_BOOLEAN, False),
    'floor': Field(_SHARE, 0.02, in_workspace=False),
    'max_tokens': Field(_COUNT, 1024),
    'queue_limit': Field(_COUNT, 200),
    'retry_budget': Field(_SHARE, 0.1),
}
DEFAULT_WEIGHT = 1.0
DEFAULT_CELL_SIZE = 16
DEFAULT_SLOTS = 8
