"""Kept answers, as the runtime gives them to callers who resend."""

from bench.policy import clock as clocks
from bench.policy import fleet as fleets
from crocuskeel.core import events
from crocuskeel.core import messages

__all__ = ["from_peer", "here"]

LOOK_S = 0.05
# The runtime's bound on a peer that answers nothing.
PEER_ANSWER_S = 3.0


def here(world, node, rid, held):
    """Answer ``rid`` with this host's own answer of ``held``."""
    _relay(world, node, node, rid, held, None)


def from_peer(world, node, rid, host, held):
    """Answer ``rid`` with what ``host`` holds of ``held``."""
    fleet = world.fleet
    peer = fleet.nodes[host]
    ask = messages.ReplayAsk(held, rid, 0)
    event = events.Received(
        node.name, node.daemon.me.incarnation, ask,
        0, node.daemon.me.address)
    clocks.at(fleet.clock, fleets.FAR_S, fleets.deliver, fleet, peer,
              event)
    until = fleet.clock.now + PEER_ANSWER_S
    clocks.at(fleet.clock, fleets.FAR_S * 2, _relay, world, node, peer,
              rid, held, until)


def _relay(world, node, source, rid, held, until):
    if rid not in node.daemon.door.relays:
        # The held request failed and its watchers were told.
        return
    end = _end_of(world, source, held, until)
    if end is None:
        clocks.at(world.fleet.clock, LOOK_S, _relay, world, node, source,
                  rid, held, until)
        return
    clocks.at(world.fleet.clock, 0.0, fleets.deliver, world.fleet, node,
              events.AttemptClosed(rid, 0, end))


def _end_of(world, source, held, until):
    if until is not None and world.fleet.clock.now >= until:
        return events.AttemptEnd.GONE
    if source.held is not None or not source.up:
        return None if until is not None else events.AttemptEnd.GONE
    if held in source.daemon.door.requests:
        return None
    kept = source.daemon.door.kept.get(held)
    if kept is not None and kept.done:
        return events.AttemptEnd.DONE
    return events.AttemptEnd.GONE
