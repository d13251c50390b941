"""The one reducer: every event of a daemon goes through ``reduce``.

``ROUTES`` names, for each kind of event and of peer message, the
concerns that take it, in order. A message a host sends to itself (it is
often its own dispatcher) is reduced at once, without the network.
"""

import collections

from crocuskeel.core import backends
from crocuskeel.core.claims import concern as claims
from crocuskeel.core import dispatch
from crocuskeel.core import door
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import exceptions
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import quarantine

__all__ = ["ROUTES", "reduce"]

_ALL = (membership, follower, backends, quarantine, dispatch, claims,
        door)

ROUTES = {
    events.Started: _ALL,
    events.TimerFired: _ALL,
    events.DrainAsked: _ALL,
    events.PeerUp: (follower, dispatch, claims, door),
    events.PeerDown: (follower, dispatch, claims, door),
    events.HostListSeen: (membership, backends, dispatch, door),
    events.HostListFailed: (membership, backends),
    events.StoreAnswered: (follower, claims),
    events.RequestArrived: (door,),
    events.ResumeArrived: (door,),
    events.CallerGone: (door,),
    events.LocateAsked: (door,),
    events.AttemptOpened: (door,),
    events.AttemptProgress: (door,),
    events.AttemptClosed: (door,),
    events.EngineLoadSeen: (dispatch,),
    events.EngineCacheSeen: (dispatch,),
    messages.Enqueue: (dispatch,),
    messages.Withdraw: (dispatch,),
    messages.Reregister: (dispatch,),
    messages.Progressed: (dispatch,),
    messages.Released: (dispatch,),
    messages.Grant: (door,),
    messages.Refusal: (door,),
    messages.NotDispatcher: (door,),
    messages.ReregisterAsk: (door,),
    messages.CrashSeen: (quarantine, dispatch),
    messages.ClaimAsk: (claims,),
    messages.ClaimSettle: (claims,),
    messages.ClaimAnswer: (door,),
    messages.ReplayAsk: (door,),
    messages.ReplayChunk: (door,),
    messages.Probe: (membership,),
    messages.ProbeAck: (membership,),
    messages.ProbeVia: (membership,),
    messages.SettingsAsk: (follower,),
    messages.SettingsAnswer: (follower,),
    messages.PartAsk: (follower,),
    messages.PartAnswer: (follower,),
    messages.HostListAsk: (backends,),
    messages.HostListNews: (backends, dispatch),
}


def reduce(daemon, event, now):
    """Reduce one event into state; return the effects in order.

    ``now`` is the runtime's clock, seconds. ``daemon`` changes in
    place. Raises :class:`UnknownEvent` for an event without a route.
    """
    out = []
    pending = collections.deque([event])
    while pending:
        current = pending.popleft()
        if follower.park(daemon, current, now):
            continue
        if follower.forget(daemon, current):
            continue
        for effect in _step(daemon, current, now):
            if _to_self(daemon, effect):
                pending.append(_loop_back(daemon, effect))
            else:
                out.append(effect)
        pending.extend(follower.unpark(daemon))
        if _must_drain(daemon):
            pending.append(events.DrainAsked())
    return out


def _must_drain(daemon):
    # A newer process has this host's name: answers and grants meant for
    # one would reach the other. The older one lets its work finish.
    return daemon.members.superseded and daemon.door.drain_at is None


def _step(daemon, event, now):
    if type(event) is events.Received:
        # Any message may carry a newer settings generation; the
        # follower sees it before the message itself is judged. Any
        # message is a sign of life, too.
        out = follower.hear(daemon, event, now)
        membership.hear(daemon, event, now)
        kind = type(event.message)
    else:
        out = []
        kind = type(event)
    concerns = ROUTES.get(kind)
    if concerns is None:
        raise exceptions.UnknownEvent(kind.__name__)
    for concern in concerns:
        out += concern.handle(daemon, event, now)
    return out


def _to_self(daemon, effect):
    return (type(effect) is effects.Send
            and effect.host == daemon.me.host)


def _loop_back(daemon, effect):
    return events.Received(
        daemon.me.host, daemon.me.incarnation, effect.message,
        follower.generation(daemon))
