"""A host that stops for a while and wakes believing it is in charge.

It falls asleep at the worst moment: its next write of a ledger is
decided and not yet sent. As in the runtime, links that are silent for
``peer_silence_s`` end, with what was under way on them, and are made
again; shorter pauses only delay.
"""

from bench.policy import clock as clocks
from bench.policy import fleet as fleets
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages

__all__ = ["at_write", "connect", "holds"]

REDIAL_S = 0.1
_DATAGRAMS = (messages.Probe, messages.ProbeAck, messages.ProbeVia)


def at_write(world, host, span_s):
    """Pause the host when it next would write a ledger."""
    world.sleeper = host
    world.sleep_s = span_s


def holds(world, node, effect):
    """Keep an effect of a host that sleeps; tell whether it does."""
    if node.held is None and not _falls_asleep(world, node, effect):
        return False
    if node.held is None:
        _pause(world, node)
    world.postponed[node.name].append(effect)
    return True


def _falls_asleep(world, node, effect):
    return (node.name == world.sleeper
            and type(effect) is effects.StorePut
            and effect.op[0] == "claims")


def _pause(world, node):
    clock = world.fleet.clock
    silence_s = node.daemon.limits.peer_silence_s
    is_cut = world.sleep_s > silence_s
    world.sleeper = ""
    world.slept += 1
    world.postponed[node.name] = []
    node.held = []
    if is_cut:
        for other in _others(world, node):
            clocks.at(clock, silence_s, fleets.deliver, world.fleet, other,
                      events.PeerDown(node.name))
    clocks.at(clock, world.sleep_s, _wake, world, node, is_cut)


def _others(world, node):
    return [other for other in world.fleet.nodes.values()
            if other is not node]


def _wake(world, node, is_cut):
    waiting, node.held = node.held, None
    for effect in world.postponed.pop(node.name):
        if not is_cut or type(effect) is not effects.Send:
            fleets.execute(world.fleet, node, effect)
    for event in waiting:
        if not is_cut or not _is_streamed(event):
            fleets.deliver(world.fleet, node, event)
    if is_cut:
        for other in _others(world, node):
            fleets.deliver(world.fleet, node, events.PeerDown(other.name))
            clocks.at(world.fleet.clock, REDIAL_S, connect, world.fleet,
                      node, other)


def _is_streamed(event):
    return (type(event) is events.Received
            and not isinstance(event.message, _DATAGRAMS))


def connect(fleet, one, other):
    """Two hosts have a link, perhaps anew."""
    for node, peer in ((one, other), (other, one)):
        fleets.deliver(fleet, node, events.PeerUp(
            peer.name, peer.daemon.me.incarnation))
