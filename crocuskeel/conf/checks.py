"""Checks of the settings as a whole: shape first, then across sections.

The cross-checks read tolerantly, so that a text with a fault of shape in
one place still has its other faults reported in the same run.
"""

from typing import Any
from typing import Iterator
from typing import Mapping

from crocuskeel.conf import model
from crocuskeel.conf import resolving
from crocuskeel.conf import shape

SERVICE_UNKNOWN = 'conf.E101'
CLASS_UNKNOWN = 'conf.E102'
FLOORS_OVER_CAPACITY = 'conf.E103'
TOKEN_TWICE = 'conf.E104'
HEDGED_UNREPEATABLE = 'conf.E105'
SERVICE_MISSING = 'conf.E106'
DEADLINE_BEFORE_TARGET = 'conf.E108'
ENGINE_WITHOUT_MODEL = 'conf.E110'

# Floors are shares; sums of decimal fractions are off by a rounding error.
_ROUNDING = 1e-9


def _section(document: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Return the well-formed members of a section of named objects."""
    section = document.get(name, {})
    if not isinstance(section, dict):
        return {}
    return {
        key: body for key, body in section.items() if isinstance(body, dict)}


def _tolerant(document: Mapping[str, Any]) -> dict[str, Any]:
    defaults = document.get('defaults', {})
    return {
        'services': _section(document, 'services'),
        'classes': _section(document, 'classes'),
        'defaults': defaults if isinstance(defaults, dict) else {},
    }


def _service_faults(common) -> Iterator[model.SettingsFault]:
    for name, body in common['services'].items():
        if body.get('kind') == 'engine' and not body.get('models'):
            yield model.SettingsFault(
                ENGINE_WITHOUT_MODEL, ('services', name), None,
                'an engine service names no model',
                'add models: ["..."]')


def _used_service(common, class_name: str) -> model.Origin:
    return resolving.find_value(common, {}, '', class_name, 'service')


def _class_services(common) -> Iterator[model.SettingsFault]:
    for name in common['classes']:
        used = _used_service(common, name)
        if used.value is None:
            yield model.SettingsFault(
                SERVICE_MISSING, ('classes', name), None,
                'the class has no service, nor have the defaults',
                'add service: "..."')
        elif str(used.value) not in common['services']:
            hint = shape.suggest(str(used.value), common['services'])
            yield model.SettingsFault(
                SERVICE_UNKNOWN, used.path, None,
                f'service {used.value!r} does not exist', hint)


def _floor_faults(common) -> Iterator[model.SettingsFault]:
    sums: dict[str, float] = {}
    for name in common['classes']:
        used = str(_used_service(common, name).value)
        floor = resolving.find_value(common, {}, '', name, 'floor').value
        if isinstance(floor, (int, float)):
            sums[used] = sums.get(used, 0.0) + floor
    for name, total in sums.items():
        if total > 1 + _ROUNDING and name in common['services']:
            yield model.SettingsFault(
                FLOORS_OVER_CAPACITY, ('services', name), None,
                f'floors of its classes add up to {total:.3f} of 1',
                'lower the floors of classes that use this service')


def _policy_faults(
    common, body: Mapping[str, Any], workspace: str, class_name: str,
    place: model.Path,
) -> Iterator[model.SettingsFault]:
    def value(key: str) -> Any:
        return resolving.find_value(
            common, body, workspace, class_name, key).value

    if value('hedge') is True and value('repeatable') is False:
        yield model.SettingsFault(
            HEDGED_UNREPEATABLE, place, None,
            'a class that is not repeatable is hedged',
            'a hedge runs the request twice; set hedge: false')
    target, deadline = value('target_ttft_s'), value('deadline_s')
    numbers = all(isinstance(at, (int, float)) for at in (target, deadline))
    if numbers and deadline < target:
        yield model.SettingsFault(
            DEADLINE_BEFORE_TARGET, place, None,
            f'deadline_s {deadline} is before target_ttft_s {target}',
            'a request would be given up before it is late')


def _inherited_faults(
    common, workspace: str, body: Mapping[str, Any],
) -> Iterator[model.SettingsFault]:
    """Faults that come only from what a workspace overrides."""
    plain = {
        (name, fault.id)
        for name in common['classes']
        for fault in _policy_faults(common, {}, '', name, (name,))
    }
    for name in common['classes']:
        place = ('workspaces', workspace, 'classes', name)
        for fault in _policy_faults(common, body, workspace, name, place):
            if (name, fault.id) not in plain:
                yield fault


def _judged_keys(body: Mapping[str, Any]) -> bool:
    keys = {'hedge', 'repeatable', 'target_ttft_s', 'deadline_s'}
    bodies = [body, *_section(body, 'classes').values()]
    return any(keys & set(one) for one in bodies)


def _workspace_cross(
    common, workspace: str, body: Mapping[str, Any],
) -> Iterator[model.SettingsFault]:
    overrides = _section(body, 'classes')
    for name in overrides:
        if name not in common['classes']:
            yield model.SettingsFault(
                CLASS_UNKNOWN, ('workspaces', workspace, 'classes', name),
                None, f'class {name!r} does not exist',
                shape.suggest(name, common['classes']))
    if _judged_keys(body):
        tolerant = {**body, 'classes': overrides}
        yield from _inherited_faults(common, workspace, tolerant)


def hashes(body: Mapping[str, Any]) -> Iterator[tuple[int, str]]:
    """Yield each token's place in its workspace and its hash."""
    listed = body.get('tokens', ())
    if isinstance(listed, list):
        for number, token in enumerate(listed):
            if isinstance(token, dict):
                yield number, str(token.get('sha256'))


def token_faults(
    bodies: Mapping[str, Mapping[str, Any]],
) -> Iterator[model.SettingsFault]:
    """Yield a fault for each token hash that stands twice."""
    holders: dict[str, str] = {}
    for workspace, body in bodies.items():
        for number, sha256 in hashes(body):
            if sha256 in holders:
                yield token_fault(workspace, number, holders[sha256])
            else:
                holders[sha256] = workspace


def token_fault(
    workspace: str, number: int, holder: str,
) -> model.SettingsFault:
    """Return the fault of a token that ``holder`` has already."""
    return model.SettingsFault(
        TOKEN_TWICE, ('workspaces', workspace, 'tokens', str(number)), None,
        f'this token already belongs to workspace {holder!r}',
        'give each caller a token of its own')


def common_faults(
    common: Mapping[str, Any],
) -> Iterator[model.SettingsFault]:
    """Yield every fault in the sections other than the workspaces."""
    yield from shape.common_faults(common)
    tolerant = _tolerant(common)
    yield from _service_faults(tolerant)
    yield from _class_services(tolerant)
    yield from _floor_faults(tolerant)
    for name in tolerant['classes']:
        yield from _policy_faults(
            tolerant, {}, '', name, ('classes', name))


def workspace_faults(
    common: Mapping[str, Any], bodies: Any,
) -> Iterator[model.SettingsFault]:
    """Yield every fault inside workspaces, name to body.

    Tokens are compared among ``bodies`` only.
    """
    yield from shape.workspace_faults(bodies)
    yield from cross_faults(common, bodies)
    yield from token_faults(_section({'at': bodies}, 'at'))


def cross_faults(
    common: Mapping[str, Any], bodies: Any,
) -> Iterator[model.SettingsFault]:
    """Yield what in workspaces does not fit the other sections."""
    tolerant = _tolerant(common)
    for name, body in _section({'at': bodies}, 'at').items():
        yield from _workspace_cross(tolerant, name, body)


def document_faults(
    document: Mapping[str, Any],
) -> tuple[model.SettingsFault, ...]:
    """Return every fault of a whole document, in no special order."""
    common = {
        key: value for key, value in document.items() if key != 'workspaces'}
    bodies = document.get('workspaces', {})
    return (
        *common_faults(common),
        *workspace_faults(common, bodies),
    )
