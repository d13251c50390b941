"""Which hosts write streams to the store, and read them, for which others.

In a small fleet each host does so for itself. In a large one some serving
hosts do for all, so that the calls to the store don't grow with the fleet.
"""

from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import routing

__all__ = ["MAX_RECORDERS", "count", "helper", "may_read", "readers",
           "reads_for_all", "recorder"]

MAX_RECORDERS = 24
# Hosts that are asked to read for another one.
READERS = 2


def count(host, now):
    """Return how many hosts may write to the store as this one does.

    Any host may have to write by itself what those that write don't confirm.
    """
    serving = max(1, len(fleet.serving_hosts(host, now)))
    return min(MAX_RECORDERS, serving) if may_read(host, now) else serving


def recorder(host, name, now):
    """Return the Peer that writes the streams of the host of a name."""
    found = _recorders(host, now)
    for peer in found:
        if peer.name == name:
            return peer
    if not found:
        return host.self_peer
    return min(found, key=lambda peer: routing.cached_unit_hash(
        peer.name, name))


def helper(host, now):
    """Return a Peer that may write streams that the store refuses, or None.

    It is drawn anew each time, as others may be refused, too.
    """
    others = [peer for peer in _recorders(host, now) or fleet.serving_hosts(
        host, now) if peer.name != host.self_peer.name
        and host.peers[peer.name].writes_records]
    return host.rng.choice(others) if others else None


def reads_for_all(host, now):
    """Return whether this host writes and reads for others, too."""
    return any(peer.name == host.self_peer.name
               for peer in _recorders(host, now))


def may_read(host, now):
    """Return whether this host reads segments itself."""
    return not _recorders(host, now) or reads_for_all(host, now)


def readers(host, key, now):
    """Return the hosts that read segments to find a stream for this one."""
    if may_read(host, now):
        return []
    return sorted(_recorders(host, now), key=lambda peer: routing.unit_hash(
        key, peer.name))[:READERS]


def _recorders(host, now):
    """Return the hosts that write and read for all, () in a small fleet."""
    serving = fleet.serving_hosts(host, now)
    if len(serving) <= MAX_RECORDERS:
        return ()
    return sorted(serving, key=lambda peer: routing.cached_unit_hash(
        peer.name, "recorder"))[:MAX_RECORDERS]
