"""Validation of the settings: against the schema, then across sections.

The cross-section checks skip malformed values, so that a text with a
schema fault in one place still has its other faults reported in the same
run.
"""

from typing import Any
from typing import Iterator
from typing import Mapping

from crocuskeel.conf import model
from crocuskeel.conf import resolving
from crocuskeel.conf import schema_faults

UNKNOWN_SERVICE = 'conf.E101'
UNKNOWN_CLASS = 'conf.E102'
FLOORS_OVER_CAPACITY = 'conf.E103'
DUPLICATE_TOKEN = 'conf.E104'
HEDGED_NOT_REPEATABLE = 'conf.E105'
MISSING_SERVICE = 'conf.E106'
DEADLINE_BEFORE_TARGET = 'conf.E108'
ENGINE_WITHOUT_MODEL = 'conf.E110'

# Floors are decimal fractions, whose sums have a rounding error.
_FLOAT_TOLERANCE = 1e-9


def _section(document: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Return the well-formed members of a section of named objects."""
    section = document.get(name, {})
    if not isinstance(section, dict):
        return {}
    return {
        key: body for key, body in section.items() if isinstance(body, dict)}


def _well_formed_sections(document: Mapping[str, Any]) -> dict[str, Any]:
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
                'an engine service has no models',
                'add models: ["..."]')


def _class_service(common, class_name: str) -> model.Origin:
    return resolving.find_value(common, {}, '', class_name, 'service')


def _class_service_faults(common) -> Iterator[model.SettingsFault]:
    for name in common['classes']:
        service = _class_service(common, name)
        if service.value is None:
            yield model.SettingsFault(
                MISSING_SERVICE, ('classes', name), None,
                'neither the class nor the defaults set a service',
                'add service: "..."')
        elif str(service.value) not in common['services']:
            hint = schema_faults.suggest(
                str(service.value), common['services'])
            yield model.SettingsFault(
                UNKNOWN_SERVICE, service.path, None,
                f'service {service.value!r} does not exist', hint)


def _floor_faults(common) -> Iterator[model.SettingsFault]:
    sums: dict[str, float] = {}
    for name in common['classes']:
        service = str(_class_service(common, name).value)
        floor = resolving.find_value(common, {}, '', name, 'floor').value
        if isinstance(floor, (int, float)):
            sums[service] = sums.get(service, 0.0) + floor
    for name, total in sums.items():
        if total > 1 + _FLOAT_TOLERANCE and name in common['services']:
            yield model.SettingsFault(
                FLOORS_OVER_CAPACITY, ('services', name), None,
                f'floors of its classes add up to {total:.3f}, over 1',
                'lower the floors of classes that use this service')


def _policy_faults(
    common, body: Mapping[str, Any], workspace: str, class_name: str,
    path: model.Path,
) -> Iterator[model.SettingsFault]:
    def value(key: str) -> Any:
        return resolving.find_value(
            common, body, workspace, class_name, key).value

    if value('hedge') is True and value('repeatable') is False:
        yield model.SettingsFault(
            HEDGED_NOT_REPEATABLE, path, None,
            'a class that is not repeatable is hedged',
            'a hedge runs the request twice; set hedge: false')
    target, deadline = value('target_ttft_s'), value('deadline_s')
    comparable = all(
        isinstance(each, (int, float)) for each in (target, deadline))
    if comparable and deadline < target:
        yield model.SettingsFault(
            DEADLINE_BEFORE_TARGET, path, None,
            f'deadline_s {deadline} is before target_ttft_s {target}',
            'a request would time out before it could miss its target')


def _inherited_faults(
    common, workspace: str, body: Mapping[str, Any],
) -> Iterator[model.SettingsFault]:
    """Yield the faults that a workspace's overrides introduce."""
    class_faults = {
        (name, fault.id)
        for name in common['classes']
        for fault in _policy_faults(common, {}, '', name, (name,))
    }
    for name in common['classes']:
        path = ('workspaces', workspace, 'classes', name)
        for fault in _policy_faults(common, body, workspace, name, path):
            if (name, fault.id) not in class_faults:
                yield fault


def _overrides_checked_keys(body: Mapping[str, Any]) -> bool:
    keys = {'hedge', 'repeatable', 'target_ttft_s', 'deadline_s'}
    bodies = [body, *_section(body, 'classes').values()]
    return any(keys & set(each) for each in bodies)


def _workspace_cross_faults(
    common, workspace: str, body: Mapping[str, Any],
) -> Iterator[model.SettingsFault]:
    overrides = _section(body, 'classes')
    for name in overrides:
        if name not in common['classes']:
            yield model.SettingsFault(
                UNKNOWN_CLASS, ('workspaces', workspace, 'classes', name),
                None, f'class {name!r} does not exist',
                schema_faults.suggest(name, common['classes']))
    if _overrides_checked_keys(body):
        well_formed = {**body, 'classes': overrides}
        yield from _inherited_faults(common, workspace, well_formed)


def token_hashes(body: Mapping[str, Any]) -> Iterator[tuple[int, str]]:
    """Yield the position and the hash of each token of a workspace."""
    listed = body.get('tokens', ())
    if isinstance(listed, list):
        for number, token in enumerate(listed):
            if isinstance(token, dict):
                yield number, str(token.get('sha256'))


def token_faults(
    bodies: Mapping[str, Mapping[str, Any]],
) -> Iterator[model.SettingsFault]:
    """Yield a fault for each repeated token hash."""
    owners: dict[str, str] = {}
    for workspace, body in bodies.items():
        for number, sha256 in token_hashes(body):
            if sha256 in owners:
                yield token_fault(workspace, number, owners[sha256])
            else:
                owners[sha256] = workspace


def token_fault(
    workspace: str, number: int, owner: str,
) -> model.SettingsFault:
    """Return the fault of a token that already belongs to ``owner``."""
    return model.SettingsFault(
        DUPLICATE_TOKEN, ('workspaces', workspace, 'tokens', str(number)),
        None,
        f'this token already belongs to workspace {owner!r}',
        'give each caller a token of its own')


def common_faults(
    common: Mapping[str, Any],
) -> Iterator[model.SettingsFault]:
    """Yield every fault in the sections other than the workspaces."""
    yield from schema_faults.common_faults(common)
    well_formed = _well_formed_sections(common)
    yield from _service_faults(well_formed)
    yield from _class_service_faults(well_formed)
    yield from _floor_faults(well_formed)
    for name in well_formed['classes']:
        yield from _policy_faults(
            well_formed, {}, '', name, ('classes', name))


def workspace_faults(
    common: Mapping[str, Any], bodies: Any,
) -> Iterator[model.SettingsFault]:
    """Yield every fault in ``bodies``, workspaces by name.

    Tokens are compared only within ``bodies``.
    """
    yield from schema_faults.workspace_faults(bodies)
    yield from cross_section_faults(common, bodies)
    yield from token_faults(_section({'at': bodies}, 'at'))


def cross_section_faults(
    common: Mapping[str, Any], bodies: Any,
) -> Iterator[model.SettingsFault]:
    """Yield faults of workspaces with regard to the other sections."""
    well_formed = _well_formed_sections(common)
    for name, body in _section({'at': bodies}, 'at').items():
        yield from _workspace_cross_faults(well_formed, name, body)


def document_faults(
    document: Mapping[str, Any],
) -> tuple[model.SettingsFault, ...]:
    """Return every fault of a whole document, unordered."""
    common = {
        key: value for key, value in document.items() if key != 'workspaces'}
    bodies = document.get('workspaces', {})
    return (
        *common_faults(common),
        *workspace_faults(common, bodies),
    )
