"""Replays of existing answers, for resends and resumed streams."""

from crocuskeel.core import backends
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core.frontend import completion
from crocuskeel.core.frontend import state
from crocuskeel.core import membership
from crocuskeel.core import problems

__all__ = ["answer_resend", "closed", "drop_relay", "expire_retained",
           "replay_requested", "replay_claim_holder", "replay_from_holder",
           "resume_arrived", "start_watcher_replays"]

End = events.AttemptEnd
Reason = problems.Reason
Outcome = problems.Outcome

MAX_RELAY_RESUMES = 3
RETRY_AFTER_S = 1.0
DEFAULT_SILENCE_S = 5.0


def answer_resend(daemon, arrival, caller, class_name):
    """Answer a resend whose key belongs to a request on this host.

    Returns None if the key is unknown here. Keys are scoped to the
    workspace and caller, so no caller gets another's answer.
    """
    if not arrival.idempotency_key:
        return None
    scope = (caller.workspace, caller.caller, arrival.idempotency_key)
    original_rid = daemon.frontend.rids_by_key.get(scope)
    if original_rid is None:
        return None
    digest, has_answer, outcome = _find_original(daemon, original_rid)
    if digest != arrival.digest:
        return completion.refuse_arrival(arrival.rid, Reason.KEY_MISMATCH,
                                         class_name=class_name)
    if not has_answer:
        return _answer_duplicate(arrival.rid, outcome)
    if _is_full(daemon):
        return _refuse_overload(arrival.rid)
    return _replay_local(
        daemon, state.Relay(arrival.rid, original_rid, outcome=outcome))


def _find_original(daemon, original_rid):
    req = daemon.frontend.requests.get(original_rid)
    if req is not None:
        return req.arrival.digest, True, req.outcome
    kept = daemon.frontend.ended_requests[original_rid]
    return kept.digest, kept.has_answer, kept.outcome


def _is_full(daemon):
    return len(daemon.frontend.relays) >= daemon.limits.max_requests


def _refuse_overload(rid):
    return completion.refuse_arrival(rid, Reason.OVERLOAD,
                                     retry_after_s=RETRY_AFTER_S)


def _replay_local(daemon, relay):
    """Replay an answer from this host, as soon as it has started."""
    daemon.frontend.relays[relay.rid] = relay
    req = daemon.frontend.requests.get(relay.original_rid)
    if req is None:
        return _replay(relay)
    req.watchers.add(relay.rid)
    out = [effects.CancelTimer(("door", "grace", relay.original_rid))]
    return out + _replay(relay) if req.answer_started else out


def _replay(relay):
    return [effects.Replay(relay.rid, relay.original_rid, relay.after),
            effects.Record("replayed", relay.rid,
                           (("held", relay.original_rid),))]


def start_watcher_replays(daemon, req):
    """Start the replays to callers waiting for this request's answer."""
    out = []
    for rid in sorted(req.watchers):
        out += _replay(daemon.frontend.relays[rid])
    return out


def _answer_duplicate(rid, outcome, retry_after_s=0.0):
    found = problems.new_problem(Reason.DUPLICATE, outcome,
                                 retry_after_s=retry_after_s)
    fields = (("reason", str(Reason.DUPLICATE)),
              ("outcome", str(outcome)))
    return [effects.Answer(rid, found),
            effects.Record("answered", rid, fields)]


def replay_claim_holder(daemon, req, message, now):
    """Answer a resend whose claim is held by an earlier request.

    This request never ran. Its caller gets the answer of the earlier
    request or, if that is lost, its outcome as far as known.
    """
    waiting_callers = completion.waiting_callers(req)
    req.claim_requested = False
    for rid in req.watchers:
        # A relay that is only answered as a duplicate would otherwise
        # never be removed and would block a graceful shutdown.
        daemon.frontend.relays.pop(rid, None)
    out = completion.finish(daemon, req, now)
    for rid in waiting_callers:
        out += replay_from_holder(daemon, rid, message)
    return out


def replay_from_holder(daemon, rid, message):
    """Replay the answer of the request that holds the claim."""
    outcome = _ledger_outcome(message.outcome)
    host = message.holder_host
    original_rid = message.holder_rid
    relay = state.Relay(rid, original_rid, outcome=outcome)
    if host == daemon.identity.host:
        return _replay_local_if_retained(daemon, relay)
    if membership.is_live(daemon, host):
        return _replay_from_peer(daemon, relay, host, "")
    return _answer_duplicate(rid, outcome)


def _ledger_outcome(name):
    # An empty outcome means that the claim is not settled yet. Its
    # holder may have failed before or after the run.
    return Outcome.RAN if name == Outcome.RAN else Outcome.UNKNOWN


def _replay_local_if_retained(daemon, relay):
    kept = daemon.frontend.ended_requests.get(relay.original_rid)
    if relay.original_rid in daemon.frontend.requests or (
            kept and kept.has_answer):
        return _replay_local(daemon, relay)
    return _answer_duplicate(relay.rid, relay.outcome)


