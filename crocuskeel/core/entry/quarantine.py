"""Quarantine of requests that crash the servers that run them.

Such a request is retried through any host and would crash one server
after another. A crash is attributed to a request if its connection was
lost and its server is found to be down: the server can't be reached, or
several connections to it were lost together. The request is refused once
it crashed two servers, or one server twice; a harmless request would have
to be in progress during two crashes to be refused.

A server that restarts keeps its id, so crashes are counted by its
incarnation.

The functions that record something return effects, which log it.
"""

from crocuskeel.core.entry import effects

__all__ = ["is_quarantined", "note_completed", "note_disconnect",
           "recent_crashes", "record_crash", "record_server_down",
           "time_left_s"]

# A crash ends all connections of a server within this time, s.
CRASH_SPREAD_S = 0.3
# For how long a lost connection may still be attributed to a crash, s: the
# entry of a crashed server lapses within three of its heartbeats of 1.2 s.
CRASH_CONFIRM_S = 4.0
# Crashes under one request after which it is refused.
CRASH_LIMIT = 2
QUARANTINE_S = 60.0
MAX_DIGESTS = 256


def note_disconnect(host, digest, attempt, now):
    """Record that a server ended the connection of a request."""
    host.disconnects = [row for row in host.disconnects
                        if row[0] > now - CRASH_CONFIRM_S]
    host.disconnects.append((now, attempt.sid, attempt.incarnation, digest))
    together = {row[3] for row in host.disconnects
                if row[2] == attempt.incarnation
                and row[0] > now - CRASH_SPREAD_S}
    out = [_line("crash_suspected", digest, attempt.incarnation)]
    if len(together) > 1:
        out += record_server_down(host, attempt.sid, "together", now)
    return out


def record_server_down(host, sid, sign, now):
    """Treat the connections recently lost at a server as due to a crash.

    The server can't be reached, another host reports that it refuses
    connections, its entry vanished without notice, or it reports a restart;
    ``sign`` says which, for the log.
    """
    out = []
    for at, torn_sid, incarnation, digest in host.disconnects:
        if torn_sid == sid and at > now - CRASH_CONFIRM_S:
            out += record_crash(host, digest, incarnation, sign, now)
    return out


def note_completed(host, incarnation, since):
    """Record that a server completed a request that began at ``since``.

    Connections lost there since then were not due to a crash, which would
    have ended that request as well.
    """
    refuted = {row[3] for row in host.disconnects
               if row[2] == incarnation and row[0] >= since}
    host.disconnects = [row for row in host.disconnects
                        if row[2] != incarnation or row[0] < since]
    for digest, incarnations in host.crashes.items():
        if incarnation in incarnations and incarnations[incarnation] >= since:
            del incarnations[incarnation]
            refuted.add(digest)
    return [_line("crash_refuted", digest, incarnation)
            for digest in sorted(refuted)]


def record_crash(host, digest, incarnation, sign, now):
    """Record that a server crashed under a request, here or elsewhere."""
    if digest not in host.crashes and len(host.crashes) >= MAX_DIGESTS:
        host.crashes.pop(next(iter(host.crashes)))
    incarnations = host.crashes.setdefault(digest, {})
    is_known = incarnation in incarnations
    incarnations[incarnation] = now
    if is_known:
        return []
    return [_line("crash_confirmed", digest, incarnation, sign=sign,
                  crashes=len(incarnations),
                  quarantined=is_quarantined(host, digest, now))]


def _line(event, digest, incarnation, **fields):
    return effects.LogEvent(
        event, {"digest": digest, "incarnation": incarnation, **fields})


def is_quarantined(host, digest, now):
    """Return whether a request is quarantined."""
    return time_left_s(host, digest, now) > 0


def time_left_s(host, digest, now):
    """Return the time left of a request's quarantine, s."""
    times = sorted(host.crashes.get(digest, {}).values(), reverse=True)
    if len(times) < CRASH_LIMIT:
        return 0.0
    return max(0.0, times[CRASH_LIMIT - 1] + QUARANTINE_S - now)


def recent_crashes(host, now, span_s):
    """Return the (digest, incarnation) of crashes in the last ``span_s``.

    The most recent ones are left out, as the server may yet complete a
    request and so prove that it has not crashed.
    """
    return tuple((digest, incarnation)
                 for digest, incarnations in host.crashes.items()
                 for incarnation, at in incarnations.items()
                 if now - span_s < at <= now - CRASH_SPREAD_S)
