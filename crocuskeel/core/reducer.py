"""The reducer: every event of a daemon goes through ``reduce``.

``ROUTES`` maps each type of event and of peer message to the components
that handle it, in order. A message that a host sends to itself (it is
often its own dispatcher) is reduced at once, without the network.
"""

import collections

from crocuskeel.core import backends
from crocuskeel.core.claims import component as claims
from crocuskeel.core import dispatch
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import exceptions
from crocuskeel.core import follower
from crocuskeel.core import frontend
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import quarantine

__all__ = ["ROUTES", "reduce"]

_ALL_COMPONENTS = (membership, follower, backends, quarantine, dispatch,
                   claims, frontend)

ROUTES = {
    events.Started: _ALL_COMPONENTS,
    events.TimerFired: _ALL_COMPONENTS,
    events.DrainAsked: _ALL_COMPONENTS,
    events.PeerUp: (follower, dispatch, claims, frontend),
    events.PeerDown: (follower, dispatch, claims, frontend),
    events.HostListSeen: (membership, follower, backends, dispatch,
                          frontend),
    events.HostListFailed: (membership, backends),
    events.StoreAnswered: (follower, claims),
    events.RequestArrived: (frontend,),
    events.ResumeArrived: (frontend,),
    events.CallerGone: (frontend,),
    events.LocateAsked: (frontend,),
    events.AttemptOpened: (frontend,),
    events.AttemptProgress: (frontend,),
    events.AttemptClosed: (frontend,),
    events.EngineLoadSeen: (dispatch,),
    events.EngineCacheSeen: (dispatch,),
    messages.Enqueue: (dispatch,),
    messages.Withdraw: (dispatch,),
    messages.Reregister: (dispatch,),
    messages.Progressed: (dispatch,),
    messages.Released: (dispatch,),
    messages.Grant: (frontend,),
    messages.Refusal: (frontend,),
    messages.NotDispatcher: (frontend,),
    messages.ReregisterAsk: (frontend,),
    messages.CrashSeen: (quarantine, dispatch),
    messages.ClaimAsk: (claims,),
    messages.ClaimSettle: (claims,),
    messages.ClaimAnswer: (frontend,),
    messages.ReplayAsk: (frontend,),
    messages.ReplayChunk: (frontend,),
    messages.Probe: (membership,),
    messages.ProbeAck: (membership,),
    messages.ProbeVia: (membership,),
    messages.SettingsAsk: (follower,),
    messages.SettingsAnswer: (follower,),
    messages.PartAsk: (follower,),
    messages.PartAnswer: (follower,),
    messages.SettingsVouchAsk: (follower,),
    messages.SettingsVouch: (follower,),
    messages.HostListAsk: (backends,),
    messages.HostListNews: (backends, dispatch),
}


def reduce(daemon, event, now):
    """Apply one event to the state; return the effects in order.

    ``now`` is the runtime's clock in seconds. ``daemon`` is changed in
    place. Raises :class:`UnknownEvent` for an event without a route.
    """
    out = []
    pending = collections.deque([event])
    while pending:
        current = pending.popleft()
        if follower.park(daemon, current, now):
            continue
        if follower.drop_parked(daemon, current):
            continue
        for effect in _step(daemon, current, now):
            if _is_to_self(daemon, effect):
                pending.append(_received_from_self(daemon, effect))
            else:
                out.append(effect)
        pending.extend(follower.take_released(daemon))
        if _must_drain(daemon):
            pending.append(events.DrainAsked())
    return out


def _must_drain(daemon):
    # A newer process runs under this host's name, so answers and grants
    # for one could reach the other. The older one drains.
    return (daemon.membership.superseded
            and daemon.frontend.drain_started_at is None)


def _step(daemon, event, now):
    if type(event) is events.Received:
        # Any message may carry a newer settings generation; the follower
        # handles it before the message itself is processed. Any message
        # also shows that its sender is alive.
        out = follower.record_peer_generation(daemon, event, now)
        membership.record_contact(daemon, event, now)
        kind = type(event.message)
    else:
        out = []
        kind = type(event)
    components = ROUTES.get(kind)
    if components is None:
        raise exceptions.UnknownEvent(kind.__name__)
    for component in components:
        out += component.handle(daemon, event, now)
    return out


def _is_to_self(daemon, effect):
    return (type(effect) is effects.Send
            and effect.host == daemon.identity.host)


def _received_from_self(daemon, effect):
    return events.Received(
        daemon.identity.host, daemon.identity.incarnation, effect.message,
        follower.generation(daemon))
