"""Each request of an entry host ends, whatever happens to its attempts."""

import unittest

import hypothesis
from hypothesis import strategies

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support

ROUTES = (
    support.route("booking", model.Kind.UNSAFE),
    support.route("status"),
    support.stream("advice", target_s=0.3),
    support.stream("draft", priority=2, resumable=False, timeout_s=3.0))
PROMPTS = (support.prompt(), support.prompt("chats", 170, 540))
SERVERS = tuple(
    support.server(f"{service}-{number}", service, slots=3)
    for service in ("plain", "engines") for number in range(3))
OPERATIONS = ("arrive", "arrive", "arrive", "open", "progress", "end",
              "answer", "fail", "fail", "hint", "leave", "wait", "wait",
              "list", "tick", "silence")
OUTCOMES = tuple(model.Outcome)


class Environment:
    """Callers, servers and the timers of one host."""

    def __init__(self):
        self.driver = support.Driver(*ROUTES, servers=SERVERS)
        self.keys = 0
        self.revision = 5
        self.answers = {}
        self.abandoned = set()

    def feed(self, event):
        for effect in self.driver.feed(event):
            if type(effect) in (effects.Answer, effects.AbortStream):
                self.answers[effect.key] = self.answers.get(effect.key, 0) + 1
            elif type(effect) is effects.ForwardResponse:
                # A stream is forwarded again where it goes on.
                self.answers.setdefault(effect.key, 1)

    def attempt(self, pick, opened=None, kind=None):
        """Return (key, number) of an attempt in progress, or None.

        ``opened`` and ``kind`` restrict the attempts, None doesn't.
        """
        found = [(key, attempt.attempt_number)
                 for key, pending in self.driver.host.pending.items()
                 for attempt in ending.active_attempts(pending)
                 if opened in (None, attempt.opened)
                 and kind in (None, pending.route.kind)]
        return found[pick % len(found)] if found else None

    def arrive(self, pick):
        self.keys += 1
        route = ROUTES[pick % len(ROUTES)]
        prompt = None
        if route.kind is model.Kind.STREAM:
            prompt = PROMPTS[pick % len(PROMPTS)]
        self.feed(events.RequestReceived(self.keys, support.request(
            f"/{route.name}/1", prompt, (0.01, 1.0, 3.0, None)[pick % 4],
            f"r{self.keys}")))

    def open(self, pick):
        if attempt := self.attempt(pick, False, model.Kind.STREAM):
            self.feed(events.StreamOpened(*attempt, None))

    def progress(self, pick):
        if attempt := self.attempt(pick, True):
            self.feed(events.StreamProgressed(*attempt))

    def end(self, pick):
        if attempt := self.attempt(pick, True):
            self.feed(events.StreamEnded(*attempt))

    def answer(self, pick):
        if attempt := self.attempt(pick, False):
            status = (200, 503, 500)[pick % 3]
            self.feed(events.ResponseReceived(*attempt, status, None, True))

    def fail(self, pick):
        if attempt := self.attempt(pick):
            self.feed(events.AttemptFailed(
                *attempt, OUTCOMES[pick % len(OUTCOMES)],
                disconnected=pick % 2 == 0))

    def hint(self, pick):
        if attempt := self.attempt(pick):
            self.feed(events.HintsReceived(*attempt, model.Hints(
                (None, 0.0, 2.0)[pick % 3], pick % 7 == 0,
                (None, 1.0)[pick % 2])))

    def leave(self, pick):
        keys = list(self.driver.host.pending)
        if keys:
            self.abandoned.add(keys[pick % len(keys)])
            self.feed(events.CallerDisconnected(keys[pick % len(keys)]))

    def list(self, pick):
        self.revision += 1
        kept = tuple(server for number, server in enumerate(SERVERS)
                     if pick >> number & 1)
        self.feed(events.ServersListed(kept, self.revision))

    def tick(self, pick):
        self.driver.now += 0.25
        self.feed(events.Ticked())

    def silence(self, pick):
        self.feed((events.StoreUnavailable("timeout"),
                   events.StoreAvailable())[pick % 2])

    def wait(self, pick):
        """Advance the clock and fire the timers that are due, in order."""
        until = self.driver.now + (0.05, 0.3, 2.0)[pick % 3]
        while self.driver.timers:
            key, at = min(self.driver.timers.items(),
                          key=lambda item: (item[1], str(item[0])))
            if at > until:
                break
            self.driver.now = max(self.driver.now, at)
            del self.driver.timers[key]
            if key == support.LOADS:
                self.feed(events.LoadsDue())
            else:
                self.feed(events.TimerFired(key))
        self.driver.now = until


class LivenessTest(unittest.TestCase):
    """Attempts end in every way, and servers come and go."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=150)
    @hypothesis.given(strategies.lists(strategies.tuples(
        strategies.sampled_from(OPERATIONS), strategies.integers(0, 63)),
        min_size=30, max_size=80))
    def test_each_request_is_answered_by_its_deadline(self, steps):
        # A request whose attempt failed, or that no server could take,
        # waited for ever; the driver checks the timers after each event.
        environment = Environment()
        for operation, pick in steps:
            getattr(environment, operation)(pick)
        for _ in range(40):
            environment.wait(2)
        self.assertEqual({}, environment.driver.host.pending)
        for key in range(1, environment.keys + 1):
            if key not in environment.abandoned:
                self.assertIn(key, environment.answers)


if __name__ == "__main__":
    unittest.main()
