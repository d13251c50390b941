"""A small world for the claims reducer: one slot, two owners, one store.

The store loses answers, lets writes land late and has outages; owners
pause and restart; doors re-ask, give up and resend. All is driven by
the caller's choices, on a clock that only the caller advances.
"""

import dataclasses
import random

from crocuskeel.core import claims
from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages

DOOR = "door"
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
    """One request at its door; it starts at most once when granted."""

    rid: str
    key: str
    issued_at: float = 0.0
    digest: str = "d"
    state: str = "asked"
    answers: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Look:
    """A look for a key; ``begun`` had started when it was sent."""

    rid: str
    key: str
    begun: list
    answers: list = dataclasses.field(default_factory=list)


class World:
    """Owners, store and doors; ``ops`` are calls not yet answered."""

    def __init__(self, **kwargs):
        kwargs.setdefault("slots", 1)
        self.cfg = claims.ClaimsConfig(**kwargs)
        self.now = 0.0
        self.version = 0
        self.body = b""
        self.conditional = True
        self.ops = []
        self.late = []
        self.runs = {}
        self.recorded = set()
        self.attempts = {}
        self.looks = {}
        self.owners = [self._new_owner(0, 1), self._new_owner(1, 1)]

    def _new_owner(self, at, incarnation):
        return Owner(claims.new_state(
            f"h{at}", incarnation, random.Random(at), self.cfg))

    # Doors.

    def ask(self, key, at=0, **kwargs):
        """Let a door ask owner ``at`` to claim ``key``."""
        attempt = Attempt(f"r{len(self.attempts)}", key, **kwargs)
        self.attempts[attempt.rid] = attempt
        self.send_ask(attempt, at)
        return attempt

    def send_ask(self, attempt, at, deadline_s=5.0):
        """Deliver an ask, perhaps once more or to another owner."""
        self.deliver(at, events.Received(DOOR, 1, messages.ClaimAsk(
            attempt.rid, 0, attempt.key, attempt.digest, deadline_s,
            attempt.issued_at)))

    def look(self, key, at=0, digest="d", issued_at=0.0):
        """Let a door look for ``key`` at owner ``at``."""
        begun = [each for each in self.attempts.values()
                 if each.key == key and each.state in ("started", "ran")]
        look = Look(f"l{len(self.looks)}", key, begun)
        self.looks[look.rid] = look
        self.deliver(at, events.Received(DOOR, 1, messages.ClaimAsk(
            look.rid, 0, key, digest, 0.0, issued_at, look=True)))
        return look

    def _look_answered(self, answer):
        look = self.looks[answer.rid]
        look.answers.append(answer)
        if answer.status == "granted":
            raise AssertionError("a look was granted")
        held = [each for each in look.begun if each.state != "over"]
        if answer.status == "absent" and held:
            raise AssertionError(f"absent, but held by {held}")

    def settle(self, attempt, outcome, at):
        """Let the door report an outcome to one owner."""
        self.deliver(at, events.Received(DOOR, 1, messages.ClaimSettle(
            attempt.rid, 0, attempt.key, outcome)))

    def give_up(self, attempt, at):
        """The door answers its caller ``not_run`` unless it started."""
        if attempt.state in ("asked", "over"):
            attempt.state = "over"
            self.settle(attempt, "not_run", at)

    def end(self, attempt, ran, at):
        """A started attempt ends; ``ran`` False: refused unrun."""
        if attempt.state != "started":
            return
        attempt.state = "ran" if ran else "over"
        if ran:
            self.runs.setdefault(attempt.key, []).append(attempt.rid)
        self.settle(attempt, "ran" if ran else "not_run", at)

    def _answered(self, answer):
        if answer.rid in self.looks:
            self._look_answered(answer)
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
        """Hand an event to an owner, later if it is paused."""
        owner = self.owners[at]
        if owner.paused:
            owner.inbox.append(event)
            return
        for effect in claims.handle(owner.state, event, self.now):
            self._take(at, owner, effect)

    def _take(self, at, owner, effect):
        match effect:
            case effects.Send(message=answer):
                self._answered(answer)
            case effects.SetTimer(key=key, after_s=after_s):
                owner.timers[key] = self.now + after_s
            case effects.StoreGet() | effects.StorePut():
                self.ops.append((at, effect))

    def pause(self, at, paused):
        """Stop an owner, or wake it to all that it missed."""
        owner = self.owners[at]
        owner.paused = paused
        while owner.inbox and not owner.paused:
            self.deliver(at, owner.inbox.pop(0))

    def restart(self, at):
        """Replace an owner by one that remembers nothing."""
        self.late.extend(op for op in self.ops if op[0] == at)
        self.ops = [op for op in self.ops if op[0] != at]
        incarnation = self.owners[at].state.incarnation + 1
        self.owners[at] = self._new_owner(at, incarnation)

    def advance(self, span_s):
        """Advance the clock, then fire what is due."""
        self.now += span_s
        for at, owner in enumerate(self.owners):
            due = [key for key, when in owner.timers.items()
                   if when <= self.now and not owner.paused]
            for key in due:
                del owner.timers[key]
                self.deliver(at, events.TimerFired(key))

    # The store.

    def _apply(self, put):
        fits = put.version == self.version or not self.conditional
        if fits:
            self.version += 1
            self.body = put.body
            stored = ledgers.decode(self.version, put.body)
            self.recorded.update(
                each.rid for each in stored.entries.values())
        return fits

    def answer(self, mode, pick=0):
        """Answer a waiting call: well, out, lost, late or dropped."""
        if not self.ops:
            return
        at, op = self.ops.pop(pick % len(self.ops))
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
            self.late.append((at, put))
        if mode in ("late", "dropped"):
            return STATUS.UNKNOWN
        fits = self._apply(put)
        if mode == "lost":
            return STATUS.UNKNOWN
        return STATUS.WRITTEN if fits else STATUS.CONFLICT

    def land(self, pick=0):
        """Let a write whose answer was given up on take effect."""
        if self.late:
            _, op = self.late.pop(pick % len(self.late))
            if isinstance(op, effects.StorePut):
                self._apply(op)

    def calm(self, span_s=10.0):
        """All is well for a while: every call is answered at once."""
        for at in range(len(self.owners)):
            self.pause(at, False)
        for _ in range(int(span_s / 0.1)):
            while self.ops:
                self.answer("well")
            self.advance(0.1)
