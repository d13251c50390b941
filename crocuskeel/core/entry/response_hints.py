"""Hints in response headers: rate limit, draining, and time to back off."""

from crocuskeel.core.entry import backoff
from crocuskeel.core.entry import brittle
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import draining
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import gossip
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import reachability

__all__ = ["handle_peer_hints", "handle_response_hints"]


def handle_response_hints(host, event, now):
    """Handle the hints of a response's headers; broadcast what changed."""
    pending, attempt = ending.find_attempt(host, event)
    if attempt is None:
        return []
    received = event.hints
    reached = reachability.note_answer(host, pending, attempt)
    out = ratelimits.note_response(host, attempt, received.rate_limit, now)
    if received.leaving:
        out += draining.note_response(host, attempt, now)
    if out:
        out += gossip.broadcast_hints(host, now)
    if received.brittle:
        begun = brittle.note_response(host, pending.service, now)
        if begun:
            out += begun + gossip.broadcast_state(host, now)
    if received.backoff_s is not None:
        out += backoff.note_backoff(host, attempt, received.backoff_s, now)
    return out + reached + crashes.note_response(host, attempt, now)


def handle_peer_hints(host, event, now):
    """Handle hints that another host received from servers."""
    return (ratelimits.merge(host, event.rate_limits, now)
            + draining.merge(host, event.servers_leaving, now))
