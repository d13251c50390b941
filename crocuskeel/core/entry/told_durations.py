"""A stopping host asks others how long requests take.

The load that it answers: hosts that have just started, or serve few requests
of a route, and have to say which of them end before they exit. What others
served is as good as what this host did. It costs a question and an answer of
some kilobytes for each of a few hosts, once a stop.
"""

from crocuskeel.core.entry import duration_events as events
from crocuskeel.core.entry import durations
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import routing

__all__ = ["answer", "ask", "hear"]

# So many hosts are asked.
ASKED = 8


def ask(host, now):
    """Ask some other hosts; return effects."""
    others = [peer for peer in (*fleet.serving_hosts(host, now),
                                *fleet.leaving_hosts(host, now))
              if peer.name != host.self_peer.name]
    others.sort(key=lambda peer: routing.unit_hash(
        host.self_peer.name, peer.name))
    question = events.DurationsAsked(host.self_peer.name)
    return [effects.SendToPeer(peer, question) for peer in others[:ASKED]]


def answer(host, event, now):
    """Tell another host what this one has seen; return effects."""
    asker = host.peers.get(event.name)
    rows = durations.rows(host.known_durations)
    if asker is None or not rows:
        return []
    return [effects.SendToPeer(asker.peer, events.DurationsTold(
        host.self_peer.name, rows))]


def hear(host, event, now):
    """Note what another host has seen, if this one has asked."""
    if host.stop_at is not None and event.name in host.peers:
        durations.merge(host.known_durations, event.rows)
    return []
