"""The platform is away: nothing runs twice, nobody waits for ever."""

import unittest

from bench.outage import callers
from bench.outage import report
from bench.outage import scenarios
from tests.claims import world as worlds

# A caller's patience with refusals, its last resend and its run.
LONGEST_S = 60.0


def plan(**kwargs):
    """Return a short outage that begins with lost answers."""
    return scenarios.Plan(
        "paddlegum", "lost-answers", before_s=6.0, outage_s=10.0,
        after_s=10.0, level=0.4, **kwargs)


def longest_s(run):
    """Return the longest time to a final answer of any caller."""
    return max(call.extra.ended_at - call.at for call in run.calls)


class OutageTest(unittest.TestCase):
    """Real reducers and platform clients of six hosts."""

    def test_lost_answers_and_a_paused_owner(self):
        """A canoe is booked twice on the morning of an outage.

        Claims are written, their answers are lost; an owner sleeps with
        a write in hand, wakes and sends it; then the platform is away.
        All the while callers lose connections and resend their keys.
        """
        run = scenarios.run(plan(seed=3, cut_share=0.5))
        store = run.world.store
        self.assertEqual(
            dict.fromkeys(report.MUST_BE_0, 0), report.breaches(run))
        self.assertEqual(0, report.false_of_sending(run))
        self.assertLess(longest_s(run), LONGEST_S)
        # Without these the run would show nothing.
        self.assertEqual(1, run.world.slept)
        self.assertTrue(store.lost and store.late and store.conflicts)
        refused = {said.reason for call in run.calls
                   for said in call.extra.said}
        self.assertIn("claim_unavailable", refused)
        last = [call for call in run.calls[-100:]
                if call.extra.ended == callers.SERVED]
        self.assertGreater(len(last), 90)

    def test_pause_shorter_than_the_links_silence(self):
        """A confirmation waits four minutes in an idle system.

        Its host sleeps 2.8 s: long enough to be taken for dead, so that
        the dispatcher drops what it waits for, too short for its links
        to end. It wakes, is alive again, and nobody asks it anew.
        """
        run = scenarios.run(plan(seed=9, pause_s=2.8))
        self.assertLess(longest_s(run), LONGEST_S)

    def test_resend_of_what_ran_while_the_store_is_out(self):
        """A caller is told ``not_run`` of the booking that just ran.

        The claim is granted and settled, the commit of the outcome
        fails; a resend asks the same owner, which knows the claim but
        answers "unavailable" for as long as its back-off lasts.
        """
        world = worlds.World(epoch_s=10.0, kept_epochs=2)
        first = world.ask("k")
        world.calm(1.0)
        world.end(first, True, 0)
        world.advance(2.0)
        world.answer("out")
        resent = world.ask("k")
        self.assertEqual("granted", first.answers[-1].status)
        self.assertEqual(["duplicate"],
                         [each.status for each in resent.answers])
