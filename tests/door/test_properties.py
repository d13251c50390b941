"""What must hold of the door over any order of events."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from tests.door import driver

ENDS = [str(end) for end in events.AttemptEnd]
NOT_RUN = ("busy", "refused", "unready")
REQUESTS = (
    {}, {"stream": False}, {"class_name": "bulk", "key": "a"},
    {"class_name": "book", "key": "k", "stream": False},
    {"class_name": "book", "key": "k", "stream": False},
    {"class_name": "book", "key": "n", "stream": False,
     "workspace": "south"},
    {"key": "n", "non_repeatable": True})
OPS = ("arrive", "arrive", "deliver", "deliver", "deliver", "repeat", "begin",
       "end", "end", "leave", "wait", "peer", "refuse", "list", "book")
BOOKED = "h9.1.1"


class World:
    """The other side of a door: late, out of order, twice.

    ``mail`` holds what is on its way to the door, ``sent`` what came.
    ``ends`` maps an attempt to how it first ended, ``ran_before`` a rid
    to whether its key may have run anywhere before it arrived.
    """

    def __init__(self):
        self.host = driver.Host(max_requests=4)
        self.mail = []
        self.sent = []
        self.seen = 0
        self.left = set()
        self.arrivals = {}
        self.open = {}
        self.ends = {}
        self.opens = {}
        self.claims = {}
        self.granted = set()
        self.finals = {}
        self.slots = set()
        self.ran_before = {}

    def step(self, op, pick):
        getattr(self, op)(pick)
        self.absorb()

    def absorb(self):
        """Answer what the door sent and keep account of it."""
        while self.seen < len(self.host.log):
            effect = self.host.log[self.seen]
            self.seen += 1
            self.account(effect)
            if isinstance(effect, effects.Send):
                self.answer(effect.host, effect.message)

    def answer(self, sender, message):
        if isinstance(message, messages.Released):
            self.slots.discard(
                (message.rid, message.attempt, message.engine))
        if isinstance(message, messages.Enqueue):
            names = ("d1", "d2") if message.service == "desk" else (
                "e1", "e2", "e3")
            engine = [name for name in names
                      if name not in message.avoid] or names
            self.mail.append((sender, messages.Grant(
                message.rid, message.attempt, message.cell, engine[0])))
        elif isinstance(message, messages.ClaimAsk) and message.look:
            holder = self.claims.get(message.key, "")
            status = "duplicate" if holder else "absent"
            self.ledger_says(sender, message, status, holder)
        elif isinstance(message, messages.ClaimAsk):
            holder = self.claims.setdefault(message.key, message.rid)
            status = "granted" if holder == message.rid else "duplicate"
            self.ledger_says(sender, message, status, holder)
        elif isinstance(message, messages.ClaimSettle):
            if message.outcome == "not_run":
                if self.claims.get(message.key) == message.rid:
                    del self.claims[message.key]

    def ledger_says(self, sender, ask, status, holder):
        self.mail.append((sender, messages.ClaimAnswer(
            ask.rid, ask.key, status, holder.partition(".")[0], holder)))

    def account(self, effect):
        match effect:
            case effects.OpenAttempt(rid=rid, attempt=attempt):
                self.opens.setdefault(rid, []).append(attempt)
                self.open[rid, attempt] = 0
                assert self.may_open(rid), "ran twice or without claim"
            case effects.ResumeAttempt(rid=rid, attempt=attempt):
                self.open[rid, attempt] = 1
            case effects.CancelAttempt(rid=rid, attempt=attempt):
                self.open.pop((rid, attempt), None)
            case effects.Answer(rid=rid, problem=problem):
                if problem.outcome == "not_run":
                    assert not self.may_have_run(rid), "lied: not_run"
                    assert not self.ran_before[rid], "lied: key ran"
                self.final(rid)
            case effects.Replay(rid=rid, held=held):
                mine = self.arrivals[rid].get("workspace")
                assert mine == self.arrivals[held].get("workspace")
                self.open[rid, 0] = 1

    def may_open(self, rid):
        request = self.arrivals[rid]
        if request.get("class_name") != "book" and not request.get(
                "non_repeatable"):
            return True
        earlier = self.opens[rid][:-1]
        held = rid in self.granted
        return held and not self.may_have_run(rid, earlier)

    def may_have_run(self, rid, attempts=None):
        attempts = self.opens.get(rid, ()) if attempts is None else attempts
        return any(self.ends.get((rid, one)) not in NOT_RUN
                   for one in attempts)

    def final(self, rid):
        assert rid in self.arrivals, "answered nobody"
        self.finals[rid] = self.finals.get(rid, 0) + 1
        assert self.finals[rid] == 1, "answered twice"

    def arrive(self, pick):
        request = REQUESTS[pick % len(REQUESTS)]
        rid = f"h1.1.{self.host.rids + 1}"
        self.ran_before[rid] = self.key_may_have_run(request)
        self.arrivals[rid] = request
        self.host.arrive(**request)

    def key_may_have_run(self, request):
        if request.get("class_name") != "book" and not request.get(
                "non_repeatable"):
            return False
        key = ledger_key(request)
        return self.claims.get(key) == BOOKED or any(
            self.may_have_run(rid) for rid, other in self.arrivals.items()
            if other.get("key") and ledger_key(other) == key)

    def book(self, pick):
        """Another host takes a booking; its answer is lost."""
        request = REQUESTS[3 + pick % 4]
        self.claims.setdefault(ledger_key(request), BOOKED)

    def deliver(self, pick):
        if self.mail:
            mail = self.mail.pop(pick % len(self.mail))
            self.sent.append(mail)
            self.receive(*mail)

    def repeat(self, pick):
        if self.sent:
            self.receive(*self.sent[pick % len(self.sent)])

    def receive(self, sender, message):
        if isinstance(message, messages.Grant):
            self.slots.add((message.rid, message.attempt, message.engine))
        if isinstance(message, messages.ClaimAnswer):
            if message.status == "granted":
                self.granted.add(message.rid)
        self.host.receive(sender, message)

    def refuse(self, pick):
        if self.mail:
            sender, grant = self.mail[pick % len(self.mail)]
            if isinstance(grant, messages.Grant):
                self.host.receive(sender, messages.Refusal(
                    grant.rid, grant.attempt, grant.cell, "overload"))

    def begin(self, pick):
        if self.open:
            rid, attempt = sorted(self.open)[pick % len(self.open)]
            self.host.feed(events.AttemptOpened(rid, attempt, 0.1))

    def end(self, pick, end=""):
        if not self.open:
            return
        rid, attempt = sorted(self.open)[pick % len(self.open)]
        resumed = self.open.pop((rid, attempt))
        end = end or ENDS[pick % len(ENDS)]
        if not resumed:
            self.ends[rid, attempt] = end
        event = events.AttemptClosed(
            rid, attempt, events.AttemptEnd(end), pick % 3)
        if end == "done" and self.awaits(rid):
            self.final(rid)
        self.host.feed(event)
        self.host.feed(event)

    def awaits(self, rid):
        door = self.host.daemon.door
        return rid in door.relays or rid in door.requests

    def leave(self, pick):
        if self.arrivals:
            rid = sorted(self.arrivals)[pick % len(self.arrivals)]
            self.left.add(rid)
            self.host.feed(events.CallerGone(rid))

    def wait(self, pick):
        self.host.advance(pick % 5 * 0.4)

    def peer(self, pick):
        kind = (events.PeerDown, lambda host: events.PeerUp(host, 1))
        self.host.feed(kind[pick % 2](("h2", "h3")[pick // 2 % 2]))

    def list(self, pick):
        names = ("e1", "e2", "d1", "")
        self.host.list_servers((names[pick % 4],), at=pick + 2)

    def settle(self):
        """Let everything that is under way come to its end."""
        for _ in range(200):
            if not self.awaiting():
                return
            while self.mail:
                self.deliver(0)
                self.absorb()
            while self.open:
                self.end(0, "done")
                self.absorb()
            self.host.advance(1.0)
            self.absorb()

    def awaiting(self):
        door = self.host.daemon.door
        return door.requests or door.relays or door.looks


def ledger_key(request):
    return driver.claim_key(request.get("workspace", "north"),
                            request["key"])


class AnyOrder(unittest.TestCase):

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(strategies.lists(strategies.tuples(
        strategies.sampled_from(OPS), strategies.integers(0, 59)),
        min_size=40, max_size=80))
    def test_one_true_answer(self, steps):
        """A caller gets two answers, none, or one that is not true.

        Peers' messages come late, twice and out of order, attempts end
        in every way, callers leave and connections are remade at any
        moment. Each request still gets one answer, a booking runs once
        and after its claim, not_run is true, and no slot stays taken.
        """
        world = World()
        for op, pick in steps:
            world.step(op, pick)
        world.settle()
        door = world.host.daemon.door
        self.assertFalse(door.requests or door.relays or door.cells)
        self.assertFalse(world.slots)
        for rid in world.arrivals:
            if rid not in world.left:
                self.assertEqual(1, world.finals.get(rid), rid)
