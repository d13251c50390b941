"""When a complete generation comes into force.

If a host adopted a generation that no other host holds and restarted
during a platform outage, it would take the older generation from its
peers, and its callers would see settings go back. So a generation waits
until one live peer holds it too, which takes one round trip. After a
restart it also waits until this host knows that it had no newer one in
force (:mod:`recovery`). A host that is alone waits for no peer.
"""

from crocuskeel.core import effects
from crocuskeel.core.follower import parking
from crocuskeel.core.follower import state as states
from crocuskeel.core import membership
from crocuskeel.core import messages

__all__ = ["adopt_if_confirmed", "announce", "neighbours"]

# Each host announces a new generation to the hosts 1, 3, 9, 27, ...
# positions after it in the sorted list. At most twice that many hops
# reach any other host, and each host receives as many announcements as
# it sends.
STRIDE = 3


def neighbours(host, live):
    """Return the hosts to which ``host`` announces a new generation.

    ``live`` is sorted. With a random choice, one host in 400 would
    receive no announcement.
    """
    position = live.index(host) if host in live else 0
    targets = []
    step = 1
    while step < len(live):
        targets.append(live[(position + step) % len(live)])
        step *= STRIDE
    return [name for name in targets if name != host]


def announce(daemon, source=""):
    """Announce the held generation to neighbours and to ``source``."""
    request = messages.SettingsAsk(states.held_generation(daemon))
    targets = neighbours(daemon.identity.host, membership.live(daemon))
    names = [source, *targets] if source else targets
    return [effects.Send(name, request) for name in dict.fromkeys(names)]


def adopt_if_confirmed(daemon, held_by_peer):
    """Adopt the held generation if allowed; return effects.

    ``held_by_peer``: a peer is known to hold it or a newer one.
    """
    state = daemon.follower
    if state.held is None or not (held_by_peer or _is_alone(daemon)):
        return []
    if state.floor is None or state.held.generation < state.floor:
        return []
    state.tree, state.held = state.held, None
    if state.newest_known_generation <= state.tree.generation:
        state.behind_since = None
        state.asked_peers.clear()
        parking.release(state)
    number = state.tree.generation
    return [effects.Record("settings_adopted", "", (("to", number),)),
            effects.Measure("settings.generation", number, "g")]


def _is_alone(daemon):
    """Return whether there is no other host.

    A host that is only cut off from the others would put in force what
    none of them knows of after its restart. The host list still has them.
    """
    if membership.live(daemon) not in ((daemon.identity.host,), ()):
        return False
    listed = daemon.follower.listed
    return not (daemon.identity.seeds if listed is None else listed)
