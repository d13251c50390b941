"""The operator's configuration of a case."""

from review.common import client


def route(name, service, kind="unsafe", timeout_ms=3000, goal_ms=400,
          attempts=1):
    """Return a route; its prefix is its name."""
    return {"Name": f"r-{name}", "Host": client.HOST, "Prefix": f"/{name}/",
            "Kind": kind, "TimeoutMs": timeout_ms, "GoalMs": goal_ms,
            "Priority": 2, "Service": service, "Attempts": attempts,
            "Public": False, "Affinity": False, "Resumable": False,
            "GapAimMs": 1000}


def config(version, routes, services):
    """Return a configuration with plain services and one tenant."""
    return {
        "Version": version, "Routes": routes,
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 100,
                      "Proto": "h1", "Tls": False} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "hule930", "ApiKeys": [client.KEY],
                     "Priority": 1}]}
