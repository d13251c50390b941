"""Graceful shutdown of a host, which lets requests in progress finish."""

from crocuskeel.core.entry import duty_lease
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import gossip
from crocuskeel.core.entry import stopping

__all__ = ["step", "stop_asked"]

# Callers cache an address for its time to live, some of them three times
# as long; connections are accepted for this many TTLs after the stop.
ACCEPT_TTLS = 3.0
# Interval of the log lines on requests in progress, s.
LOG_INTERVAL_S = 1.0
# Maximum number of requests that such a line names.
MAX_NAMED = 64


def stop_asked(host, event, now):
    """Begin the shutdown: stop advertising this host, keep serving."""
    if host.stop_at is not None:
        return []
    host.stop_at = now
    host.stop_logged_at = now
    fleet.invalidate_serving_hosts(host)
    return ([effects.LogEvent("stopping", _progress(host, now))]
            + gossip.send_state(host, now) + duty_lease.stop(host, now))


def _progress(host, now):
    """Return the fields of a line on what is in progress.

    A host that is killed logs nothing about it afterwards.
    """
    rids = [pending.request.rid for pending in host.pending.values()]
    return {"pending": len(rids), "rids": rids[:MAX_NAMED],
            "ends_in_s": round(stopping.ends_at(host) - now, 3)}


def step(host, now):
    """Close the listener after the address TTLs; exit once idle."""
    if host.stop_at is None or host.exited:
        return []
    out = []
    accept_s = min(ACCEPT_TTLS * host.cfg.address_ttl_s,
                   host.cfg.grace_s / 2)
    if not host.listener_closed and now >= host.stop_at + accept_s:
        host.listener_closed = True
        out.append(effects.CloseListener())
    if now >= stopping.ends_at(host):
        return out + _cut_off(host, now) + _exit(host)
    if (host.listener_closed and not host.pending
            and not host.memory.unsent):
        return out + _exit(host)
    if now >= host.stop_logged_at + LOG_INTERVAL_S:
        host.stop_logged_at = now
        out.append(effects.LogEvent("still_stopping", _progress(host, now)))
    return out


def _cut_off(host, now):
    """Return a log line for each request that the exit breaks off."""
    return [ending.log_line(
        "cut_by_stop", pending.request, route=pending.route.name,
        service=pending.service,
        servers=[attempt.sid for attempt in ending.active_attempts(pending)],
        begun=pending.forwarded_attempt is not None,
        after_s=round(now - pending.arrived_at, 3),
        arrived_s=round(pending.arrived_at - host.stop_at, 3))
        for pending in host.pending.values()]


def _exit(host):
    host.exited = True
    return [effects.LogEvent("stopped", {
        "pending": len(host.pending), "unsent": host.memory.unsent}),
        effects.Exit()]
