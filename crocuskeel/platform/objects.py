"""Objects of the platform's store, decoded into the core's types."""

from crocuskeel.core.entry import model
from crocuskeel.platform import exceptions

__all__ = ["catalog", "name", "peer", "peer_spec", "server"]

DRAINING = "draining"
# A host that started again is at the same address: its entry is written
# once, and its datagrams tell which boot it is.
UNKNOWN_BOOT = 0


def name(obj):
    """Return an object's name."""
    return obj["Meta"]["Name"]


def catalog(obj):
    """Return the Catalog of the configuration's object.

    Raises BadObject if it is not of the expected form.
    """
    try:
        spec = obj["Spec"]
        return model.Catalog(
            revision=obj["Meta"]["Rev"], version=spec["Version"],
            routes=_routes(spec.get("Routes") or ()),
            services={row["Name"]: _service(row)
                      for row in spec.get("Services") or ()},
            api_keys=_api_keys(spec.get("Tenants")),
            limits=_limits(spec.get("Limits") or {}))
    except (KeyError, TypeError, ValueError) as exc:
        raise exceptions.BadObject(f"configuration: {exc!r}") from exc


def _routes(rows):
    found = {}
    for row in rows:
        route = _route(row)
        found.setdefault(route.host, []).append(route)
    for routes in found.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return found


def _route(row):
    split = tuple((part["Service"], part["Weight"])
                  for part in row.get("Split") or ())
    timeout_s = row["TimeoutMs"] / 1000
    return model.Route(
        name=row["Name"], host=row["Host"].lower(), prefix=row["Prefix"],
        kind=model.Kind(row["Kind"]),
        split=split or ((row["Service"], 1),),
        timeout_s=timeout_s,
        goal_s=row.get("GoalMs", row["TimeoutMs"]) / 1000,
        tries=max(1, row.get("Attempts", 1)),
        priority=row.get("Priority", 0),
        public=bool(row.get("Public")),
        resumable=bool(row.get("Resumable")),
        gap_s=row.get("GapAimMs", 1000) / 1000)


def _service(row):
    engine = row.get("Engine")
    if engine:
        engine = model.Engine(engine["Slots"], engine["KvTokens"])
    return model.Service(row["Name"], row.get("MaxConns", 0),
                         engine or None)


def _api_keys(rows):
    if not rows:
        return None
    keys = {}
    for row in rows:
        workspace = model.Workspace(row["Name"], row.get("Priority"))
        keys.update(dict.fromkeys(row.get("ApiKeys") or (), workspace))
    return keys


def _limits(row):
    return model.Limits(
        head_bytes=row.get("MaxHeaderBytes", 16384),
        body_bytes=row.get("MaxBodyBytes", 4 << 20),
        head_s=row.get("HeaderTimeoutMs", 3000) / 1000,
        idle_s=row.get("IdleTimeoutMs", 15000) / 1000)


def server(obj):
    """Return the Server of a registered backend server's entry.

    Raises BadObject if it is not of the expected form.
    """
    try:
        # A server writes its entry itself; which of the two halves of
        # an object holds it is not said.
        spec = obj.get("Spec") or obj["Status"]
        ip, _, port = spec["Addr"].rpartition(":")
        return model.Server(
            sid=name(obj), service=spec["Service"],
            address=(ip, int(port)), domain=spec.get("Zone", ""),
            slots=spec.get("Slots", 1),
            draining=(spec.get("State") == DRAINING
                      or bool(obj["Meta"].get("Deleting"))),
            cold_s=spec.get("ColdLeftMs", 0) / 1000)
    except (KeyError, TypeError, ValueError) as exc:
        raise exceptions.BadObject(f"server: {exc!r}") from exc


def peer_spec(me):
    """Return what a host registers of itself in the store."""
    return {"Zone": me.domain, "Front": me.front,
            "Control": list(me.control), "Gossip": list(me.gossip),
            "Cores": me.capacity}


def peer(obj):
    """Return the Peer that a host registered; raises BadObject."""
    try:
        spec = obj["Spec"]
        return model.Peer(
            name(obj), UNKNOWN_BOOT, spec["Zone"], spec["Front"],
            tuple(spec["Control"]), tuple(spec["Gossip"]), spec["Cores"])
    except (KeyError, TypeError, ValueError) as exc:
        raise exceptions.BadObject(f"host: {exc!r}") from exc
