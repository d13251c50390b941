"""Answers that exist already: resends under a key, resumed streams."""

from crocuskeel.core import backends
from crocuskeel.core.door import ending
from crocuskeel.core.door import state
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import problems

__all__ = ["by_key", "claim_duplicate", "closed", "drop", "expire",
           "from_holder", "peer_asked", "resume_arrived", "start_watchers"]

End = events.AttemptEnd
Reason = problems.Reason
Outcome = problems.Outcome

RELAY_TRIES = 3
RETRY_AFTER_S = 1.0
DEFAULT_SILENCE_S = 5.0


def by_key(daemon, arrival, caller, class_name):
    """Answer a resend whose key names a request held here.

    Returns None when the key is not known here. Keys are looked up
    within the workspace and caller, so nobody gets another's answer.
    """
    if not arrival.idempotency_key:
        return None
    scope = (caller.workspace, caller.caller, arrival.idempotency_key)
    held = daemon.door.keys.get(scope)
    if held is None:
        return None
    digest, whole, outcome = _known(daemon, held)
    if digest != arrival.digest:
        return ending.refuse_arrival(arrival.rid, Reason.KEY_MISMATCH,
                                     class_name=class_name)
    if not whole:
        return _duplicate(arrival.rid, outcome)
    if _is_full(daemon):
        return _overload(arrival.rid)
    return _here(daemon, state.Relay(arrival.rid, held, outcome=outcome))


def _known(daemon, held):
    req = daemon.door.requests.get(held)
    if req is not None:
        return req.arrival.digest, True, req.outcome
    kept = daemon.door.kept[held]
    return kept.digest, kept.done, kept.outcome


def _is_full(daemon):
    return len(daemon.door.relays) >= daemon.limits.max_requests


def _overload(rid):
    return ending.refuse_arrival(rid, Reason.OVERLOAD,
                                 retry_after_s=RETRY_AFTER_S)


def _here(daemon, relay):
    """Answer with what this host holds, once there is something."""
    daemon.door.relays[relay.rid] = relay
    req = daemon.door.requests.get(relay.held)
    if req is None:
        return _replay(relay)
    req.watchers.add(relay.rid)
    out = [effects.CancelTimer(("door", "grace", relay.held))]
    return out + _replay(relay) if req.opened else out


def _replay(relay):
    return [effects.Replay(relay.rid, relay.held, relay.after),
            effects.Record("replayed", relay.rid,
                           (("held", relay.held),))]


def start_watchers(daemon, req):
    """Begin the answers of those who wait for this request's own."""
    out = []
    for rid in sorted(req.watchers):
        out += _replay(daemon.door.relays[rid])
    return out


def _duplicate(rid, outcome, retry_after_s=0.0):
    found = problems.problem(Reason.DUPLICATE, outcome,
                             retry_after_s=retry_after_s)
    fields = (("reason", str(Reason.DUPLICATE)),
              ("outcome", str(outcome)))
    return [effects.Answer(rid, found),
            effects.Record("answered", rid, fields)]


def claim_duplicate(daemon, req, message, now):
    """Answer a resend whose claim is held by an earlier request.

    This request never ran; its caller gets the earlier one's answer or,
    if that is lost, what is known of its outcome.
    """
    listeners = ending.listeners(req)
    req.claim_asked = False
    for rid in req.watchers:
        # One that only hears "duplicate" would stay here for good and
        # keep a planned stop from its end.
        daemon.door.relays.pop(rid, None)
    out = ending.end(daemon, req, now)
    for rid in listeners:
        out += from_holder(daemon, rid, message)
    return out


def from_holder(daemon, rid, message):
    """Answer a caller as the request that holds its key was answered."""
    outcome = _ledger_outcome(message.outcome)
    host = message.holder_host
    held = message.holder_rid
    relay = state.Relay(rid, held, outcome=outcome)
    if host == daemon.me.host:
        return _held_here(daemon, relay)
    if membership.is_live(daemon, host):
        return _from_peer(daemon, relay, host, "")
    return _duplicate(rid, outcome)


def _ledger_outcome(name):
    # An empty outcome is a claim not settled yet: its holder may have
    # died before or after the run.
    return Outcome.RAN if name == Outcome.RAN else Outcome.UNKNOWN


def _held_here(daemon, relay):
    kept = daemon.door.kept.get(relay.held)
    if relay.held in daemon.door.requests or (kept and kept.done):
        return _here(daemon, relay)
    return _duplicate(relay.rid, relay.outcome)


