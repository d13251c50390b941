"""Simulates the claims reducer with one slot, two owners and one store.

The store loses answers, applies writes late and has outages. Owners
pause and restart. Entry hosts repeat claims, abandon them and resend.
The test chooses each step, and only the test advances the clock.
"""

import dataclasses
import random

from crocuskeel.core import claims
from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from tests import liveness

ENTRY_HOST = "door"
STATUS = events.StoreStatus


@dataclasses.dataclass
class Owner:
    """One host that serves the slot."""

    state: claims.ClaimsState
    paused: bool = False
    inbox: list = dataclasses.field(default_factory=list)
    timers: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Attempt:
    """A request at its entry host; a grant starts it at most once."""

    rid: str
    key: str
    issued_at: float = 0.0
    digest: str = "d"
    state: str = "asked"
    answers: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Lookup:
    """A lookup of a key; ``begun`` had started when it was sent."""

    rid: str
    key: str
    begun: list
    answers: list = dataclasses.field(default_factory=list)


class Simulation:
    """Owners, store and entry hosts; ``calls`` are not yet answered."""

    def __init__(self, **kwargs):
        kwargs.setdefault("slots", 1)
        self.cfg = claims.ClaimsConfig(**kwargs)
        self.now = 0.0
        self.version = 0
        self.body = b""
        self.conditional = True
        self.calls = []
        self.late_calls = []
        self.runs = {}
        self.recorded = set()
        self.attempts = {}
        self.lookups = {}
        self.owners = [self._new_owner(0, 1), self._new_owner(1, 1)]

    def _new_owner(self, at, incarnation):
        return Owner(claims.new_state(
            f"h{at}", incarnation, random.Random(at), self.cfg))

    # Entry hosts.

    def request_claim(self, key, at=0, **kwargs):
        """Ask owner ``at`` to claim ``key``; return the attempt."""
        attempt = Attempt(f"r{len(self.attempts)}", key, **kwargs)
        self.attempts[attempt.rid] = attempt
        self.send_ask(attempt, at)
        return attempt

    def send_ask(self, attempt, at, deadline_s=5.0):
        """Deliver a claim request, perhaps again or to another owner."""
        self.deliver(at, events.Received(ENTRY_HOST, 1, messages.ClaimAsk(
            attempt.rid, 0, attempt.key, attempt.digest, deadline_s,
            attempt.issued_at)))

    def lookup(self, key, at=0, digest="d", issued_at=0.0):
        """Look up ``key`` at owner ``at``; return the lookup."""
        begun = [each for each in self.attempts.values()
                 if each.key == key and each.state in ("started", "ran")]
        lookup = Lookup(f"l{len(self.lookups)}", key, begun)
        self.lookups[lookup.rid] = lookup
        self.deliver(at, events.Received(ENTRY_HOST, 1, messages.ClaimAsk(
            lookup.rid, 0, key, digest, 0.0, issued_at, look=True)))
        return lookup

    def _lookup_answered(self, answer):
        lookup = self.lookups[answer.rid]
        lookup.answers.append(answer)
        if answer.status == "granted":
            raise AssertionError("a lookup was granted")
        held = [each for each in lookup.begun if each.state != "over"]
        if answer.status == "absent" and held:
            raise AssertionError(f"absent, but held by {held}")

    def settle(self, attempt, outcome, at):
        """Report an outcome to an owner."""
        self.deliver(at, events.Received(ENTRY_HOST, 1, messages.ClaimSettle(
            attempt.rid, 0, attempt.key, outcome)))

    def give_up(self, attempt, at):
        """Answer the caller ``not_run`` unless the attempt started."""
        if attempt.state in ("asked", "over"):
            attempt.state = "over"
            self.settle(attempt, "not_run", at)

    def end(self, attempt, ran, at):
        """End a started attempt; ``ran`` is False if it was refused."""
        if attempt.state != "started":
            return
        attempt.state = "ran" if ran else "over"
        if ran:
            self.runs.setdefault(attempt.key, []).append(attempt.rid)
        self.settle(attempt, "ran" if ran else "not_run", at)

    def _answered(self, answer):
        if answer.rid in self.lookups:
            self._lookup_answered(answer)
            return
        attempt = self.attempts[answer.rid]
        attempt.answers.append(answer)
        if answer.status != "granted":
            return
        if answer.rid not in self.recorded:
            raise AssertionError(f"{answer.rid} granted, not recorded")
        if attempt.state == "asked":
            attempt.state = "started"

    # Owners.

    def deliver(self, at, event):
        """Deliver an event to an owner, or queue it if it is paused."""
        owner = self.owners[at]
        if owner.paused:
            owner.inbox.append(event)
            return
        for effect in claims.handle(owner.state, event, self.now):
            self._apply_effect(at, owner, effect)
        self._check_liveness(at, owner)

    def _check_liveness(self, at, owner):
        """Check that each slot with work has a call or a timer."""
        wakeups = set(owner.timers)
        wakeups.update(op.op for caller, op in self.calls if caller == at)
        for event in owner.inbox:
            if isinstance(event, events.StoreAnswered):
                wakeups.add(event.op)
            elif isinstance(event, events.TimerFired):
                wakeups.add(event.key)
        waiting = {}
        for number, slot in owner.state.slots.items():
            if (slot.requests or slot.lookups or slot.outcomes
                    or slot.in_doubt_version is not None):
                waiting[f"slot {number}"] = {
                    slot.op, (claims.COMPONENT, number, "pump")}
        liveness.check("claims", waiting, wakeups)

    def _apply_effect(self, at, owner, effect):
        match effect:
            case effects.Send(message=answer):
                self._answered(answer)
            case effects.SetTimer(key=key, after_s=after_s):
                owner.timers[key] = self.now + after_s
            case effects.StoreGet() | effects.StorePut():
                self.calls.append((at, effect))

    def pause(self, at, paused):
        """Pause an owner, or resume it and deliver its queued events."""
        owner = self.owners[at]
        owner.paused = paused
        while owner.inbox and not owner.paused:
            self.deliver(at, owner.inbox.pop(0))

    def restart(self, at):
        """Replace an owner by one with no state."""
        self.late_calls.extend(op for op in self.calls if op[0] == at)
        self.calls = [op for op in self.calls if op[0] != at]
        incarnation = self.owners[at].state.incarnation + 1
        self.owners[at] = self._new_owner(at, incarnation)

    def advance(self, span_s):
        """Advance the clock, then fire due timers."""
        self.now += span_s
        for at, owner in enumerate(self.owners):
            due = [key for key, when in owner.timers.items()
                   if when <= self.now and not owner.paused]
            for key in due:
                del owner.timers[key]
                self.deliver(at, events.TimerFired(key))

    # The store.

    def _apply(self, put):
        applies = put.version == self.version or not self.conditional
        if applies:
            self.version += 1
            self.body = put.body
            stored = ledgers.decode(self.version, put.body)
            self.recorded.update(
                each.rid for each in stored.entries.values())
        return applies

    def answer(self, mode, pick=0):
        """Answer a pending call: well, out, lost, late or dropped."""
        if not self.calls:
            return
        at, op = self.calls.pop(pick % len(self.calls))
        status, version, body = STATUS.UNAVAILABLE, 0, b""
        if mode != "out" and isinstance(op, effects.StorePut):
            status = self._answer_put(mode, at, op)
            version = self.version
        elif mode == "well":
            status = STATUS.FOUND if self.version else STATUS.NOT_FOUND
            version, body = self.version, self.body
        self.deliver(at, events.StoreAnswered(
            op.op, status, version, body))

    def _answer_put(self, mode, at, put):
        if mode == "late":
            self.late_calls.append((at, put))
        if mode in ("late", "dropped"):
            return STATUS.UNKNOWN
        applies = self._apply(put)
        if mode == "lost":
            return STATUS.UNKNOWN
        return STATUS.WRITTEN if applies else STATUS.CONFLICT

    def land(self, pick=0):
        """Apply a write whose owner no longer waits for its answer."""
        if self.late_calls:
            _, op = self.late_calls.pop(pick % len(self.late_calls))
            if isinstance(op, effects.StorePut):
                self._apply(op)

    def run_without_faults(self, span_s=10.0):
        """Answer every call at once for some time, without faults."""
        for at in range(len(self.owners)):
            self.pause(at, False)
        for _ in range(int(span_s / 0.1)):
            while self.calls:
                self.answer("well")
            self.advance(0.1)
