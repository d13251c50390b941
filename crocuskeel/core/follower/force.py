"""When a complete generation comes into force.

A host that put in force what it alone has could restart, in a platform
outage, take the older generation from its peers, and show its callers
settings that went back. So a generation waits until one live peer holds
it too; that takes a round trip. A host without live peers does not
wait. What stays open: all holders restart in an outage before any other
host was told.
"""

from crocuskeel.core import effects
from crocuskeel.core.follower import parking
from crocuskeel.core.follower import state as states
from crocuskeel.core import membership
from crocuskeel.core import messages

__all__ = ["consider", "neighbours", "tell"]

# Each host tells the hosts 1, 3, 9, 27, ... places after it in the
# sorted list of a new generation: at most twice that many hops lead to
# any other host, and everyone is told by as many as it tells.
STRIDE = 3


def neighbours(host, live):
    """Return the hosts that ``host`` tells of a new generation.

    ``live`` is sorted. A random choice would leave one host in 400
    without anyone to tell it.
    """
    at = live.index(host) if host in live else 0
    told = []
    step = 1
    while step < len(live):
        told.append(live[(at + step) % len(live)])
        step *= STRIDE
    return [name for name in told if name != host]


def tell(daemon, source=""):
    """Tell neighbours, and ``source``, which generation is held here."""
    news = messages.SettingsAsk(states.held_generation(daemon))
    near = neighbours(daemon.me.host, membership.live(daemon))
    names = [source, *near] if source else near
    return [effects.Send(name, news) for name in dict.fromkeys(names)]


def consider(daemon, peer_holds):
    """Put the held generation in force if it may be; return effects.

    ``peer_holds``: a peer is known to hold it or a newer one.
    """
    state = daemon.follower
    alone = membership.live(daemon) in ((daemon.me.host,), ())
    if state.held is None or not (peer_holds or alone):
        return []
    state.tree, state.held = state.held, None
    if state.newest <= state.tree.generation:
        state.behind_since = None
        state.asked_peers.clear()
        parking.release(state)
    number = state.tree.generation
    return [effects.Record("settings_adopted", "", (("to", number),)),
            effects.Measure("settings.generation", number, "g")]
