"""Back-off from servers that refuse a request and name a retry delay.

A server that refuses all requests is never busy and looks like the best
choice: without a back-off each request would be sent there first and lose
one of its attempts. A server asks each host separately, so a back-off is
local to this host.
"""

from crocuskeel.core.entry import effects

__all__ = ["forget", "note_backoff", "remaining_s"]

# Longest back-off that is honoured, s: a corrupt number must not take a
# server out of use for good.
MAX_BACKOFF_S = 60.0


def note_backoff(host, attempt, backoff_s, now):
    """Note that the refusal of an attempt asks for a back-off."""
    until = now + min(backoff_s, MAX_BACKOFF_S)
    if until <= host.backoff_until.get(attempt.incarnation, now):
        return []
    host.backoff_until[attempt.incarnation] = until
    return [effects.LogEvent("server_rests", {
        "server": attempt.sid, "rest_s": backoff_s})]


def remaining_s(host, server, now):
    """Return the seconds until a server's back-off ends."""
    if not host.backoff_until:
        return 0.0
    return max(0.0, host.backoff_until.get(server.incarnation, now) - now)


def forget(host, now):
    """Forget back-offs that have ended."""
    for incarnation, until in list(host.backoff_until.items()):
        if until <= now:
            del host.backoff_until[incarnation]
