"""What servers say in the heads of their answers of what they take."""

from crocuskeel.core.entry import backoff
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import leaving
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import telling

__all__ = ["heard", "seen"]


def seen(host, event, now):
    """Take the hints of an answer's head, and tell what changed."""
    pending, attempt = ending.find(host, event)
    if attempt is None:
        return []
    found = event.hints
    out = ratelimits.named(host, attempt, found.rate_limit, now)
    if found.leaving:
        out += leaving.said(host, attempt, now)
    if out:
        out += telling.tell_hints(host, now)
    if found.rest_s is not None:
        out += backoff.asked(host, attempt, found.rest_s, now)
    return out


def heard(host, event, now):
    """Take what another host was told by servers."""
    return (ratelimits.heard(host, event.rate_limits, now)
            + leaving.heard(host, event.servers_leaving, now))
