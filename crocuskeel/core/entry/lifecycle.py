"""Graceful shutdown of a host, which lets requests in progress finish."""

from crocuskeel.core.entry import crash_store
from crocuskeel.core.entry import duty_lease
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import gossip
from crocuskeel.core.entry import stopping
from crocuskeel.core.entry import told_durations
from crocuskeel.core.entry import usage

__all__ = ["note_lateness", "step", "stop_asked", "stop_due"]

# Callers cache an address for its time to live, some of them three times
# as long; connections are accepted for this many TTLs after the stop.
ACCEPT_TTLS = 3.0
# Interval of the log lines on requests in progress, s.
LOG_INTERVAL_S = 1.0
# Maximum number of requests that such a line names.
MAX_NAMED = 64
# What remains of an observed lateness after each tick.
LATENESS_DECAY = 0.95


def note_lateness(host, late_s):
    """Record by how much the latest tick was late, s."""
    host.late_s = max(late_s, LATENESS_DECAY * host.late_s)


def stop_asked(host, event, now):
    """Begin the shutdown: stop advertising this host, keep serving."""
    if host.stop_at is not None:
        return []
    host.was_serving = fleet.is_serving_host(host, now)
    stopping.begin(
        host, now if event.asked_at is None else event.asked_at, now)
    host.stop_logged_at = now
    fleet.invalidate_serving_hosts(host)
    return ([effects.LogEvent("stopping", {
        **_progress(host, now), "late_s": round(now - host.stop_at, 3)}),
        effects.EndKeepAlive(),
        effects.ScheduleStopDue(host.stop_at + _accept_s(host)),
        effects.ScheduleStopDue(stopping.ends_at(host))]
        + told_durations.ask(host, now)
        + gossip.announce_stop(host, now) + duty_lease.stop(host, now)
        + step(host, 0, now))


def _accept_s(host):
    """Return for how long connections are accepted after the stop, s."""
    return min(ACCEPT_TTLS * host.cfg.address_ttl_s, host.cfg.grace_s / 2)


def _progress(host, now):
    """Return the fields of a line on what is in progress.

    A host that is killed logs nothing about it afterwards.
    """
    rids = [pending.request.rid for pending in host.pending.values()]
    return {"pending": len(rids), "rids": rids[:MAX_NAMED],
            "ends_in_s": round(stopping.ends_at(host) - now, 3)}


def stop_due(host, event, now):
    """Handle that a step of the shutdown is due."""
    return step(host, event.reading, now)


def step(host, reading, now):
    """Close the listener after the address TTLs; exit once idle.

    ``reading`` is the number of requests that are being read.
    """
    if host.stop_at is None or host.exited:
        return []
    out = _refuse_waiting(host, now)
    if not host.listener_closed and now >= host.stop_at + _accept_s(host):
        host.listener_closed = True
        out.append(effects.CloseListener())
    if now >= stopping.ends_at(host):
        return out + _exit(host, now)
    if host.listener_closed and not (
            host.pending or reading or host.memory.unsent
            or _has_unwritten(host, now)):
        return out + _exit(host, now)
    if now >= host.stop_logged_at + LOG_INTERVAL_S:
        host.stop_logged_at = now
        out.append(effects.LogEvent("still_stopping", _progress(host, now)))
    return out


def _has_unwritten(host, now):
    """Return whether the store is to get records that only this host has."""
    log = host.streams.log
    return bool(log.unwritten or log.told or host.streams.history.writing
                or crash_store.is_unwritten(host, now))


def _refuse_waiting(host, now):
    """Refuse requests that wait here and would outlast this host."""
    waiting = [pending for pending in host.pending.values()
               if stopping.must_refuse(host, pending, now)]
    return [effect for pending in waiting
            for effect in stopping.refuse(host, pending, now)]


def _exit(host, now):
    host.exited = True
    stopped = effects.LogEvent("stopped", {
        "pending": len(host.pending), "unsent": host.memory.unsent})
    return [*_cut_off(host, now), *_last_reports(host, now), stopped,
            effects.Exit()]


def _last_reports(host, now):
    """Tell others what they would hear with the next tick or load update."""
    out = gossip.send_load_update(host, None, now)
    if host.duties is not None:
        out += usage.send_counts(host, now)
    return out


def _cut_off(host, now):
    """End what the exit breaks off, with a log line for each request.

    Callers of streams have what was forwarded; all others get an error.
    """
    out = []
    for pending in list(host.pending.values()):
        out.append(ending.log_line(
            "cut_by_stop", pending.request, route=pending.route.name,
            service=pending.service,
            servers=[attempt.sid
                     for attempt in ending.active_attempts(pending)],
            begun=pending.forwarded_attempt is not None,
            after_s=round(now - pending.arrived_at, 3),
            arrived_s=round(pending.arrived_at - host.stop_at, 3)))
        out += ending.cancel_all(host, pending)
        if pending.forwarded_attempt is None:
            out += ending.give_up(host, pending, "stopping", now)
    return out
