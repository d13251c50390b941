"""Servers that say in their answers that they leave."""

from crocuskeel.core.entry import effects

__all__ = ["said"]


def said(host, attempt, now):
    """Note that an answer to an attempt says so."""
    if attempt.incarnation in host.leaving:
        return []
    host.leaving[attempt.incarnation] = now
    return [effects.Note("server_leaving", {"server": attempt.sid})]
