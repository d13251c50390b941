"""Decodes the configuration into the core's types."""

import re

from crocuskeel.core.entry import model
from crocuskeel.platform import exceptions
from crocuskeel.platform import objects

__all__ = ["catalog", "service"]

# Numbers of a configuration are exact as floats, and so are their sums with
# others in 64 bits.
MAX_NUMBER = 2 ** 53
# Hosts tell each other the priorities of requests, which rank far below it.
MAX_PRIORITY = 2 ** 31
# Hosts tell each other whole milliseconds.
MIN_GAP_MS = 1
# A path that a request line may have.
_PATH = re.compile(r"/[\x21-\x7e]{0,252}")


def catalog(obj):
    """Return the Catalog that the configuration's object holds.

    Raises InvalidObjectError if fields are missing or invalid.
    """
    try:
        spec = obj["Spec"]
        return model.Catalog(
            revision=_position(obj["Meta"]["Rev"]),
            version=_position(spec["Version"]),
            routes=_routes(_rows(spec.get("Routes"))),
            services={row["Name"]: service(row)
                      for row in _rows(spec.get("Services"))},
            api_keys=_api_keys(spec),
            limits=_limits(spec.get("Limits") or {}))
    except (AttributeError, KeyError, OverflowError, TypeError,
            ValueError) as exc:
        raise exceptions.InvalidObjectError(
            f"invalid configuration: {exc!r}") from exc


def _position(value):
    if not objects.is_count(value):
        raise ValueError("Rev or Version is no count")
    return value


def _rows(value):
    """Return a list, which may be missing; raises ValueError."""
    if value is None:
        return []
    if not isinstance(value, list):
        raise ValueError("rows are no list")
    return value


def _text(value):
    """Return a text that has bytes; raises ValueError for anything else."""
    if not isinstance(value, str):
        raise ValueError("not a text")
    value.encode()
    return value


def _name(value):
    """Return a name, which hosts hash, send and log."""
    if not objects.is_name(value):
        raise ValueError("not a name")
    return value


def _number(value, is_whole=False):
    """Return a finite number, 0 or more."""
    if not (type(value) is int or type(value) is float and not is_whole):
        raise ValueError("not a number")
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError("number out of range")
    return value


def _count(value, least=0, most=MAX_NUMBER):
    if not least <= _number(value, is_whole=True) <= most:
        raise ValueError("count out of range")
    return value


def _routes(rows):
    found = {}
    for row in rows:
        route = _route(row)
        found.setdefault(route.host, []).append(route)
    for routes in found.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return found


def _route(row):
    timeout_s = _number(row["TimeoutMs"]) / 1000
    return model.Route(
        name=_name(row["Name"]), host=_text(row["Host"]).lower(),
        prefix=_prefix(row["Prefix"]), kind=model.Kind(row["Kind"]),
        split=_split(row) or ((_name(row["Service"]), 1),),
        timeout_s=timeout_s,
        target_s=_number(row.get("GoalMs", row["TimeoutMs"])) / 1000,
        max_servers=max(1, _count(row.get("Attempts", 1))),
        priority=_priority(row.get("Priority", 0)),
        public=_flag(row.get("Public")),
        resumable=_flag(row.get("Resumable")),
        # Missing or 0: the usual one.
        gap_s=max(MIN_GAP_MS, _number(row.get("GapAimMs") or 1000)) / 1000)


def _prefix(value):
    """Return a prefix of paths; an empty one would match each of them."""
    if not _text(value).startswith("/") or not value.endswith("/"):
        raise ValueError("Prefix begins or ends without a slash")
    return value


def _flag(value):
    """Return whether a flag is set; any other type might mean that it isn't.

    A flag opens a route to all callers, or lets its requests run twice.
    """
    if not (value is None or isinstance(value, bool)):
        raise ValueError("flag is neither true nor false")
    return bool(value)


def _priority(value):
    return _count(value, most=MAX_PRIORITY)


def _split(row):
    found = tuple((_name(part["Service"]), _number(part["Weight"]))
                  for part in _rows(row.get("Split")))
    if found and not sum(weight for _, weight in found):
        raise ValueError("Split without a weight")
    return found


def service(row):
    """Return the Service of a row of the configuration.

    Raises AttributeError, KeyError, TypeError or ValueError if the row is
    invalid.
    """
    engine = row.get("Engine")
    if engine:
        engine = model.EngineSpec(
            _count(engine["Slots"], 1), _count(engine["KvTokens"], 1),
            _fetch_token_s(engine))
    return model.Service(
        _name(row["Name"]), _count(row.get("MaxConns", 0)), engine or None,
        _scaling(row.get("Autoscale")),
        _health_path(row.get("HealthPath") or "/"))


def _health_path(text):
    if not _PATH.fullmatch(text):
        raise ValueError("HealthPath is no path")
    return text


def _scaling(row):
    if not row:
        return None
    prices = row.get("ZonePrices") or {}
    spot_price = row.get("SpotPrice") or None
    return model.Scaling(
        min_engines=_count(row["Min"]), max_engines=_count(row["Max"]),
        boot_s=_number(row["BootTimeoutS"]),
        prices={_name(domain): _number(price)
                for domain, price in prices.items()},
        # Missing or 0: the service has no spot engines.
        spot_price=spot_price and _number(spot_price))


def _fetch_token_s(row):
    """Return the time to send the KV cache of a token, s."""
    size = _number(row.get("KvBytes") or 0)
    speed = _number(row.get("LinkMbps") or 0)
    return size * 8 / (speed * 1e6) if speed else 0.0


def _api_keys(spec):
    """Return the workspaces by their keys, None if keys are not used.

    They are used if there is a list of tenants, also an empty one.
    """
    if "Tenants" not in spec:
        return None
    keys = {}
    for row in _rows(spec["Tenants"]):
        priority = row.get("Priority")
        workspace = model.Workspace(
            _name(row["Name"]),
            None if priority is None else _priority(priority))
        keys.update(dict.fromkeys(
            map(_text, _rows(row.get("ApiKeys"))), workspace))
    return keys


def _limits(row):
    return model.Limits(
        header_bytes=_count(row.get("MaxHeaderBytes", 16384)),
        body_bytes=_count(row.get("MaxBodyBytes", 4 << 20)),
        header_s=_number(row.get("HeaderTimeoutMs", 3000)) / 1000,
        idle_s=_number(row.get("IdleTimeoutMs", 15000)) / 1000)
