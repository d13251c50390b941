"""Faults of the store, the owners and the entry hosts, one per test."""

import unittest

from crocuskeel.core import claims
from crocuskeel.core import effects
from tests.claims import simulation as simulations


def statuses(attempt):
    """Return the statuses an attempt was answered with."""
    return [each.status for each in attempt.answers]


class ClaimFaultTest(unittest.TestCase):
    """Scenarios of faults; nothing fails unless a test makes it fail."""

    def setUp(self):
        self.sim = simulations.Simulation(epoch_s=10.0, kept_epochs=2)

    def answered(self, key, **kwargs):
        """Claim ``key`` without faults; return the last answer."""
        attempt = self.sim.request_claim(key, **kwargs)
        self.sim.run_without_faults(2.0)
        return attempt.answers[-1]

    def put_in_flight(self, key, mode):
        """Claim ``key`` at owner 0; answer its write with ``mode``."""
        attempt = self.sim.request_claim(key)
        self.sim.answer("well")
        self.sim.answer(mode)
        return attempt

    def test_resend_names_the_holder(self):
        first = self.sim.request_claim("k")
        self.sim.run_without_faults(1.0)
        other_body = self.answered("k", digest="e")
        running = self.answered("k")
        self.sim.end(first, True, 0)
        self.sim.run_without_faults(2.0)
        ran = self.answered("k", at=1)
        self.assertEqual(["granted"], statuses(first))
        self.assertEqual("mismatch", other_body.status)
        self.assertEqual(
            ("duplicate", "door", "r0", "claimed"),
            (running.status, running.holder_host, running.holder_rid,
             running.outcome))
        self.assertEqual("ran", ran.outcome)

    def test_paused_owner_is_fenced(self):
        """An owner that resumes after a pause must not grant a claim.

        Owner 0 has read the ledger and is paused. The resend is granted
        by owner 1. Owner 0 resumes and commits on the version it had
        read; a success would run the booking twice.
        """
        self.sim.request_claim("other")
        self.sim.run_without_faults(1.0)
        self.sim.pause(0, True)
        late = self.sim.request_claim("k")
        resent = self.sim.request_claim("k", at=1)
        while self.sim.calls:
            self.sim.answer("well")
        self.assertEqual(["granted"], statuses(resent))
        self.sim.run_without_faults()
        self.assertEqual(["duplicate"], statuses(late))

    def test_lost_answer_is_settled_by_reading(self):
        """A recorded claim must be granted if the answer is lost.

        The write is applied and its answer is lost. A refusal would
        leave the key held by an attempt that never runs.
        """
        attempt = self.put_in_flight("k", "lost")
        self.assertEqual([], statuses(attempt))
        self.sim.answer("well")
        self.assertEqual(["granted"], statuses(attempt))

    def test_claim_abandoned_in_doubt_frees_the_key(self):
        """A claim abandoned while in doubt must free its key.

        The entry host abandons the claim while its write is in doubt. A
        read shows the old version, and the write is applied after that
        read. Otherwise the key would stay held by an attempt that its
        entry host no longer knows, and could never run although its
        caller was told ``not_run``.
        """
        attempt = self.put_in_flight("k", "late")
        self.sim.give_up(attempt, 0)
        self.sim.answer("well")
        self.sim.land()
        self.sim.run_without_faults()
        self.assertEqual([], statuses(attempt))
        self.assertEqual("granted", self.answered("k").status)

    def test_expired_request_is_not_settled(self):
        """A claim that expires at one owner must not free its key.

        Owner 0 loses the answer to a claim. The entry host asks owner 1,
        is granted and runs the request. If owner 0 freed the key at the
        deadline, a resend would run as well.
        """
        attempt = self.put_in_flight("k", "late")
        self.sim.pause(0, True)
        self.sim.send_ask(attempt, 1)
        while self.sim.calls:
            self.sim.answer("well")
        self.assertEqual("started", attempt.state)
        self.sim.advance(6.0)
        self.sim.run_without_faults()
        self.assertEqual("duplicate", self.answered("k").status)

    def test_dropped_key_is_refused(self):
        """A resend of a key dropped by age must be refused.

        After its entry is dropped the key would look new, and the
        request would run again half an hour later.
        """
        first = self.sim.request_claim("k", issued_at=100.0)
        self.sim.run_without_faults(1.0)
        self.sim.end(first, True, 0)
        for at in range(5):
            self.sim.advance(10.0)
            self.answered(f"other{at}", issued_at=200.0 + at)
        self.assertNotIn("k", self.entries())
        self.assertEqual(
            "too_old", self.answered("k", issued_at=100.0).status)
        self.assertEqual(
            "granted", self.answered("new", issued_at=300.0).status)

    def test_no_entry_is_dropped_early(self):
        """An entry must be kept for the whole retention time.

        If each owner that restarts or takes over started a new epoch
        immediately, an entry would be dropped seconds after it was
        made, and a resend would run again.
        """
        self.answered("k")
        for at in range(8):
            self.sim.restart(at % 2)
            self.answered(f"other{at}", at=at % 2)
        self.assertIn("k", self.entries())

    def entries(self):
        """Return the entries that owner 0 knows."""
        return self.sim.owners[0].state.slots[0].ledger.entries

    def test_outage_refuses_at_once(self):
        """During a store outage claims must be refused at once.

        If each claim called the store and waited for its timeout,
        callers would wait until their deadlines.
        """
        first = self.sim.request_claim("k")
        self.sim.answer("out")
        later = [self.sim.request_claim(f"k{at}") for at in range(20)]
        for attempt in [first, *later]:
            self.assertEqual(["unavailable"], statuses(attempt))
            self.assertGreater(attempt.answers[0].retry_after_s, 0.0)
        self.assertEqual([], self.sim.calls)
        self.sim.advance(1.0)
        self.assertEqual("granted", self.answered("k").status)

    def test_lookup_is_not_answered_from_the_cache(self):
        """A lookup must not be answered from a cached ledger.

        Owner 0 has read the ledger; the key is claimed and run through
        owner 1. The lookup for a refused resend reaches owner 0, whose
        cache lacks the key. Told "absent", the caller would book again
        by hand.
        """
        self.answered("other")
        first = self.sim.request_claim("k", at=1)
        self.sim.run_without_faults(1.0)
        lookup = self.sim.lookup("k")
        self.assertEqual([], statuses(lookup))
        self.sim.run_without_faults(1.0)
        self.assertEqual(["granted"], statuses(first))
        self.assertEqual(["duplicate"], statuses(lookup))
        self.assertEqual("r1", lookup.answers[0].holder_rid)

    def test_lookup_waits_for_a_read_of_its_own(self):
        """A read in progress when a lookup arrives must not answer it."""
        self.sim.request_claim("other")
        lookup = self.sim.lookup("k")
        later = self.sim.lookup("k", digest="e")
        self.sim.answer("well")
        self.assertEqual([], statuses(lookup) + statuses(later))
        self.sim.run_without_faults(1.0)
        self.assertEqual(["absent"] * 2, statuses(lookup) + statuses(later))

    def test_lookup_claims_nothing(self):
        """A lookup must not claim the key, or its request could not run."""
        lookup = self.sim.lookup("k")
        self.sim.run_without_faults(1.0)
        self.assertEqual(["absent"], statuses(lookup))
        self.assertEqual(0, self.sim.version)
        self.assertEqual("granted", self.answered("k").status)

    def test_lookup_during_a_read_is_answered(self):
        """A lookup that arrives during a read must get an answer.

        The slot has nothing to write when the read ends, so no further
        read starts and the lookup would wait for ever.
        """
        self.sim = simulations.Simulation(
            epoch_s=0.5, kept_epochs=1, commits_per_s=10.0)
        attempts = [self.sim.request_claim("k0", issued_at=1.0)
                    for _ in range(6)]
        for _ in range(4):
            self.sim.land(0)
        attempts += [self.sim.request_claim("k0", issued_at=1.0)
                     for _ in range(7)]
        self.sim.give_up(attempts[-1], 1)
        self.sim.advance(2.0)
        lookup = self.sim.lookup("k0", 1, issued_at=1.0)
        self.sim.run_without_faults()
        self.assertEqual(1, len(lookup.answers), lookup)

    def test_lookup_in_an_outage(self):
        """In a store outage a lookup must not report an absent key.

        Another owner may reach the store and claim it. A key that is
        known to be held is still reported.
        """
        self.answered("k")
        self.sim.advance(1.0)
        free = self.sim.lookup("new")
        self.sim.answer("out")
        lookups = [free, self.sim.lookup("new"), self.sim.lookup("k")]
        self.assertEqual(
            [["unavailable"], ["unavailable"], ["duplicate"]],
            [statuses(each) for each in lookups])
        self.assertEqual([], self.sim.calls)

    def test_lookup_while_a_claim_is_in_doubt(self):
        """A key with a claim in doubt must not be reported as absent.

        Otherwise a caller is told ``not_run`` and another entry host
        then starts the request.
        """
        self.put_in_flight("k", "late")
        lookup = self.sim.lookup("k")
        for mode in ("well", "late", "well"):
            self.sim.answer(mode)
        self.assertEqual(["unavailable"], statuses(lookup))

    def test_lookups_share_reads(self):
        """Lookups must share reads.

        Otherwise each refusal in an overload costs a store call.
        """
        for at in range(200):
            self.sim.lookup(f"k{at}")
            self.sim.run_without_faults(0.1)
        reads = self.sim.owners[0].state.seq
        self.assertTrue(50 < reads <= 105, reads)

    def test_answers_wait_for_their_commit(self):
        """A resend must not be told of a holder before the commit.

        Both requests are in one commit, which the store refuses.
        """
        first = self.sim.request_claim("k")
        second = self.sim.request_claim("k")
        self.sim.answer("well")
        self.assertEqual([], statuses(second))
        self.sim.answer("out")
        self.assertEqual(
            [["unavailable"]] * 2, [statuses(first), statuses(second)])

    def test_late_not_run_does_not_free_what_ran(self):
        """A delayed ``not_run`` must not free a key whose request ran."""
        first = self.sim.request_claim("k")
        self.sim.run_without_faults(1.0)
        self.sim.end(first, True, 0)
        self.sim.run_without_faults(2.0)
        self.sim.settle(first, "not_run", 1)
        self.sim.run_without_faults(2.0)
        self.assertEqual("duplicate", self.answered("k", at=1).status)

    def test_overtaken_request_is_not_claimed(self):
        """A claim that arrives after its outcome must be ignored.

        The entry host abandons the claim, and on a new connection the
        outcome overtakes the claim. Granting it would hold the key for
        an attempt that never runs, though its caller was told
        ``not_run``.
        """
        attempt = simulations.Attempt("r0", "k", state="over")
        self.sim.attempts["r0"] = attempt
        self.sim.settle(attempt, "not_run", 0)
        self.sim.send_ask(attempt, 0)
        self.sim.run_without_faults()
        self.assertEqual("granted", self.answered("k").status)

    def test_two_owners_both_make_progress(self):
        """Two hosts that own one slot must both make progress.

        If they commit in lockstep, one loses every time, and half of
        the entry hosts are refused.
        """
        asked = []
        for at in range(100):
            asked.append(self.sim.request_claim(f"a{at}", at=0))
            asked.append(self.sim.request_claim(f"b{at}", at=1))
            self.sim.run_without_faults(0.1)
        self.sim.run_without_faults(5.0)
        for owner in ("a", "b"):
            granted = [each for each in asked if each.key[0] == owner
                       and statuses(each) == ["granted"]]
            self.assertGreater(len(granted), 90, owner)

    def test_full_ledger_refuses_and_drops_nothing(self):
        self.sim = simulations.Simulation(max_bytes=800)
        answers = [self.answered(f"k{at}").status for at in range(20)]
        granted = answers.count("granted")
        self.assertEqual(
            ["granted"] * granted + ["unavailable"] * (20 - granted),
            answers)
        self.assertTrue(3 < granted < 20, granted)
        self.assertEqual(granted, len(self.entries()))
        self.assertLessEqual(len(self.sim.body), 800 + 100)

    def test_unreadable_ledger_grants_nothing(self):
        self.answered("k")
        self.sim.body = b"\xff"
        self.sim.restart(0)
        self.assertEqual("unavailable", self.answered("k2").status)

    def test_key_dated_in_the_future_is_refused(self):
        """A key dated in the future must be refused.

        One wrong clock would otherwise make all callers' keys too old.
        """
        self.sim.owners[0].state.wall_clock = lambda now: 1000.0 + now
        ahead = self.answered("k", issued_at=5000.0)
        self.assertEqual("too_new", ahead.status)

    def test_commits_are_rate_limited(self):
        """A busy slot writes 3 times per second; an idle one at once."""
        quiet = self.put_in_flight("k", "well")
        self.assertEqual(["granted"], statuses(quiet))
        versions = self.sim.version
        for at in range(100):
            self.sim.request_claim(f"k{at}")
            self.sim.run_without_faults(0.1)
        made = self.sim.version - versions
        self.assertLessEqual(made, 3 * 10 + 3)
        self.assertGreater(made, 25)


class KeyTest(unittest.TestCase):
    """Keys and slots."""

    def test_keys_of_different_callers_differ(self):
        named = {claims.key_digest(*each) for each in (
            ("w", "a", "k"), ("w", "b", "k"), ("v", "a", "k"),
            ("wa", "", "k"))}
        self.assertEqual(4, len(named))
        slots = {claims.slot_of(str(at), 64) for at in range(2000)}
        self.assertEqual(set(range(64)), slots)

    def test_put_is_conditional_on_the_version_read(self):
        sim = simulations.Simulation()
        sim.request_claim("k")
        sim.answer("well")
        (_, put), = sim.calls
        self.assertEqual(0, put.version)
        self.assertIsInstance(put, effects.StorePut)
