"""Servers that ask this host for rest as they refuse a request.

The load that this answers: a server that refuses all that it gets is never
busy and looks the best, so that each request goes there first and uses up
one of its attempts. The rest is this host's alone; others are asked for
their own.
"""

from crocuskeel.core.entry import effects

__all__ = ["asked", "forget", "free_in"]

# No rest is longer, s: a spoilt number must not take a server away for
# good.
REST_MOST_S = 60.0


def asked(host, attempt, rest_s, now):
    """Note that a refusal of an attempt asks for so many s of rest."""
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
