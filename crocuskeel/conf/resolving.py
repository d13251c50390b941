"""Inheritance: resolving sparse settings to the policy of one class.

A value is looked up, highest precedence first, in the workspace's own
overrides for the class, in the class, in the workspace and in the
defaults. A value that none of them sets is built in.
"""

import functools
from typing import Any
from typing import Callable
from typing import Iterator
from typing import Mapping

from crocuskeel.conf import fields
from crocuskeel.conf import model
from crocuskeel.conf import parts
from crocuskeel.conf import tokens

DEFAULT_ROLES = ('call',)


def layers(
    common: Mapping[str, Any],
    body: Mapping[str, Any],
    workspace: str,
    class_name: str,
) -> Iterator[tuple[model.Layer, model.Path, Mapping[str, Any]]]:
    """Yield the layers of inheritance, highest precedence first."""
    inner = ('workspaces', workspace, 'classes', class_name)
    yield (
        model.Layer.WORKSPACE_CLASS, inner,
        body.get('classes', {}).get(class_name, {}))
    yield (
        model.Layer.CLASS, ('classes', class_name),
        common.get('classes', {}).get(class_name, {}))
    yield model.Layer.WORKSPACE, ('workspaces', workspace), body
    yield model.Layer.DEFAULT, ('defaults',), common.get('defaults', {})


def _builtin(key: str) -> Any:
    if key == 'weight':
        return fields.DEFAULT_WEIGHT
    return fields.FIELDS[key].builtin


def find_value(
    common: Mapping[str, Any],
    body: Mapping[str, Any],
    workspace: str,
    class_name: str,
    key: str,
) -> model.Origin:
    """Return the resolved value of ``key``, and its layer."""
    candidates = layers(common, body, workspace, class_name)
    for layer, path, values in candidates:
        if key in values:
            return model.Origin(layer, (*path, key), values[key])
    return model.Origin(model.Layer.BUILTIN, (), _builtin(key))


def build_policy(
    generation: int,
    common: Mapping[str, Any],
    body: Mapping[str, Any],
    workspace: str,
    class_name: str,
) -> model.ClassPolicy:
    """Return the policy of a class, which must exist."""
    keys = (*fields.FIELDS, 'weight')
    values = {
        key: find_value(common, body, workspace, class_name, key).value
        for key in keys
    }
    service = common.get('services', {}).get(values['service'], {})
    return model.ClassPolicy(
        name=class_name,
        workspace=workspace,
        kind=service.get('kind', 'engine'),
        generation=generation,
        **values,
    )


def _policy_reader(
    generation: int,
    common: Mapping[str, Any],
    read_workspace: Callable[[str], Mapping[str, Any] | None],
    max_size: int,
) -> Callable[[str, str], model.ClassPolicy | None]:
    classes = common.get('classes', {})

    @functools.lru_cache(maxsize=max_size)
    def policy(workspace: str, class_name: str) -> model.ClassPolicy | None:
        body = read_workspace(workspace)
        if body is None or class_name not in classes:
            return None
        return build_policy(generation, common, body, workspace, class_name)

    return policy


def _find_token(
    shard: Mapping[str, Any], sha256: str,
) -> model.CallerIdentity | None:
    for workspace, body in shard.items():
        for token in body.get('tokens', ()):
            if token['sha256'] == sha256:
                roles = tuple(token.get('roles', DEFAULT_ROLES))
                return model.CallerIdentity(
                    workspace, token['caller'], roles)
    return None


def new_lookups(
    generation: int,
    common: Mapping[str, Any],
    shards: Mapping[int, model.Part],
    index: bytes,
    decode: Callable[[model.Part], Mapping[str, Any]],
    max_policies: int,
    max_callers: int,
) -> model.Lookups:
    """Return cached readers that keep at most the given counts.

    The readers close over the tree's fields and not over the tree, so a
    replaced generation is freed as soon as its last request ends.
    """

    def read_workspace(workspace: str) -> Mapping[str, Any] | None:
        part = shards.get(parts.shard_of(workspace))
        return decode(part).get(workspace) if part else None

    @functools.lru_cache(maxsize=max_callers)
    def caller(sha256: str) -> model.CallerIdentity | None:
        for number in tokens.find_shards(index, sha256):
            found = _find_token(decode(shards[number]), sha256)
            if found:
                return found
        return None

    policy = _policy_reader(
        generation, common, read_workspace, max_policies)
    return model.Lookups(read_workspace, policy, caller)


def resolve(
    tree: model.Tree, workspace: str, class_name: str,
) -> model.ClassPolicy | None:
    """Return the policy of a class, or None where either is unknown."""
    return tree.lookups.policy(workspace, class_name)


def find_caller(
    tree: model.Tree, token_sha256: str,
) -> model.CallerIdentity | None:
    """Return the caller of the token with this hex SHA-256, or None."""
    return tree.lookups.caller(token_sha256)


def find_origin(
    tree: model.Tree, workspace: str, class_name: str, key: str,
) -> model.Origin | None:
    """Return the value of ``key`` and its layer; None if unknown."""
    body = tree.lookups.workspace(workspace)
    known = class_name in tree.common.get('classes', {})
    if body is None or not known:
        return None
    if key not in fields.FIELDS and key != 'weight':
        return None
    return find_value(tree.common, body, workspace, class_name, key)


def find_service(tree: model.Tree, name: str) -> model.ServicePolicy | None:
    """Return one service's settings, completed by built-in values."""
    body = tree.common.get('services', {}).get(name)
    if body is None:
        return None
    return model.ServicePolicy(
        name=name,
        kind=body['kind'],
        models=tuple(body.get('models', ())),
        max_slots_per_engine=body.get(
            'max_slots_per_engine', fields.DEFAULT_SLOTS),
        checks_fence=body.get('checks_fence', False),
    )


def cell_size(tree: model.Tree) -> int:
    """Return the maximum number of engines in one cell."""
    return tree.common.get('cell_size', fields.DEFAULT_CELL_SIZE)
