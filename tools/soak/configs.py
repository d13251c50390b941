"""The configurations that the operator of a run writes."""

from tools.soak import checks

__all__ = ["new_config"]

# Ordered engines never start, so that the holder repeats its orders.
AUTOSCALE = {"Min": 1, "Max": 20, "BootTimeoutS": 0.5, "SpotPrice": 0.2,
             "ZonePrices": {"zone-0": 1.0, "zone-1": 1.0}}


def new_config(version, key, stream_timeout_ms=4000, gap_ms=300):
    """Return a version: its routes, those before it, and one workspace."""
    routes = [_route(kind, stream_timeout_ms, gap_ms)
              for kind in checks.KINDS]
    routes += [_route(f"v{number}") for number in (version, version - 1)
               if number > 0]
    services = [
        {"Name": "plain", "MaxConns": 300, "HealthPath": "/health"},
        {"Name": "engines", "MaxConns": 300, "HealthPath": "/health",
         "Engine": {"Slots": 32, "KvTokens": 400_000},
         "Autoscale": AUTOSCALE}]
    return {"Version": version, "Routes": routes, "Services": services,
            "Tenants": [{"Name": "hire", "ApiKeys": [key]}]}


def _route(kind, stream_timeout_ms=4000, gap_ms=300):
    stream = kind in checks.STREAMS
    return {"Name": kind, "Host": "desk", "Prefix": f"/{kind}/",
            "Kind": ("stream" if stream else
                     "unsafe" if kind == "unsafe" else "safe"),
            "TimeoutMs": stream_timeout_ms if stream else 4000,
            "GoalMs": 500, "Attempts": 2,
            "Resumable": stream, "GapAimMs": gap_ms,
            "Priority": 2 if kind == "low" else 0,
            "Service": "engines" if stream else "plain"}
