"""Requests that crash the servers that run them.

Such a request comes back at any host and would take one server after the
other. A request is suspected when its connection was torn and the server
proves gone: it can't be reached, or several connections to it were torn
together. It is refused once two servers went under it, or one twice; one
that merely stood beside it would have to stand beside two crashes.

A server that starts again keeps its id, so crashes are counted by its
lives (``incarnation``).
"""

__all__ = ["condemned", "ends_in", "learn", "note_alive",
           "note_gone", "note_torn", "pairs"]

# A crash tears all connections of a server at nearly the same time, s.
TOGETHER_S = 0.3
# How long a torn connection waits for its explanation, s: the entry of a
# server that went lapses within three of its heartbeats of 1.2 s.
EXPLAINED_S = 4.0
# Servers lost under one request before it is refused.
CRASHES = 2
KEPT_S = 60.0
KEPT_MOST = 256


def note_torn(host, digest, attempt, now):
    """Note a connection that a server ended under a request."""
    host.torn = [row for row in host.torn if row[0] > now - EXPLAINED_S]
    host.torn.append((now, attempt.sid, attempt.incarnation, digest))
    together = {row[3] for row in host.torn
                if row[2] == attempt.incarnation and row[0] > now - TOGETHER_S}
    if len(together) > 1:
        note_gone(host, attempt.sid, now)


def note_gone(host, sid, now):
    """Learn that a server is gone: what was torn there was a crash.

    It can't be reached, another host found it refusing, its entry went
    without notice, or it says that it started again.
    """
    for at, torn_sid, incarnation, digest in host.torn:
        if torn_sid == sid and at > now - EXPLAINED_S:
            learn(host, digest, incarnation, now)


def note_alive(host, incarnation, since):
    """Learn that a server finished what it began at ``since``.

    What was torn there later was an answer that it lost, and no crash:
    a crash ends all that a server does.
    """
    host.torn = [row for row in host.torn
                 if row[2] != incarnation or row[0] < since]
    for incarnations in host.crashed.values():
        if incarnation in incarnations and incarnations[incarnation] >= since:
            del incarnations[incarnation]


def learn(host, digest, incarnation, now):
    """Note that a server went under a request, here or elsewhere."""
    if digest not in host.crashed and len(host.crashed) >= KEPT_MOST:
        host.crashed.pop(next(iter(host.crashed)))
    host.crashed.setdefault(digest, {})[incarnation] = now


def condemned(host, digest, now):
    """Say whether a request must not reach one more server."""
    return ends_in(host, digest, now) > 0


def ends_in(host, digest, now):
    """Return for how long a request is still refused, s."""
    times = sorted(host.crashed.get(digest, {}).values(), reverse=True)
    if len(times) < CRASHES:
        return 0.0
    return max(0.0, times[CRASHES - 1] + KEPT_S - now)


def pairs(host, now, span_s):
    """Return (digest, incarnation) learned in the last ``span_s``.

    Not what was learned just now: the server may prove to be alive.
    """
    return tuple((digest, incarnation)
                 for digest, incarnations in host.crashed.items()
                 for incarnation, at in incarnations.items()
                 if now - span_s < at <= now - TOGETHER_S)
