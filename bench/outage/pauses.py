"""Pauses a host that still believes it is the owner when it resumes.

The pause starts at the worst moment: the next write of a ledger is
decided but not yet sent. As in the runtime, links that are silent for
``peer_silence_s`` are closed, which loses the messages in transit, and
are then reopened; shorter pauses only delay messages.
"""

from bench.policy import clock as clocks
from bench.policy import fleet as fleets
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages

__all__ = ["connect", "pause_at_next_write", "postpone"]

RECONNECT_S = 0.1
_DATAGRAMS = (messages.Probe, messages.ProbeAck, messages.ProbeVia)


def pause_at_next_write(world, host, duration_s):
    """Pause the host right before its next ledger write."""
    world.pause_host = host
    world.pause_s = duration_s


def postpone(world, node, effect):
    """Postpone an effect of a paused host; return whether it was."""
    if node.held_events is None and not _pause_begins(world, node, effect):
        return False
    if node.held_events is None:
        _start_pause(world, node)
    world.postponed_effects[node.name].append(effect)
    return True


def _pause_begins(world, node, effect):
    return (node.name == world.pause_host
            and type(effect) is effects.StorePut
            and effect.op[0] == "claims")


def _start_pause(world, node):
    clock = world.fleet.clock
    silence_s = node.daemon.limits.peer_silence_s
    links_lost = world.pause_s > silence_s
    world.pause_host = ""
    world.pause_count += 1
    world.postponed_effects[node.name] = []
    node.held_events = []
    if links_lost:
        for other in _peers(world, node):
            clocks.call_later(
                clock, silence_s, fleets.deliver, world.fleet, other,
                events.PeerDown(node.name))
    clocks.call_later(clock, world.pause_s, _resume, world, node, links_lost)


def _peers(world, node):
    return [other for other in world.fleet.nodes.values()
            if other is not node]


def _resume(world, node, links_lost):
    held_events, node.held_events = node.held_events, None
    for effect in world.postponed_effects.pop(node.name):
        if not links_lost or type(effect) is not effects.Send:
            fleets.execute(world.fleet, node, effect)
    for event in held_events:
        if not links_lost or not _uses_link(event):
            fleets.deliver(world.fleet, node, event)
    if links_lost:
        for other in _peers(world, node):
            fleets.deliver(world.fleet, node, events.PeerDown(other.name))
            clocks.call_later(
                world.fleet.clock, RECONNECT_S, connect, world.fleet, node,
                other)


def _uses_link(event):
    return (type(event) is events.Received
            and not isinstance(event.message, _DATAGRAMS))


def connect(fleet, one, other):
    """Open or reopen the link between two hosts."""
    for node, peer in ((one, other), (other, one)):
        fleets.deliver(fleet, node, events.PeerUp(
            peer.name, peer.daemon.identity.incarnation))