def resume_arrived(daemon, event, now):
    """Give a caller the rest of its stream, from wherever it is."""
    if event.rid in daemon.door.relays:
        return []
    caller = follower.caller(daemon, event.token)
    if caller is None:
        return ending.refuse_arrival(event.rid, Reason.UNAUTHORIZED)
    if _is_full(daemon):
        return _overload(event.rid)
    host, incarnation = _origin(event.stream)
    relay = state.Relay(event.rid, event.stream, event)
    if host == daemon.me.host:
        mine = incarnation == str(daemon.me.incarnation)
        return _resume_here(daemon, relay, caller, mine)
    if membership.is_live(daemon, host):
        return _from_peer(daemon, relay, host, event.proof)
    return _at_engine(daemon, relay)


def _origin(rid):
    host, _, rest = rid.partition(".")
    return host, rest.partition(".")[0]


def _resume_here(daemon, relay, caller, mine):
    found = daemon.door.requests.get(relay.held) if mine else None
    kept = daemon.door.kept.get(relay.held) if mine else None
    if found is not None:
        owner = (found.caller.workspace, found.caller.caller)
    elif kept is not None:
        owner = (kept.workspace, kept.caller)
    else:
        return _at_engine(daemon, relay)
    if owner != (caller.workspace, caller.caller):
        return _stream_unknown(relay.rid)
    if found is not None or kept.done:
        return _here(daemon, relay)
    return _at_engine(daemon, relay)


def _stream_unknown(rid):
    found = problems.problem(Reason.STREAM_UNKNOWN, Outcome.UNKNOWN)
    fields = (("reason", str(Reason.STREAM_UNKNOWN)),
              ("outcome", str(Outcome.UNKNOWN)))
    return [effects.Answer(rid, found),
            effects.Record("answered", rid, fields)]


def _from_peer(daemon, relay, host, proof):
    relay.source = state.Source.PEER
    daemon.door.relays[relay.rid] = relay
    return [effects.ReplayFrom(relay.rid, host, relay.held, relay.after,
                               proof),
            effects.Record("replay_asked", relay.rid,
                           (("held", relay.held), ("host", host)))]


def _at_engine(daemon, relay):
    """Go on at the engine that the caller's event id names."""
    resume = relay.resume
    backend = backends.get(daemon, resume.engine)
    if backend is None:
        drop(daemon, relay)
        return _stream_unknown(relay.rid)
    relay.source = state.Source.ENGINE
    relay.tries += 1
    daemon.door.relays[relay.rid] = relay
    return [effects.ResumeAttempt(
        relay.rid, resume.attempt, resume.engine, backend.url,
        DEFAULT_SILENCE_S, resume.stream, resume.after),
        effects.Record("resumed", relay.rid,
                       (("held", relay.held), ("tries", relay.tries)))]


def closed(daemon, relay, event):
    """Take the end of a replay, or of a resume at the engine."""
    if event.attempt != relay.attempt:
        return []
    if event.end is End.DONE:
        drop(daemon, relay)
        return [effects.Record("answered", relay.rid,
                               (("held", relay.held),))]
    if relay.resume is None:
        drop(daemon, relay)
        return _duplicate(relay.rid, _outcome_now(daemon, relay),
                          RETRY_AFTER_S)
    at_engine = relay.source is state.Source.ENGINE
    lost = event.end is End.GONE or relay.tries >= RELAY_TRIES
    if at_engine and lost:
        drop(daemon, relay)
        return _stream_unknown(relay.rid)
    return _at_engine(daemon, relay)


def _outcome_now(daemon, relay):
    """Return what is known of the held request by now."""
    kept = daemon.door.kept.get(relay.held)
    return kept.outcome if kept else relay.outcome


def drop(daemon, relay):
    """Forget a relay that has its answer or lost its caller."""
    daemon.door.relays.pop(relay.rid, None)
    req = daemon.door.requests.get(relay.held)
    if req is not None:
        req.watchers.discard(relay.rid)


def peer_asked(daemon, message):
    """A peer serves this stream's caller now: don't cancel it."""
    if message.rid not in daemon.door.requests:
        return []
    return [effects.CancelTimer(("door", "grace", message.rid))]


def expire(daemon, now):
    """Forget answers that were kept their whole span."""
    kept = daemon.door.kept
    while kept and next(iter(kept.values())).until <= now:
        ending.drop_oldest(daemon.door)
    return []
