"""What servers say in the heads of their answers of what they take."""

from crocuskeel.core.entry import ending
from crocuskeel.core.entry import ratelimits

__all__ = ["seen"]


def seen(host, event, now):
    """Take the hints of an answer's head."""
    pending, attempt = ending.find(host, event)
    if attempt is None:
        return []
    return ratelimits.named(host, attempt, event.hints.rate_limit, now)
