"""Requests that crash engines are found; the innocent are not blamed."""

import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.core import quarantine
from tests.dispatch import support

POISON = "poison"
STEP_S = 0.5


class PoisonTest(unittest.TestCase):
    """At most two crashes by one request over the whole fleet."""

    def setUp(self):
        self.bench = support.new_bench(count=3)
        support.report(self.bench)
        self.crashes = 0
        self.attempts = {}
        self.done = set()

    def _ask(self, fingerprint):
        number = self.attempts[fingerprint] = (
            self.attempts.get(fingerprint, 0) + 1)
        support.ask(self.bench, f"{fingerprint}.{number}",
                    fingerprint=fingerprint)

    def _crash(self, engine):
        self.crashes += 1
        lost = support.crash(self.bench, engine)
        for key in lost:
            # Doors retry and callers send again at once.
            self._ask(self.bench.asked[key].fingerprint)

    def _pass_time(self, rounds):
        bench = self.bench
        for _ in range(rounds):
            support.advance(bench, STEP_S)
            hit = [grant.engine for key, grant in bench.running.items()
                   if bench.asked[key].fingerprint == POISON]
            for engine in dict.fromkeys(hit):
                self._crash(engine)
            support.report(bench)
            for key in list(bench.running):
                fingerprint = bench.asked[key].fingerprint
                if fingerprint != POISON:
                    support.finish(bench, key)
                    self.done.add(fingerprint)

    def _verdict(self, fingerprint):
        return quarantine.verdict(self.bench.daemon, fingerprint)

    def test_two_crashes_and_the_innocent_cleared(self):
        """One request takes engine after engine down.

        Every request that shares an engine with it is lost each time,
        and its caller sends it again. After the first crash all that ran
        there run alone; after the second only it can be the cause.
        """
        for number in range(15):
            self._ask(f"innocent{number}")
            if number == 7:
                self._ask(POISON)
        self._pass_time(80)
        self.assertEqual(2, self.crashes)
        self.assertEqual("quarantined", self._verdict(POISON))
        self.assertEqual(15, len(self.done))
        for fingerprint in self.done:
            self.assertEqual("", self._verdict(fingerprint))

    def test_many_copies_crash_two_engines(self):
        """A caller sends its request many times before any crash.

        All copies are queued, and run, before the first loss is heard
        of; each takes another engine down.
        """
        for _ in range(6):
            self._ask(POISON)
        self._pass_time(60)
        self.assertEqual(2, self.crashes)
        self.assertEqual("quarantined", self._verdict(POISON))

    def test_a_suspect_of_another_host_crashes_one_more(self):
        """The first crash was in another cell, with another dispatcher.

        That dispatcher has told all hosts. The caller sends the request
        here next: it must run alone at once, and only one more time.
        """
        support.receive(self.bench, messages.CrashSeen(
            "elsewhere", "suspect", (POISON,)), "entry-1")
        for _ in range(4):
            self._ask(POISON)
        self._pass_time(60)
        self.assertEqual(1, self.crashes)
        self.assertEqual("quarantined", self._verdict(POISON))

    def test_a_report_that_comes_before_the_loss(self):
        """A request crashes a third engine.

        The restarted engine's load report reached the dispatcher before
        the door told of the loss. Compared with the newest boot id the
        engine seemed never to have gone down.
        """
        self._ask("suspect")
        bench = self.bench
        for _ in range(2):
            self._settle_one("suspect")
        self.assertEqual("quarantined", self._verdict("suspect"))
        self.assertEqual({}, bench.running)

    def _settle_one(self, fingerprint):
        """Crash under the request, report first, then the loss."""
        bench = self.bench
        for _ in range(40):
            if bench.running:
                break
            support.advance(bench, STEP_S)
            support.report(bench)
        key, grant = next(iter(bench.running.items()))
        bench.boots[grant.engine] += 1
        support.report(bench)
        support.finish(bench, key, "broken")
        support.advance(bench, STEP_S)
        support.report(bench)
        self._ask(fingerprint)

    def test_a_broken_connection_is_no_crash(self):
        """A suspect whose connection breaks twice is not condemned.

        A caller is told that its request crashes servers, while only the
        network between a door and the engine failed; the engine's boot
        id shows that it never went down.
        """
        self._ask("innocent")
        for _ in range(2):
            key = next(iter(self.bench.running))
            support.finish(self.bench, key, "broken")
            self._ask("innocent")
            for _ in range(20):
                support.advance(self.bench, STEP_S)
                support.report(self.bench)
            self.assertEqual("", self._verdict("innocent"))
        self.assertEqual(1, len(self.bench.running))

    def test_verdicts_are_told_to_all_hosts(self):
        self._ask(POISON)
        key = next(iter(self.bench.running))
        out = support.finish(self.bench, key, "broken")
        told = [e.message for e in out if type(e) is effects.Broadcast]
        self.assertEqual(
            [("suspect", (POISON,))],
            [(seen.verdict, seen.fingerprints) for seen in told])

    def test_a_late_suspicion_does_not_undo_a_verdict(self):
        """Hosts hear verdicts in any order; the gravest stays.

        A "suspect" of the first crash arrives after "quarantined". Were
        it to count, the request would run and crash once more.
        """
        daemon = self.bench.daemon
        for verdict in ("quarantined", "suspect", "cleared"):
            seen = messages.CrashSeen("engine-0", verdict, (POISON,))
            quarantine.handle(
                daemon, events.Received("entry-1", 1, seen), 1.0)
        self.assertEqual("quarantined", self._verdict(POISON))
        quarantine.handle(daemon, events.TimerFired(("any",)), 700.0)
        self.assertEqual("", self._verdict(POISON))


if __name__ == "__main__":
    unittest.main()
