"""What a host that is stopping can still do before it has to exit."""

__all__ = ["EXIT_MARGIN_S", "ends_at", "log_fields"]

# The process exits this long before it would be killed, s.
EXIT_MARGIN_S = 0.4


def ends_at(host):
    """Return by when this host, which is stopping, exits."""
    return host.stop_at + host.cfg.grace_s - EXIT_MARGIN_S


def log_fields(host, now):
    """Return the fields of a log line about a request that is sent.

    ``stop_s`` is the time since the stop, and ``ends_in_s`` until the exit;
    none if this host isn't stopping.
    """
    if host.stop_at is None:
        return {}
    return {"stop_s": round(now - host.stop_at, 3),
            "ends_in_s": round(ends_at(host) - now, 3)}
