"""Invariants of the entry host under any order of events."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.frontend import state
from crocuskeel.core import messages
from tests.frontend import driver
from tests import liveness

ENDS = [str(end) for end in events.AttemptEnd]
NOT_RUN_ENDS = ("busy", "refused", "unready")
REQUESTS = (
    {}, {"stream": False}, {"class_name": "bulk", "key": "a"},
    {"class_name": "book", "key": "k", "stream": False},
    {"class_name": "book", "key": "k", "stream": False},
    {"class_name": "book", "key": "n", "stream": False,
     "workspace": "south"},
    {"key": "n", "non_repeatable": True})
OPERATIONS = ("arrive", "arrive", "deliver", "deliver", "deliver", "repeat",
              "begin", "end", "end", "leave", "wait", "peer", "refuse", "list",
              "book")
OTHER_HOST_RID = "h9.1.1"
# Long enough for deadlines to pass while an attempt is open.
SLOW_OPERATIONS = (*OPERATIONS, "outlast", "outlast")
WAKEUPS = {
    state.Stage.WAITING: lambda rid: ("door", "deadline", rid),
    state.Stage.CLAIMING: lambda rid: ("door", "claim", rid),
    state.Stage.RESUMING: lambda rid: ("door", "resume", rid),
    state.Stage.RUNNING: lambda rid: ("attempt", rid),
}


class Environment:
    """Peers, servers and callers of one entry host.

    Messages are delivered late, out of order and twice. ``in_transit``
    holds messages not yet delivered, ``delivered`` the others. ``ends``
    maps an attempt to its first end. By rid, ``earlier_attempts`` holds
    the attempts under its key when it arrived, ``ran_elsewhere`` whether
    another host held the key then.
    """

    def __init__(self):
        self.host = driver.Host(max_requests=4)
        self.in_transit = []
        self.delivered = []
        self.effects_checked = 0
        self.gone_callers = set()
        self.arrivals = {}
        self.open_attempts = {}
        self.ends = {}
        self.opened_attempts = {}
        self.claim_holders = {}
        self.granted_claims = set()
        self.answer_counts = {}
        self.held_slots = set()
        self.earlier_attempts = {}
        self.ran_elsewhere = {}

    def step(self, operation, pick):
        getattr(self, operation)(pick)
        self.process_effects()

    def process_effects(self):
        """Check the host's new effects and answer its messages."""
        while self.effects_checked < len(self.host.log):
            effect = self.host.log[self.effects_checked]
            self.effects_checked += 1
            self.check_effect(effect)
            if isinstance(effect, effects.Send):
                self.answer_message(effect.host, effect.message)
        self.check_liveness()

    def check_liveness(self):
        """Check that all that waits has an attempt or a timer."""
        wakeups = {*self.host.timers, *(
            ("attempt", rid) for rid, _ in self.open_attempts)}
        frontend = self.host.daemon.frontend
        waiting = {rid: {WAKEUPS[req.stage](rid)}
                   for rid, req in frontend.requests.items()}
        for rid, relay in frontend.relays.items():
            original = frontend.requests.get(relay.original_rid)
            if original is None or rid not in original.watchers:
                waiting[rid] = {("attempt", rid)}
        for rid in frontend.lookups:
            waiting[rid] = {("door", "lookup", rid)}
        liveness.check("frontend", waiting, wakeups)

    def answer_message(self, sender, message):
        if isinstance(message, messages.Released):
            self.held_slots.discard(
                (message.rid, message.attempt, message.engine))
        if isinstance(message, messages.Enqueue):
            names = ("d1", "d2") if message.service == "desk" else (
                "e1", "e2", "e3")
            engine = [name for name in names
                      if name not in message.avoid] or names
            self.in_transit.append((sender, messages.Grant(
                message.rid, message.attempt, message.cell, engine[0])))
        elif isinstance(message, messages.ClaimAsk) and message.look:
            holder = self.claim_holders.get(message.key, "")
            status = "duplicate" if holder else "absent"
            self.send_claim_answer(sender, message, status, holder)
        elif isinstance(message, messages.ClaimAsk):
            holder = self.claim_holders.setdefault(message.key, message.rid)
            status = "granted" if holder == message.rid else "duplicate"
            self.send_claim_answer(sender, message, status, holder)
        elif isinstance(message, messages.ClaimSettle):
            if message.outcome == "not_run":
                if self.claim_holders.get(message.key) == message.rid:
                    del self.claim_holders[message.key]

    def send_claim_answer(self, sender, ask, status, holder):
        self.in_transit.append((sender, messages.ClaimAnswer(
            ask.rid, ask.key, status, holder.partition(".")[0], holder)))

    def check_effect(self, effect):
        match effect:
            case effects.OpenAttempt(rid=rid, attempt=attempt):
                self.opened_attempts.setdefault(rid, []).append(attempt)
                self.open_attempts[rid, attempt] = 0
                assert self.may_open(rid), "ran twice or without claim"
            case effects.ResumeAttempt(rid=rid, attempt=attempt):
                self.open_attempts[rid, attempt] = 1
            case effects.CancelAttempt(rid=rid, attempt=attempt):
                self.open_attempts.pop((rid, attempt), None)
            case effects.Answer(rid=rid, problem=problem):
                if problem.outcome == "not_run":
                    assert not self.may_have_run(rid), "not_run: may have run"
                    assert not self.ran_before(rid), "not_run: key ran before"
                self.count_answer(rid)
            case effects.Replay(rid=rid, original_rid=original_rid):
                own_workspace = self.arrivals[rid].get("workspace")
                assert own_workspace == self.arrivals[original_rid].get(
                    "workspace")
                self.open_attempts[rid, 0] = 1

    def may_open(self, rid):
        request = self.arrivals[rid]
        if request.get("class_name") != "book" and not request.get(
                "non_repeatable"):
            return True
        earlier = self.opened_attempts[rid][:-1]
        held = rid in self.granted_claims
        return held and not self.may_have_run(rid, earlier)

    def may_have_run(self, rid, attempts=None):
        attempts = (self.opened_attempts.get(rid, ())
                    if attempts is None else attempts)
        return any(self.ends.get((rid, attempt)) not in NOT_RUN_ENDS
                   for attempt in attempts)

    def count_answer(self, rid):
        assert rid in self.arrivals, "answer to an unknown request"
        self.answer_counts[rid] = self.answer_counts.get(rid, 0) + 1
        assert self.answer_counts[rid] == 1, "answered twice"

    def arrive(self, pick):
        request = REQUESTS[pick % len(REQUESTS)]
        rid = f"h1.1.{self.host.rids + 1}"
        self.earlier_attempts[rid] = self.attempts_under_key(request)
        self.ran_elsewhere[rid] = self.key_ran_elsewhere(request)
        self.arrivals[rid] = request
        self.host.arrive(**request)

    def attempts_under_key(self, request):
        """Return the attempts so far of requests with the same key."""
        if not is_non_repeatable(request):
            return {}
        key = claim_key_of(request)
        return {rid: list(self.opened_attempts.get(rid, ()))
                for rid, other in self.arrivals.items()
                if other.get("key") and claim_key_of(other) == key}

    def key_ran_elsewhere(self, request):
        return (is_non_repeatable(request) and self.claim_holders.get(
            claim_key_of(request)) == OTHER_HOST_RID)

    def ran_before(self, rid):
        """Return whether the key may have run before the arrival of rid.

        An attempt that was open then may have ended without a run since.
        """
        return self.ran_elsewhere[rid] or any(
            self.may_have_run(*earlier)
            for earlier in self.earlier_attempts[rid].items())

    def book(self, pick):
        """Another host claims a booking; its answer is lost."""
        request = REQUESTS[3 + pick % 4]
        self.claim_holders.setdefault(claim_key_of(request), OTHER_HOST_RID)

    def deliver(self, pick):
        if self.in_transit:
            delivery = self.in_transit.pop(pick % len(self.in_transit))
            self.delivered.append(delivery)
            self.receive(*delivery)

    def repeat(self, pick):
        if self.delivered:
            self.receive(*self.delivered[pick % len(self.delivered)])

    def receive(self, sender, message):
        if isinstance(message, messages.Grant):
            self.held_slots.add((message.rid, message.attempt, message.engine))
        if isinstance(message, messages.ClaimAnswer):
            if message.status == "granted":
                self.granted_claims.add(message.rid)
        self.host.receive(sender, message)

    def refuse(self, pick):
        if self.in_transit:
            sender, grant = self.in_transit[pick % len(self.in_transit)]
            if isinstance(grant, messages.Grant):
                self.host.receive(sender, messages.Refusal(
                    grant.rid, grant.attempt, grant.cell, "overload"))

    def begin(self, pick):
        if self.open_attempts:
            rid, attempt = sorted(self.open_attempts)[
                pick % len(self.open_attempts)]
            self.host.feed(events.AttemptOpened(rid, attempt, 0.1))

    def end(self, pick, end=""):
        if not self.open_attempts:
            return
        rid, attempt = sorted(self.open_attempts)[
            pick % len(self.open_attempts)]
        resumed = self.open_attempts.pop((rid, attempt))
        end = end or ENDS[pick % len(ENDS)]
        if not resumed:
            self.ends[rid, attempt] = end
        event = events.AttemptClosed(
            rid, attempt, events.AttemptEnd(end), pick % 3)
        if end == "done" and self.is_pending(rid):
            self.count_answer(rid)
        self.host.feed(event)
        self.host.feed(event)

    def is_pending(self, rid):
        frontend = self.host.daemon.frontend
        return rid in frontend.relays or rid in frontend.requests

    def leave(self, pick):
        if self.arrivals:
            rid = sorted(self.arrivals)[pick % len(self.arrivals)]
            self.gone_callers.add(rid)
            self.host.feed(events.CallerGone(rid))

    def wait(self, pick):
        self.host.advance(pick % 5 * 0.4)

    def outlast(self, pick):
        self.host.advance(5.0 + pick)

    def peer(self, pick):
        kind = (events.PeerDown, lambda host: events.PeerUp(host, 1))
        self.host.feed(kind[pick % 2](("h2", "h3")[pick // 2 % 2]))

    def list(self, pick):
        names = ("e1", "e2", "d1", "")
        self.host.list_servers((names[pick % 4],), at=pick + 2)

    def run_to_completion(self):
        """Run until no request, relay or lookup is left."""
        for _ in range(200):
            if not self.has_pending():
                return
            while self.in_transit:
                self.deliver(0)
                self.process_effects()
            while self.open_attempts:
                self.end(0, "done")
                self.process_effects()
            self.host.advance(1.0)
            self.process_effects()

    def has_pending(self):
        frontend = self.host.daemon.frontend
        return frontend.requests or frontend.relays or frontend.lookups


def is_non_repeatable(request):
    return request.get("class_name") == "book" or bool(
        request.get("non_repeatable"))


def claim_key_of(request):
    return driver.claim_key(request.get("workspace", "north"),
                            request["key"])


class AnyOrderTest(unittest.TestCase):

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(strategies.lists(strategies.tuples(
        strategies.sampled_from(OPERATIONS), strategies.integers(0, 59)),
        min_size=40, max_size=80))
    def test_each_request_gets_one_correct_answer(self, steps):
        """A caller gets two answers, none, or a wrong one.

        Messages arrive late, twice and out of order, attempts end in
        every way, and callers and peers disconnect at any moment. Each
        request must still get one answer, a booking must run once and
        only after its claim, not_run must be true, and no slot may stay
        occupied.
        """
        environment = Environment()
        for operation, pick in steps:
            environment.step(operation, pick)
        environment.run_to_completion()
        frontend = environment.host.daemon.frontend
        self.assertFalse(
            frontend.requests or frontend.relays or frontend.cells)
        self.assertFalse(environment.held_slots)
        for rid in environment.arrivals:
            if rid not in environment.gone_callers:
                self.assertEqual(1, environment.answer_counts.get(rid), rid)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(strategies.lists(strategies.tuples(
        strategies.sampled_from(SLOW_OPERATIONS), strategies.integers(0, 59)),
        min_size=40, max_size=80))
    def test_no_request_waits_without_a_timer(self, steps):
        """A request waits for ever once its deadline has passed.

        Its deadline passes while an attempt is open, and the attempt then
        ends without having run: only a dispatcher that is lost would end
        the wait.
        """
        environment = Environment()
        for operation, pick in steps:
            environment.step(operation, pick)
