"""Servers that ask this host for rest as they refuse a request."""

from crocuskeel.core.entry import effects

__all__ = ["asked"]


def asked(host, attempt, rest_s, now):
    """Note that a refusal of an attempt asks for so many s of rest."""
    until = now + rest_s
    if until <= host.rests.get(attempt.incarnation, now):
        return []
    host.rests[attempt.incarnation] = until
    return [effects.Note("server_rests", {
        "server": attempt.sid, "rest_s": rest_s})]
