"""Handles claims: the ledger that runs requests at most once.

An entry host asks the owner of a slot before it dispatches a
non-repeatable request, and dispatches only if the claim is granted. The
owner appends claims in group commits, each a conditional update of the
stored ledger. The object version is the fencing token: the write of an
owner that resumes after a pause is rejected, and it has granted nothing.
No answer is based on a write that is not confirmed.
"""

from crocuskeel.core.claims import answers
from crocuskeel.core.claims import commits
from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core.claims import lookups
from crocuskeel.core.claims import state as states
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages

__all__ = ["COMPONENT", "handle"]

COMPONENT = "claims"

_NEXT_ACTION = "pump"
_EVICT = "forget"
_TOO_NEW = "too_new"
_GRANTED = "granted"
_OUTCOMES = {
    each.value: each for each in (
        ledgers.Outcome.RAN, ledgers.Outcome.UNKNOWN,
        ledgers.Outcome.NOT_RUN)}
_READ_FAULTS = (
    events.StoreStatus.UNAVAILABLE, events.StoreStatus.UNKNOWN)


def handle(state, event, now):
    """Handle one event; return effects, none for unrelated events."""
    match event:
        case events.Received(message=messages.ClaimAsk(look=True)):
            return _lookup_received(state, event, now)
        case events.Received(message=messages.ClaimAsk()):
            return _claim_received(state, event, now)
        case events.Received(message=messages.ClaimSettle()):
            return _outcome_received(state, event.message, now)
        case events.StoreAnswered(op=(component, number, _)) if (
                component == COMPONENT):
            return _store_answered(state, number, event, now)
        case events.TimerFired(key=(component, number, name)) if (
                component == COMPONENT):
            return _timer_fired(state, number, name, now)
    return []


def _slot(state, number):
    if number not in state.slots:
        state.slots[number] = states.Slot(number=number)
    return state.slots[number]


# Requests of entry hosts.

def _claim_received(state, event, now):
    msg = event.message
    slot = _slot(state, msg.slot)
    request = states.ClaimRequest(
        rid=msg.rid, key=msg.key, digest=msg.digest, host=event.sender,
        incarnation=event.incarnation, issued_at=msg.issued_at,
        deadline=now + msg.deadline_in_s)
    # Messages of an entry host can be reordered when it reconnects: an
    # attempt that was settled must not be claimed afterwards.
    settled = (request.key, request.rid) in slot.outcomes
    if request.rid in slot.requests or settled:
        return []
    answer = (answers.answer_from_ledger(state, slot, request)
              or _refusal(state, slot, request, now))
    if answer is not None:
        return [effects.Send(request.host, answer)]
    slot.requests[request.rid] = request
    return _next_action(state, slot, now)


def _lookup_received(state, event, now):
    slot = _slot(state, event.message.slot)
    out = lookups.receive(state, slot, event, now)
    return out + _next_action(state, slot, now)


def _refusal(state, slot, request, now):
    cfg = state.cfg
    # A key dated far in the future would raise the floor when dropped,
    # and all keys with an earlier issue time would be refused. A wrong
    # clock on this host only refuses too many keys; it runs nothing.
    ahead = (state.wall_clock and
             request.issued_at > state.wall_clock(now) + cfg.max_ahead_s)
    if ahead:
        return messages.ClaimAnswer(request.rid, request.key, _TOO_NEW)
    if now < slot.backoff_until or len(slot.requests) >= cfg.max_pending:
        return answers.unavailable(state, slot, request, now)
    return None


def _outcome_received(state, msg, now):
    outcome = _OUTCOMES.get(msg.outcome)
    if outcome is None:
        return []
    slot = _slot(state, msg.slot)
    request = slot.requests.get(msg.rid)
    if request is not None and outcome is ledgers.Outcome.NOT_RUN:
        _abandon(slot, request)
    else:
        _queue_outcome(state, slot, (msg.key, msg.rid), outcome, now)
    return _next_action(state, slot, now)


def _abandon(slot, request):
    """Handle an entry host that abandons a waiting claim.

    If the write of the claim may have been applied or may still be, the
    claim is settled once that is known. Until then the key is neither
    held nor free.
    """
    request.abandoned = True
    in_flight = slot.commit is not None and request.rid in slot.commit.claimed
    if not request.in_doubt and not in_flight:
        del slot.requests[request.rid]


