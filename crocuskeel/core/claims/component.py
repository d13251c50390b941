"""The claims ledger as a component of the daemon's reducer."""

from crocuskeel.core.claims import reducer

__all__ = ["handle"]


def handle(daemon, event, now):
    """Handle one event of a daemon; return effects."""
    return reducer.handle(daemon.claims, event, now)
