"""Servers that refuse a request and say when to come back.

The load that this answers: a server that refuses all requests is never
busy and looks like the best choice, so that each request goes there first
and loses one of its attempts. A server asks each host by itself, so the
time holds for this host alone.
"""

from crocuskeel.core.entry import effects

__all__ = ["asked", "forget", "free_in"]

# Longest time that is honoured, s: a corrupt number must not take a server
# out of use for good.
REST_MOST_S = 60.0


def asked(host, attempt, rest_s, now):
    """Note that a refusal of an attempt asks for ``rest_s`` seconds."""
    until = now + min(rest_s, REST_MOST_S)
    if until <= host.rests.get(attempt.incarnation, now):
        return []
    host.rests[attempt.incarnation] = until
    return [effects.Note("server_rests", {
        "server": attempt.sid, "rest_s": rest_s})]


def free_in(host, server, now):
    """Return after how many s a server's rest is over."""
    if not host.rests:
        return 0.0
    return max(0.0, host.rests.get(server.incarnation, now) - now)


def forget(host, now):
    """Forget rests that are over."""
    for incarnation, until in list(host.rests.items()):
        if until <= now:
            del host.rests[incarnation]
