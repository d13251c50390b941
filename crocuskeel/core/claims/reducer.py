"""Claims: the at-most-once ledger, as a part of the reducer.

A door asks a slot's owner before it dispatches a non-repeatable request
and dispatches only when granted. The owner appends claims in group
commits, each a conditional update of the ledger's object: the version
is the fence, so that an owner which was paused and wakes is refused and
has granted nothing. No answer rests on a write that is not confirmed.
"""

from crocuskeel.core.claims import answers
from crocuskeel.core.claims import commits
from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core.claims import lookups
from crocuskeel.core.claims import state as states
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages

__all__ = ["CONCERN", "handle"]

CONCERN = "claims"

_PUMP = "pump"
_FORGET = "forget"
_TOO_NEW = "too_new"
_GRANTED = "granted"
_OUTCOMES = {
    each.value: each for each in (
        ledgers.Outcome.RAN, ledgers.Outcome.UNKNOWN,
        ledgers.Outcome.NOT_RUN)}
_READ_FAULTS = (
    events.StoreStatus.UNAVAILABLE, events.StoreStatus.UNKNOWN)


def handle(state, event, now):
    """Take one event; return the effects. Others' events give none."""
    match event:
        case events.Received(message=messages.ClaimAsk(look=True)):
            return _looked(state, event, now)
        case events.Received(message=messages.ClaimAsk()):
            return _asked(state, event, now)
        case events.Received(message=messages.ClaimSettle()):
            return _settled(state, event.message, now)
        case events.StoreAnswered(op=(concern, number, _)) if (
                concern == CONCERN):
            return _store_answered(state, number, event, now)
        case events.TimerFired(key=(concern, number, name)) if (
                concern == CONCERN):
            return _timer_fired(state, number, name, now)
    return []


def _slot(state, number):
    if number not in state.slots:
        state.slots[number] = states.Slot(number=number)
    return state.slots[number]


# Doors.

def _asked(state, event, now):
    msg = event.message
    slot = _slot(state, msg.slot)
    ask = states.Ask(
        rid=msg.rid, key=msg.key, digest=msg.digest, host=event.sender,
        incarnation=event.incarnation, issued_at=msg.issued_at,
        deadline=now + msg.deadline_in_s)
    # Messages of one door can be overtaken when its connection is made
    # anew: an attempt that was settled must not be claimed afterwards.
    over = (ask.key, ask.rid) in slot.settles
    if ask.rid in slot.asks or over:
        return []
    answer = (answers.known(state, slot, ask)
              or _refusal(state, slot, ask, now))
    if answer is not None:
        return [effects.Send(ask.host, answer)]
    slot.asks[ask.rid] = ask
    return _pump(state, slot, now)


def _looked(state, event, now):
    slot = _slot(state, event.message.slot)
    out = lookups.take(state, slot, event, now)
    return out + _pump(state, slot, now)


def _refusal(state, slot, ask, now):
    cfg = state.cfg
    # A key dated far ahead would, when dropped, refuse all keys issued
    # since. A wrong clock here refuses too much and runs nothing.
    ahead = state.wall and ask.issued_at > state.wall(now) + cfg.ahead_s
    if ahead:
        return messages.ClaimAnswer(ask.rid, ask.key, _TOO_NEW)
    if now < slot.down_until or len(slot.asks) >= cfg.max_waiting:
        return answers.unavailable(state, slot, ask, now)
    return None


def _settled(state, msg, now):
    outcome = _OUTCOMES.get(msg.outcome)
    if outcome is None:
        return []
    slot = _slot(state, msg.slot)
    ask = slot.asks.get(msg.rid)
    if ask is not None and outcome is ledgers.Outcome.NOT_RUN:
        _give_up(slot, ask)
    else:
        _keep_settle(state, slot, (msg.key, msg.rid), outcome, now)
    return _pump(state, slot, now)


def _give_up(slot, ask):
    """The door gave up while the claim waits.

    If its write may have landed or may yet, it is settled once that is
    known; until then the key is neither held nor free.
    """
    ask.given_up = True
    in_flight = slot.draft is not None and ask.rid in slot.draft.claimed
    if not ask.doubtful and not in_flight:
        del slot.asks[ask.rid]