def _queue_outcome(state, slot, attempt, outcome, now):
    if not slot.outcomes:
        slot.outcomes_due = now + state.cfg.outcome_delay_s
    # A lost outcome leaves the key claimed, which is safe because its
    # requests are refused. So the oldest may be dropped to bound memory.
    if len(slot.outcomes) >= state.cfg.max_pending:
        del slot.outcomes[next(iter(slot.outcomes))]
    slot.outcomes[attempt] = outcome


# Timers and answers of the store.

def _timer_fired(state, number, name, now):
    slot = _slot(state, number)
    if name == _NEXT_ACTION:
        return _next_action(state, slot, now)
    if slot.phase is states.Phase.IDLE and not _has_work(slot):
        slot.ledger = None
    return []


def _store_answered(state, number, event, now):
    slot = _slot(state, number)
    if event.op != slot.op:
        return []
    phase = slot.phase
    slot.phase = states.Phase.IDLE
    slot.op = ()
    if phase is states.Phase.READING:
        out = _read_done(state, slot, event, now)
    else:
        out = _write_done(state, slot, event, now)
    return out + _next_action(state, slot, now)


def _read_done(state, slot, event, now):
    if event.status in _READ_FAULTS:
        return _store_failed(state, slot, now)
    try:
        slot.ledger = _parse_ledger(event)
    except ledgers.InvalidLedger as exc:
        unreadable = _record(slot, "claims_unreadable", str(exc))
        return [unreadable, *_store_failed(state, slot, now)]
    slot.backoff_s = 0.0
    commits.observe_epoch(slot, now)
    out = _resolve_doubt(slot) + _answer_from_ledger(state, slot)
    return out + lookups.read_done(state, slot, now)


def _parse_ledger(event):
    if event.status is events.StoreStatus.NOT_FOUND:
        return ledgers.empty()
    return ledgers.decode(event.version, event.body)


def _write_done(state, slot, event, now):
    commit = slot.commit
    slot.commit = None
    match event.status:
        case events.StoreStatus.WRITTEN:
            return _committed(state, slot, commit, event.version, now)
        case events.StoreStatus.UNAVAILABLE:
            return _store_failed(state, slot, now)
        case events.StoreStatus.UNKNOWN:
            return _write_in_doubt(slot, commit)
    return _write_conflict(state, slot)


def _committed(state, slot, commit, version, now):
    slot.ledger = commit.ledger
    slot.ledger.version = version
    slot.backoff_s = 0.0
    commits.observe_epoch(slot, now)
    for key, rid, outcome in commit.settled:
        if slot.outcomes.get((key, rid)) is outcome:
            del slot.outcomes[(key, rid)]
    out = [effects.Measure("claims.commits", 1)]
    for rid in commit.claimed:
        out.extend(_grant(state, slot, rid, now))
    return out + _resolve_doubt(slot) + _answer_from_ledger(state, slot)


def _grant(state, slot, rid, now):
    request = slot.requests.pop(rid, None)
    if request is None:
        return []
    if request.abandoned:
        _queue_outcome(state, slot, (request.key, rid),
                       ledgers.Outcome.NOT_RUN, now)
        return []
    answer = messages.ClaimAnswer(rid, request.key, _GRANTED)
    return [effects.Measure("claims.granted", 1),
            effects.Send(request.host, answer)]


def _write_in_doubt(slot, commit):
    """Handle a lost answer: the write may be applied now or later.

    Reading the old version proves nothing, because the write may still
    be in flight. Once the version has changed, the write can no longer
    be applied, and the entries show whether it was.
    """
    slot.ledger = None
    slot.in_doubt_version = commit.base_version
    for rid in commit.claimed:
        if rid in slot.requests:
            slot.requests[rid].in_doubt = True
    return [effects.Measure("claims.doubts", 1),
            _record(slot, "claims_in_doubt", f"base {commit.base_version}")]


def _resolve_doubt(slot):
    base_version = slot.in_doubt_version
    if base_version is None or slot.ledger.version == base_version:
        return []
    slot.in_doubt_version = None
    for request in list(slot.requests.values()):
        if request.in_doubt and request.abandoned:
            del slot.requests[request.rid]
            slot.outcomes[(request.key, request.rid)] = ledgers.Outcome.NOT_RUN
        request.in_doubt = False
    return [_record(slot, "claims_doubt_settled", f"base {base_version}")]


def _write_conflict(state, slot):
    """Handle a write conflict: read the other owner's ledger first."""
    slot.ledger = None
    # Without jitter, two synchronized owners would conflict repeatedly.
    slot.rate_full_at += state.rng.uniform(0.0, 1.0 / state.cfg.commits_per_s)
    for request in list(slot.requests.values()):
        if request.abandoned and not request.in_doubt:
            del slot.requests[request.rid]
    return [effects.Measure("claims.conflicts", 1)]


