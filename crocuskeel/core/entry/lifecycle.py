"""Graceful shutdown of a host, which lets requests in progress finish."""

from crocuskeel.core.entry import duty_lease
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import gossip

__all__ = ["step", "stop_asked"]

# Callers cache an address for its time to live, some of them three times
# as long; connections are accepted for this many TTLs after the stop.
ACCEPT_TTLS = 3.0
# The process exits this long before it would be killed, s.
EXIT_MARGIN_S = 0.4


def stop_asked(host, event, now):
    """Begin the shutdown: stop advertising this host, keep serving."""
    if host.stop_at is not None:
        return []
    host.stop_at = now
    fleet.invalidate_serving_hosts(host)
    return ([effects.LogEvent("stopping", {"pending": len(host.pending)})]
            + gossip.send_state(host, now) + duty_lease.stop(host, now))


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
    must_exit = now >= host.stop_at + host.cfg.grace_s - EXIT_MARGIN_S
    if must_exit or (host.listener_closed and not host.pending
                     and not host.memory.unsent):
        host.exited = True
        out.append(effects.LogEvent("stopped", {
            "pending": len(host.pending), "unsent": host.memory.unsent}))
        out.append(effects.Exit())
    return out
