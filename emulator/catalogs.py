"""The configuration that hosts have in a simulated deployment."""

from crocuskeel.core.entry import model
from emulator import callers

__all__ = ["ENGINES", "PLAIN", "new_catalog", "workspace_names"]

ENGINES = "engines"
PLAIN = "plain"


def workspace_names(deployment):
    """Return the names of a deployment's workspaces."""
    return [f"w{number}" for number in range(deployment.workspaces)]


def new_catalog(deployment):
    """Return the hosts' configuration for a deployment."""
    names = workspace_names(deployment)
    api_keys = {callers.api_key(name): model.Workspace(name, None)
                for name in names} or None
    routes = [_route(kind, api_keys is None) for kind in deployment.kinds]
    cfg = deployment.engines
    services = {
        ENGINES: model.Service(ENGINES, 0, model.EngineSpec(
            cfg.slots, cfg.memory, cfg.fetch_token_us / 1e6)),
        PLAIN: model.Service(PLAIN, 0, None)}
    return model.Catalog(1, 1, {callers.ROUTE_HOST: routes}, services,
                         api_keys, model.Limits(16384, 1 << 20, 3.0, 15.0))


def _route(kind, public):
    stream = kind.kind == "stream"
    return model.Route(
        kind.name, callers.ROUTE_HOST, f"/{kind.name}/", model.Kind(kind.kind),
        ((ENGINES if stream else PLAIN, 1),), kind.limit_ms / 1e3,
        kind.goal_ms / 1e3, kind.servers, kind.priority, public,
        stream and kind.servers > 1, kind.gap_ms / 1e3)