def _keep_settle(state, slot, named, outcome, now):
    if not slot.settles:
        slot.settle_at = now + state.cfg.settle_wait_s
    # A lost outcome leaves the key claimed, which refuses and runs
    # nothing: so the oldest may go when memory is short.
    if len(slot.settles) >= state.cfg.max_waiting:
        del slot.settles[next(iter(slot.settles))]
    slot.settles[named] = outcome


# Timers and the store's answers.

def _timer_fired(state, number, name, now):
    slot = _slot(state, number)
    if name == _PUMP:
        return _pump(state, slot, now)
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
    return out + _pump(state, slot, now)


def _read_done(state, slot, event, now):
    if event.status in _READ_FAULTS:
        return _fail(state, slot, now)
    try:
        slot.ledger = _loaded(event)
    except ledgers.BadLedger as exc:
        unreadable = _record(slot, "claims_unreadable", str(exc))
        return [unreadable, *_fail(state, slot, now)]
    slot.backoff_s = 0.0
    commits.observe_epoch(slot, now)
    out = _resolve_doubt(slot) + _answer_known(state, slot)
    return out + lookups.read_done(state, slot, now)


def _loaded(event):
    if event.status is events.StoreStatus.NOT_FOUND:
        return ledgers.empty()
    return ledgers.decode(event.version, event.body)


def _write_done(state, slot, event, now):
    draft = slot.draft
    slot.draft = None
    match event.status:
        case events.StoreStatus.WRITTEN:
            return _committed(state, slot, draft, event.version, now)
        case events.StoreStatus.UNAVAILABLE:
            return _fail(state, slot, now)
        case events.StoreStatus.UNKNOWN:
            return _doubt(slot, draft)
    return _fenced(state, slot)


def _committed(state, slot, draft, version, now):
    slot.ledger = draft.ledger
    slot.ledger.version = version
    slot.backoff_s = 0.0
    commits.observe_epoch(slot, now)
    for key, rid, outcome in draft.settled:
        if slot.settles.get((key, rid)) is outcome:
            del slot.settles[(key, rid)]
    out = [effects.Measure("claims.commits", 1)]
    for rid in draft.claimed:
        out.extend(_grant(state, slot, rid, now))
    return out + _resolve_doubt(slot) + _answer_known(state, slot)


def _grant(state, slot, rid, now):
    ask = slot.asks.pop(rid, None)
    if ask is None:
        return []
    if ask.given_up:
        _keep_settle(state, slot, (ask.key, rid),
                     ledgers.Outcome.NOT_RUN, now)
        return []
    answer = messages.ClaimAnswer(rid, ask.key, _GRANTED)
    return [effects.Measure("claims.granted", 1),
            effects.Send(ask.host, answer)]


def _doubt(slot, draft):
    """The answer was lost: the write may have landed or may yet.

    Reading the old version proves nothing, for the write may still be
    on its way. Once the version has moved on it can land no more, and
    the entries tell whether it did.
    """
    slot.ledger = None
    slot.doubt_base = draft.base
    for rid in draft.claimed:
        if rid in slot.asks:
            slot.asks[rid].doubtful = True
    return [effects.Measure("claims.doubts", 1),
            _record(slot, "claims_in_doubt", f"base {draft.base}")]


def _resolve_doubt(slot):
    base = slot.doubt_base
    if base is None or slot.ledger.version == base:
        return []
    slot.doubt_base = None
    for ask in list(slot.asks.values()):
        if ask.doubtful and ask.given_up:
            del slot.asks[ask.rid]
            slot.settles[(ask.key, ask.rid)] = ledgers.Outcome.NOT_RUN
        ask.doubtful = False
    return [_record(slot, "claims_doubt_settled", f"base {base}")]


def _fenced(state, slot):
    """Another owner has written: its ledger is read before the next."""
    slot.ledger = None
    # Two owners in step would refuse each other again and again.
    slot.free_at += state.rng.uniform(0.0, 1.0 / state.cfg.writes_s)
    for ask in list(slot.asks.values()):
        if ask.given_up and not ask.doubtful:
            del slot.asks[ask.rid]
    return [effects.Measure("claims.conflicts", 1)]


