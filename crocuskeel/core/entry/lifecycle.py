"""The planned stop of a host: nothing in progress is cut off."""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import holding
from crocuskeel.core.entry import telling

__all__ = ["go_on", "stop_asked"]

# Callers keep an address for its time to live, some three times as long;
# connections are taken for this many of them after the stop.
TTLS_KEPT = 3.0
# The process ends this long before it would be killed, s.
MARGIN_S = 0.4


def stop_asked(host, event, now):
    """Leave callers' lists, go on serving."""
    if host.stop_at is not None:
        return []
    host.stop_at = now
    fleet.changed(host)
    return ([effects.Note("stopping", {"pending": len(host.pending)})]
            + telling.tell(host, now) + holding.stop(host, now))


def go_on(host, now):
    """Close the door once callers have turned away; exit when empty."""
    if host.stop_at is None or host.exited:
        return []
    out = []
    kept = min(TTLS_KEPT * host.cfg.address_ttl_s, host.cfg.grace_s / 2)
    if not host.retired and now >= host.stop_at + kept:
        host.retired = True
        out.append(effects.Retire())
    late = now >= host.stop_at + host.cfg.grace_s - MARGIN_S
    if late or (host.retired and not host.pending):
        host.exited = True
        out.append(effects.Note("stopped", {
            "pending": len(host.pending)}))
        out.append(effects.Exit())
    return out