def _store_failed(state, slot, now):
    """Refuse all requests known not to be claimed: the store is down."""
    cfg = state.cfg
    slot.backoff_s = min(
        cfg.backoff_max_s, max(cfg.backoff_s, slot.backoff_s * 2))
    slot.backoff_until = now + state.rng.uniform(0.5, 1.0) * slot.backoff_s
    out = lookups.store_failed(state, slot, now)
    for request in list(slot.requests.values()):
        if request.in_doubt:
            continue
        del slot.requests[request.rid]
        if not request.abandoned:
            out.append(effects.Send(
                request.host, answers.unavailable(state, slot, request, now)))
    return out


def _answer_from_ledger(state, slot):
    out = []
    for request in list(slot.requests.values()):
        if request.in_doubt or request.abandoned:
            continue
        answer = answers.answer_from_ledger(state, slot, request)
        if answer is not None:
            del slot.requests[request.rid]
            out.append(effects.Send(request.host, answer))
    return out


# The next action of a slot.

def _has_work(slot):
    return bool(slot.lookups or _needs_write(slot))


def _needs_write(slot):
    return bool(
        slot.requests or slot.outcomes or slot.in_doubt_version is not None)


def _next_action(state, slot, now):
    if slot.phase is not states.Phase.IDLE:
        return []
    out = _expire_requests(state, slot, now)
    if not _has_work(slot):
        return [*out, _schedule_eviction(state, slot)]
    wait_s = _wait_s(state, slot, now)
    if wait_s > 0:
        key = (COMPONENT, slot.number, _NEXT_ACTION)
        return [*out, effects.SetTimer(key, wait_s)]
    if slot.ledger is None or (
            slot.lookups and lookups.next_read_at(slot) <= now):
        return [*out, _start_read(state, slot, now)]
    return [*out, *_start_commit(state, slot, now)]


def _schedule_eviction(state, slot):
    key = (COMPONENT, slot.number, _EVICT)
    return effects.SetTimer(key, state.cfg.evict_after_s)


def _wait_s(state, slot, now):
    times = [lookups.next_read_at(slot)] if slot.lookups else []
    if _needs_write(slot):
        times.append(_write_due(state, slot))
    return min(times) - now


def _write_due(state, slot):
    due = slot.backoff_until
    # After a conflict the ledger is read right before the next write. If
    # it were read now and written later, any commit of the other owner
    # in between would cause another conflict. A write in doubt is
    # resolved by a read without delay.
    if slot.ledger is not None or slot.in_doubt_version is None:
        due = max(due, commits.next_commit_at(slot, state.cfg))
    if not slot.requests and slot.in_doubt_version is None:
        due = max(due, slot.outcomes_due)
    return due


def _expire_requests(state, slot, now):
    out = []
    for request in list(slot.requests.values()):
        if request.deadline > now:
            continue
        # Not settled as NOT_RUN: another owner may have granted this
        # attempt. Only the entry host knows.
        del slot.requests[request.rid]
        if not request.in_doubt:
            out.append(effects.Send(
                request.host, answers.unavailable(state, slot, request, now)))
    return out


def _start_read(state, slot, now):
    slot.phase = states.Phase.READING
    lookups.read_started(slot, now)
    return effects.StoreGet(_new_op(state, slot), _object_path(state, slot))


def _start_commit(state, slot, now):
    commit, answers = commits.build_commit(slot, state.cfg, now)
    out = []
    for request, answer in answers:
        del slot.requests[request.rid]
        out.append(effects.Send(request.host, answer))
    if not commit.changed and slot.in_doubt_version is None:
        slot.outcomes.clear()
        # Lookups may still wait for their own read.
        return [*out, *_next_action(state, slot, now)]
    commits.record_commit(slot, state.cfg, now)
    slot.commit = commit
    slot.phase = states.Phase.WRITING
    op = _new_op(state, slot)
    nonce = f"{state.host}:{state.incarnation}:{state.seq}"
    body = ledgers.encode(commit.ledger, nonce)
    return [*out, effects.StorePut(
        op, _object_path(state, slot), body, commit.base_version)]


def _new_op(state, slot):
    state.seq += 1
    slot.op = (COMPONENT, slot.number, state.seq)
    return slot.op


def _object_path(state, slot):
    return f"{state.cfg.prefix}/{slot.number}"


def _record(slot, kind, detail):
    return effects.Record(
        kind, fields=(("slot", slot.number), ("detail", detail)))