def resume_arrived(daemon, event, now):
    """Resume a caller's stream here, at a peer or at the engine."""
    if event.rid in daemon.frontend.relays:
        return []
    caller = follower.caller(daemon, event.token)
    if caller is None:
        return completion.refuse_arrival(event.rid, Reason.UNAUTHORIZED)
    if _is_full(daemon):
        return _refuse_overload(event.rid)
    host, incarnation = _origin(event.stream)
    relay = state.Relay(event.rid, event.stream, event)
    if host == daemon.identity.host:
        same_incarnation = incarnation == str(daemon.identity.incarnation)
        return _resume_local(daemon, relay, caller, same_incarnation)
    if membership.is_live(daemon, host):
        return _replay_from_peer(daemon, relay, host, event.proof)
    return _resume_at_engine(daemon, relay)


def _origin(rid):
    host, _, rest = rid.partition(".")
    return host, rest.partition(".")[0]


def _resume_local(daemon, relay, caller, same_incarnation):
    found = (daemon.frontend.requests.get(relay.original_rid)
             if same_incarnation else None)
    kept = (daemon.frontend.ended_requests.get(relay.original_rid)
            if same_incarnation else None)
    if found is not None:
        owner = (found.caller.workspace, found.caller.caller)
    elif kept is not None:
        owner = (kept.workspace, kept.caller)
    else:
        return _resume_at_engine(daemon, relay)
    if owner != (caller.workspace, caller.caller):
        return _answer_stream_unknown(relay.rid)
    if found is not None or kept.has_answer:
        return _replay_local(daemon, relay)
    return _resume_at_engine(daemon, relay)


def _answer_stream_unknown(rid):
    found = problems.new_problem(Reason.STREAM_UNKNOWN, Outcome.UNKNOWN)
    fields = (("reason", str(Reason.STREAM_UNKNOWN)),
              ("outcome", str(Outcome.UNKNOWN)))
    return [effects.Answer(rid, found),
            effects.Record("answered", rid, fields)]


def _replay_from_peer(daemon, relay, host, proof):
    relay.source = state.RelaySource.PEER
    daemon.frontend.relays[relay.rid] = relay
    return [effects.ReplayFrom(relay.rid, host, relay.original_rid,
                               relay.after, proof),
            effects.Record("replay_asked", relay.rid,
                           (("held", relay.original_rid), ("host", host)))]


def _resume_at_engine(daemon, relay):
    """Resume at the engine named by the caller's event id."""
    resume = relay.resume
    backend = backends.get(daemon, resume.engine)
    if backend is None:
        drop_relay(daemon, relay)
        return _answer_stream_unknown(relay.rid)
    relay.source = state.RelaySource.ENGINE
    relay.resumes += 1
    daemon.frontend.relays[relay.rid] = relay
    return [effects.ResumeAttempt(
        relay.rid, resume.attempt, resume.engine, backend.url,
        DEFAULT_SILENCE_S, resume.stream, resume.after),
        effects.Record("resumed", relay.rid,
                       (("held", relay.original_rid),
                        ("tries", relay.resumes)))]


def closed(daemon, relay, event):
    """Handle the end of a replay, or of a resume at the engine."""
    if event.attempt != relay.attempt:
        return []
    if event.end is End.DONE:
        drop_relay(daemon, relay)
        return [effects.Record("answered", relay.rid,
                               (("held", relay.original_rid),))]
    if relay.resume is None:
        drop_relay(daemon, relay)
        return _answer_duplicate(relay.rid, _latest_outcome(daemon, relay),
                                 RETRY_AFTER_S)
    at_engine = relay.source is state.RelaySource.ENGINE
    lost = (event.end is End.STREAM_UNKNOWN
            or relay.resumes >= MAX_RELAY_RESUMES)
    if at_engine and lost:
        drop_relay(daemon, relay)
        return _answer_stream_unknown(relay.rid)
    return _resume_at_engine(daemon, relay)


def _latest_outcome(daemon, relay):
    """Return the original request's outcome as known now."""
    kept = daemon.frontend.ended_requests.get(relay.original_rid)
    return kept.outcome if kept else relay.outcome


def drop_relay(daemon, relay):
    """Remove a relay that was answered or whose caller disconnected."""
    daemon.frontend.relays.pop(relay.rid, None)
    req = daemon.frontend.requests.get(relay.original_rid)
    if req is not None:
        req.watchers.discard(relay.rid)


def replay_requested(daemon, message):
    """Keep a stream running whose caller a peer now serves."""
    if message.rid not in daemon.frontend.requests:
        return []
    return [effects.CancelTimer(("door", "grace", message.rid))]


def expire_retained(daemon, now):
    """Remove retained answers whose retention time has passed."""
    kept = daemon.frontend.ended_requests
    while kept and next(iter(kept.values())).expires_at <= now:
        completion.evict_oldest(daemon.frontend)
    return []
