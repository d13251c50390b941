"""Requests that crash engines are quarantined, and no others."""

import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.core import quarantine
from tests.dispatch import support

POISON = "poison"
STEP_S = 0.5


class PoisonTest(unittest.TestCase):
    """One request causes at most two crashes on all engines together."""

    def setUp(self):
        self.harness = support.new_harness(count=3)
        support.report_loads(self.harness)
        self.crashes = 0
        self.attempts = {}
        self.done = set()

    def _enqueue(self, fingerprint):
        number = self.attempts[fingerprint] = (
            self.attempts.get(fingerprint, 0) + 1)
        support.enqueue(self.harness, f"{fingerprint}.{number}",
                        fingerprint=fingerprint)

    def _crash_engine(self, engine):
        self.crashes += 1
        lost = support.crash_engine(self.harness, engine)
        for key in lost:
            # Entry hosts retry and callers send again immediately.
            self._enqueue(self.harness.enqueued[key].fingerprint)

    def _run_steps(self, rounds):
        harness = self.harness
        for _ in range(rounds):
            support.advance(harness, STEP_S)
            crashed = [grant.engine for key, grant in harness.running.items()
                       if harness.enqueued[key].fingerprint == POISON]
            for engine in dict.fromkeys(crashed):
                self._crash_engine(engine)
            support.report_loads(harness)
            for key in list(harness.running):
                fingerprint = harness.enqueued[key].fingerprint
                if fingerprint != POISON:
                    support.end_attempt(harness, key)
                    self.done.add(fingerprint)

    def _verdict(self, fingerprint):
        return quarantine.verdict(self.harness.daemon, fingerprint)

    def test_two_crashes_then_others_are_cleared(self):
        """A request that crashes engines is found after two crashes.

        Every request that shares an engine with it is lost each time, and
        its caller sends it again. After the first crash all requests of
        the engine run alone; after the second only one can be the cause.
        """
        for number in range(15):
            self._enqueue(f"harmless{number}")
            if number == 7:
                self._enqueue(POISON)
        self._run_steps(80)
        self.assertEqual(2, self.crashes)
        self.assertEqual("quarantined", self._verdict(POISON))
        self.assertEqual(15, len(self.done))
        for fingerprint in self.done:
            self.assertEqual("", self._verdict(fingerprint))

    def test_many_copies_crash_two_engines(self):
        """Copies enqueued before the first crash crash two engines at most.

        If all copies ran before the first loss is reported, each would
        crash another engine.
        """
        for _ in range(6):
            self._enqueue(POISON)
        self._run_steps(60)
        self.assertEqual(2, self.crashes)
        self.assertEqual("quarantined", self._verdict(POISON))

    def test_a_suspect_reported_by_a_peer_crashes_one_more(self):
        """A suspect reported by another dispatcher runs alone, once.

        The first crash was in another cell, and its dispatcher broadcast
        the verdict. The caller then sends the request here, where it must
        run alone at once and crash only one more engine.
        """
        support.receive(self.harness, messages.CrashSeen(
            "elsewhere", "suspect", (POISON,)), "entry-1")
        for _ in range(4):
            self._enqueue(POISON)
        self._run_steps(60)
        self.assertEqual(1, self.crashes)
        self.assertEqual("quarantined", self._verdict(POISON))

    def test_a_load_report_before_the_loss(self):
        """A crash is detected if the load report precedes the loss.

        The restarted engine's load report reached the dispatcher before
        the entry host reported the loss. Compared with the newest boot id,
        the engine seemed not to have crashed, and the request crashed a
        third one.
        """
        self._enqueue("suspect")
        harness = self.harness
        for _ in range(2):
            self._crash_with_early_report("suspect")
        self.assertEqual("quarantined", self._verdict("suspect"))
        self.assertEqual({}, harness.running)

    def _crash_with_early_report(self, fingerprint):
        """Crash an engine; deliver its load report, then the loss."""
        harness = self.harness
        for _ in range(40):
            if harness.running:
                break
            support.advance(harness, STEP_S)
            support.report_loads(harness)
        key, grant = next(iter(harness.running.items()))
        harness.crash_counts[grant.engine] += 1
        support.report_loads(harness)
        support.end_attempt(harness, key, "broken")
        support.advance(harness, STEP_S)
        support.report_loads(harness)
        self._enqueue(fingerprint)

    def test_a_broken_connection_is_not_a_crash(self):
        """A suspect whose connection breaks twice is not quarantined.

        Only the network between an entry host and the engine failed. The
        engine's boot id shows that it did not crash, so the caller must
        not be told that its request crashes servers.
        """
        self._enqueue("harmless")
        for _ in range(2):
            key = next(iter(self.harness.running))
            support.end_attempt(self.harness, key, "broken")
            self._enqueue("harmless")
            for _ in range(20):
                support.advance(self.harness, STEP_S)
                support.report_loads(self.harness)
            self.assertEqual("", self._verdict("harmless"))
        self.assertEqual(1, len(self.harness.running))

    def test_verdicts_are_broadcast(self):
        self._enqueue(POISON)
        key = next(iter(self.harness.running))
        out = support.end_attempt(self.harness, key, "broken")
        broadcasts = [e.message for e in out if type(e) is effects.Broadcast]
        self.assertEqual(
            [("suspect", (POISON,))],
            [(seen.verdict, seen.fingerprints) for seen in broadcasts])

    def test_a_late_suspicion_does_not_replace_a_quarantine(self):
        """Verdicts may arrive in any order; the most severe one holds.

        A "suspect" of the first crash arrives after "quarantined". If it
        replaced that verdict, the request would run and crash another
        engine.
        """
        daemon = self.harness.daemon
        for verdict in ("quarantined", "suspect", "cleared"):
            seen = messages.CrashSeen("engine-0", verdict, (POISON,))
            quarantine.handle(
                daemon, events.Received("entry-1", 1, seen), 1.0)
        self.assertEqual("quarantined", self._verdict(POISON))
        quarantine.handle(daemon, events.TimerFired(("any",)), 700.0)
        self.assertEqual("", self._verdict(POISON))


if __name__ == "__main__":
    unittest.main()
