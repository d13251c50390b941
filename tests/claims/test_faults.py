"""Claims: each fault of the store, the owners and the doors by name."""

import unittest

from crocuskeel.core import claims
from crocuskeel.core import effects
from tests.claims import world as worlds


def statuses(attempt):
    """Return the statuses an attempt was answered with."""
    return [each.status for each in attempt.answers]


class ClaimFaultTest(unittest.TestCase):
    """Stories of faults; a world is calm unless a test breaks it."""

    def setUp(self):
        self.world = worlds.World(epoch_s=10.0, kept_epochs=2)

    def answered(self, key, **kwargs):
        """Ask for ``key`` in a calm world; return its last answer."""
        attempt = self.world.ask(key, **kwargs)
        self.world.calm(2.0)
        return attempt.answers[-1]

    def put_in_flight(self, key, mode):
        """Ask owner 0; its write meets ``mode``."""
        attempt = self.world.ask(key)
        self.world.answer("well")
        self.world.answer(mode)
        return attempt

    def test_resend_names_the_holder(self):
        first = self.world.ask("k")
        self.world.calm(1.0)
        other_body = self.answered("k", digest="e")
        running = self.answered("k")
        self.world.end(first, True, 0)
        self.world.calm(2.0)
        ran = self.answered("k", at=1)
        self.assertEqual(["granted"], statuses(first))
        self.assertEqual("mismatch", other_body.status)
        self.assertEqual(
            ("duplicate", "door", "r0", "claimed"),
            (running.status, running.holder_host, running.holder_rid,
             running.outcome))
        self.assertEqual("ran", ran.outcome)

    def test_paused_owner_is_fenced(self):
        """A canoe is booked twice after a pause.

        Owner 0 has read the ledger and is paused; the resend is granted
        by owner 1; owner 0 wakes and commits on what it had read.
        """
        self.world.ask("other")
        self.world.calm(1.0)
        self.world.pause(0, True)
        late = self.world.ask("k")
        resent = self.world.ask("k", at=1)
        while self.world.ops:
            self.world.answer("well")
        self.assertEqual(["granted"], statuses(resent))
        self.world.calm()
        self.assertEqual(["duplicate"], statuses(late))

    def test_lost_answer_is_settled_by_reading(self):
        """A confirmation is refused though its claim was recorded.

        The write lands, its answer is lost. A refusal now would leave
        the key held by an attempt that nobody runs.
        """
        attempt = self.put_in_flight("k", "lost")
        self.assertEqual([], statuses(attempt))
        self.world.answer("well")
        self.assertEqual(["granted"], statuses(attempt))

    def test_given_up_in_doubt_frees_the_key(self):
        """A booking told ``not_run`` can never be made again.

        The door gives up while its claim's write is in doubt; a read
        shows the old version, and the write lands after that read. The
        key stays held by an attempt that its door has forgotten.
        """
        attempt = self.put_in_flight("k", "late")
        self.world.give_up(attempt, 0)
        self.world.answer("well")
        self.world.land()
        self.world.calm()
        self.assertEqual([], statuses(attempt))
        self.assertEqual("granted", self.answered("k").status)

    def test_expired_ask_is_not_settled(self):
        """A canoe is booked twice.

        Owner 0 loses the answer to a claim; the door asks owner 1, is
        granted and runs. At the deadline owner 0 takes the claim for
        given up and frees the key, so that a resend runs as well.
        """
        attempt = self.put_in_flight("k", "late")
        self.world.pause(0, True)
        self.world.send_ask(attempt, 1)
        while self.world.ops:
            self.world.answer("well")
        self.assertEqual("started", attempt.state)
        self.world.advance(6.0)
        self.world.calm()
        self.assertEqual("duplicate", self.answered("k").status)

    def test_dropped_key_is_refused(self):
        """A canoe is booked twice, half an hour apart.

        The entry of the first booking is dropped by age, and a resend
        of the same key looks new.
        """
        first = self.world.ask("k", issued_at=100.0)
        self.world.calm(1.0)
        self.world.end(first, True, 0)
        for at in range(5):
            self.world.advance(10.0)
            self.answered(f"other{at}", issued_at=200.0 + at)
        self.assertNotIn("k", self.entries())
        self.assertEqual(
            "too_old", self.answered("k", issued_at=100.0).status)
        self.assertEqual(
            "granted", self.answered("new", issued_at=300.0).status)

    def test_no_entry_is_dropped_early(self):
        """A resend within the kept span runs again.

        Owners that restart or take over each begin a new epoch at once,
        and the entry is dropped seconds after it was made.
        """
        self.answered("k")
        for at in range(8):
            self.world.restart(at % 2)
            self.answered(f"other{at}", at=at % 2)
        self.assertIn("k", self.entries())

    def entries(self):
        """Return the entries that owner 0 knows."""
        return self.world.owners[0].state.slots[0].ledger.entries

    def test_outage_refuses_at_once(self):
        """Callers wait out their deadlines while the store is down.

        Each claim asks the store anew and waits for its bound.
        """
        first = self.world.ask("k")
        self.world.answer("out")
        later = [self.world.ask(f"k{at}") for at in range(20)]
        for attempt in [first, *later]:
            self.assertEqual(["unavailable"], statuses(attempt))
            self.assertGreater(attempt.answers[0].retry_after_s, 0.0)
        self.assertEqual([], self.world.ops)
        self.world.advance(1.0)
        self.assertEqual("granted", self.answered("k").status)

    def test_look_is_not_answered_from_the_cache(self):
        """A clerk books by hand what was booked already.

        Owner 0 has read the ledger; the key is claimed and run through
        owner 1. The refused resend's look comes to owner 0, whose cache
        knows nothing of it.
        """
        self.answered("other")
        first = self.world.ask("k", at=1)
        self.world.calm(1.0)
        look = self.world.look("k")
        self.assertEqual([], statuses(look))
        self.world.calm(1.0)
        self.assertEqual(["granted"], statuses(first))
        self.assertEqual(["duplicate"], statuses(look))
        self.assertEqual("r1", look.answers[0].holder_rid)

    def test_look_waits_for_a_read_of_its_own(self):
        """As above: the read under way when the look came is older."""
        self.world.ask("other")
        look = self.world.look("k")
        later = self.world.look("k", digest="e")
        self.world.answer("well")
        self.assertEqual([], statuses(look) + statuses(later))
        self.world.calm(1.0)
        self.assertEqual(["absent"] * 2, statuses(look) + statuses(later))

    def test_look_claims_nothing(self):
        """A refused booking can't be made: its look took the key."""
        look = self.world.look("k")
        self.world.calm(1.0)
        self.assertEqual(["absent"], statuses(look))
        self.assertEqual(0, self.world.version)
        self.assertEqual("granted", self.answered("k").status)

    def test_look_in_an_outage(self):
        """With the store out, an absent key is taken for a free one.

        Another owner may reach the store. What is known to be held is
        told all the same.
        """
        self.answered("k")
        self.world.advance(1.0)
        free = self.world.look("new")
        self.world.answer("out")
        looks = [free, self.world.look("new"), self.world.look("k")]
        self.assertEqual(
            [["unavailable"], ["unavailable"], ["duplicate"]],
            [statuses(each) for each in looks])
        self.assertEqual([], self.world.ops)

    def test_look_while_a_claim_is_in_doubt(self):
        """``not_run`` is said of a key that another door starts next."""
        self.put_in_flight("k", "late")
        look = self.world.look("k")
        for mode in ("well", "late", "well"):
            self.world.answer(mode)
        self.assertEqual(["unavailable"], statuses(look))

    def test_looks_share_reads(self):
        """In an overload each refusal costs the store a call."""
        for at in range(200):
            self.world.look(f"k{at}")
            self.world.calm(0.1)
        reads = self.world.owners[0].state.seq
        self.assertTrue(50 < reads <= 105, reads)

    def test_same_commit_answers_wait_for_it(self):
        """A resend is told of a holder that never was.

        Both asks meet in one commit, which the store refuses.
        """
        first = self.world.ask("k")
        second = self.world.ask("k")
        self.world.answer("well")
        self.assertEqual([], statuses(second))
        self.world.answer("out")
        self.assertEqual(
            [["unavailable"]] * 2, [statuses(first), statuses(second)])

    def test_late_not_run_does_not_free_what_ran(self):
        """A canoe is booked twice: a delayed outcome frees its key."""
        first = self.world.ask("k")
        self.world.calm(1.0)
        self.world.end(first, True, 0)
        self.world.calm(2.0)
        self.world.settle(first, "not_run", 1)
        self.world.calm(2.0)
        self.assertEqual("duplicate", self.answered("k", at=1).status)

    def test_overtaken_ask_is_not_claimed(self):
        """A booking told ``not_run`` can never be made again.

        The door gives up; its outcome overtakes its ask on a new
        connection, and the claim is made for nobody.
        """
        attempt = worlds.Attempt("r0", "k", state="over")
        self.world.attempts["r0"] = attempt
        self.world.settle(attempt, "not_run", 0)
        self.world.send_ask(attempt, 0)
        self.world.calm()
        self.assertEqual("granted", self.answered("k").status)

    def test_two_owners_both_get_on(self):
        """Half of the doors are refused while two hosts own a slot.

        The owners commit in step, and one loses every time.
        """
        asked = []
        for at in range(100):
            asked.append(self.world.ask(f"a{at}", at=0))
            asked.append(self.world.ask(f"b{at}", at=1))
            self.world.calm(0.1)
        self.world.calm(5.0)
        for owner in ("a", "b"):
            granted = [each for each in asked if each.key[0] == owner
                       and statuses(each) == ["granted"]]
            self.assertGreater(len(granted), 90, owner)

    def test_full_ledger_refuses_and_drops_nothing(self):
        self.world = worlds.World(max_bytes=800)
        answers = [self.answered(f"k{at}").status for at in range(20)]
        granted = answers.count("granted")
        self.assertEqual(
            ["granted"] * granted + ["unavailable"] * (20 - granted),
            answers)
        self.assertTrue(3 < granted < 20, granted)
        self.assertEqual(granted, len(self.entries()))
        self.assertLessEqual(len(self.world.body), 800 + 100)

    def test_unreadable_ledger_grants_nothing(self):
        self.answered("k")
        self.world.body = b"\xff"
        self.world.restart(0)
        self.assertEqual("unavailable", self.answered("k2").status)

    def test_key_dated_ahead_is_refused(self):
        """One wrong clock makes all callers' keys too old."""
        self.world.owners[0].state.wall = lambda now: 1000.0 + now
        ahead = self.answered("k", issued_at=5000.0)
        self.assertEqual("too_new", ahead.status)

    def test_commits_keep_their_pace(self):
        """A busy slot writes 3 times a second; a quiet one at once."""
        quiet = self.put_in_flight("k", "well")
        self.assertEqual(["granted"], statuses(quiet))
        versions = self.world.version
        for at in range(100):
            self.world.ask(f"k{at}")
            self.world.calm(0.1)
        made = self.world.version - versions
        self.assertLessEqual(made, 3 * 10 + 3)
        self.assertGreater(made, 25)


class KeyTest(unittest.TestCase):
    """Keys and slots."""

    def test_keys_of_callers_are_apart(self):
        named = {claims.key_digest(*each) for each in (
            ("w", "a", "k"), ("w", "b", "k"), ("v", "a", "k"),
            ("wa", "", "k"))}
        self.assertEqual(4, len(named))
        slots = {claims.slot_of(str(at), 64) for at in range(2000)}
        self.assertEqual(set(range(64)), slots)

    def test_put_names_the_version_it_rests_on(self):
        world = worlds.World()
        world.ask("k")
        world.answer("well")
        (_, put), = world.ops
        self.assertEqual(0, put.version)
        self.assertIsInstance(put, effects.StorePut)
