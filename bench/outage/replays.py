"""Replays of stored answers to callers that resend, as in the runtime."""

from bench.policy import clock as clocks
from bench.policy import fleet as fleets
from crocuskeel.core import events
from crocuskeel.core import messages

__all__ = ["replay_from_peer", "replay_local"]

POLL_S = 0.05
# The runtime's time-out for a peer that does not answer.
PEER_ANSWER_TIMEOUT_S = 3.0


def replay_local(world, node, rid, source_rid):
    """Answer ``rid`` with this host's stored answer to ``source_rid``."""
    _relay(world, node, node, rid, source_rid, None)


def replay_from_peer(world, node, rid, host, source_rid):
    """Answer ``rid`` with the answer to ``source_rid`` stored on ``host``."""
    fleet = world.fleet
    peer = fleet.nodes[host]
    ask = messages.ReplayAsk(source_rid, rid, 0)
    event = events.Received(
        node.name, node.daemon.identity.incarnation, ask,
        0, node.daemon.identity.address)
    clocks.call_later(
        fleet.clock, fleets.CROSS_DOMAIN_LATENCY_S, fleets.deliver, fleet,
        peer, event)
    deadline = fleet.clock.now + PEER_ANSWER_TIMEOUT_S
    clocks.call_later(
        fleet.clock, fleets.CROSS_DOMAIN_LATENCY_S * 2, _relay, world, node,
        peer, rid, source_rid, deadline)


def _relay(world, node, source, rid, source_rid, deadline):
    if rid not in node.daemon.frontend.relays:
        # The source request failed and its watchers were notified.
        return
    end = _replay_end(world, source, source_rid, deadline)
    if end is None:
        clocks.call_later(
            world.fleet.clock, POLL_S, _relay, world, node, source, rid,
            source_rid, deadline)
        return
    clocks.call_later(
        world.fleet.clock, 0.0, fleets.deliver, world.fleet, node,
        events.AttemptClosed(rid, 0, end))


def _replay_end(world, source, source_rid, deadline):
    if deadline is not None and world.fleet.clock.now >= deadline:
        return events.AttemptEnd.STREAM_UNKNOWN
    if source.held_events is not None or not source.up:
        return (None if deadline is not None
                else events.AttemptEnd.STREAM_UNKNOWN)
    if source_rid in source.daemon.frontend.requests:
        return None
    replay = source.daemon.frontend.ended_requests.get(source_rid)
    if replay is not None and replay.has_answer:
        return events.AttemptEnd.DONE
    return events.AttemptEnd.STREAM_UNKNOWN