def _fail(state, slot, now):
    """The store is out: refuse what is known not to be claimed."""
    cfg = state.cfg
    slot.backoff_s = min(
        cfg.backoff_max_s, max(cfg.backoff_s, slot.backoff_s * 2))
    slot.down_until = now + state.rng.uniform(0.5, 1.0) * slot.backoff_s
    out = lookups.fail(state, slot, now)
    for ask in list(slot.asks.values()):
        if ask.doubtful:
            continue
        del slot.asks[ask.rid]
        if not ask.given_up:
            out.append(effects.Send(
                ask.host, answers.unavailable(state, slot, ask, now)))
    return out


def _answer_known(state, slot):
    out = []
    for ask in list(slot.asks.values()):
        if ask.doubtful or ask.given_up:
            continue
        answer = answers.known(state, slot, ask)
        if answer is not None:
            del slot.asks[ask.rid]
            out.append(effects.Send(ask.host, answer))
    return out


# The pump: what a slot does next.

def _has_work(slot):
    return bool(slot.looks or _has_writes(slot))


def _has_writes(slot):
    return bool(
        slot.asks or slot.settles or slot.doubt_base is not None)


def _pump(state, slot, now):
    if slot.phase is not states.Phase.IDLE:
        return []
    out = _expire(state, slot, now)
    if not _has_work(slot):
        return [*out, _forget_later(state, slot)]
    wait_s = _wait_s(state, slot, now)
    if wait_s > 0:
        pump = (CONCERN, slot.number, _PUMP)
        return [*out, effects.SetTimer(pump, wait_s)]
    if slot.ledger is None or (slot.looks and lookups.due(slot) <= now):
        return [*out, _read(state, slot, now)]
    return [*out, *_commit(state, slot, now)]


def _forget_later(state, slot):
    forget = (CONCERN, slot.number, _FORGET)
    return effects.SetTimer(forget, state.cfg.idle_s)


def _wait_s(state, slot, now):
    times = [lookups.due(slot)] if slot.looks else []
    if _has_writes(slot):
        times.append(_write_due(state, slot))
    return min(times) - now


def _write_due(state, slot):
    due = slot.down_until
    # After a conflict the ledger is read right before the next write:
    # read at once and written later it would conflict again with each
    # commit of the other owner in between. A doubt is read back now.
    if slot.ledger is not None or slot.doubt_base is None:
        due = max(due, commits.ready_at(slot, state.cfg))
    if not slot.asks and slot.doubt_base is None:
        due = max(due, slot.settle_at)
    return due


def _expire(state, slot, now):
    out = []
    for ask in list(slot.asks.values()):
        if ask.deadline > now:
            continue
        # Not settled as not run: the door may have been granted this
        # attempt through another owner. Only the door itself knows.
        del slot.asks[ask.rid]
        if not ask.doubtful:
            out.append(effects.Send(
                ask.host, answers.unavailable(state, slot, ask, now)))
    return out


def _read(state, slot, now):
    slot.phase = states.Phase.READING
    lookups.read_begins(slot, now)
    return effects.StoreGet(_new_op(state, slot), _path(state, slot))


def _commit(state, slot, now):
    draft, answers = commits.build(slot, state.cfg, now)
    out = []
    for ask, answer in answers:
        del slot.asks[ask.rid]
        out.append(effects.Send(ask.host, answer))
    if not draft.changed and slot.doubt_base is None:
        slot.settles.clear()
        return [*out, _forget_later(state, slot)]
    commits.pay(slot, state.cfg, now)
    slot.draft = draft
    slot.phase = states.Phase.WRITING
    op = _new_op(state, slot)
    nonce = f"{state.host}:{state.incarnation}:{state.seq}"
    body = ledgers.encode(draft.ledger, nonce)
    return [*out, effects.StorePut(
        op, _path(state, slot), body, draft.base)]


def _new_op(state, slot):
    state.seq += 1
    slot.op = (CONCERN, slot.number, state.seq)
    return slot.op


def _path(state, slot):
    return f"{state.cfg.prefix}/{slot.number}"


def _record(slot, kind, detail):
    return effects.Record(
        kind, fields=(("slot", slot.number), ("detail", detail)))
