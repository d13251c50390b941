"""Platform outage: no duplicate runs, and every caller gets an answer."""

import unittest

from bench.outage import callers
from bench.outage import report
from bench.outage import scenarios
from tests.claims import simulation as simulations

# A caller's maximum retry time, its last resend and the run itself.
MAX_ANSWER_S = 60.0


def plan(**kwargs):
    """Return the plan of a short outage that begins with lost answers."""
    return scenarios.Plan(
        "paddlegum", "lost-answers", before_s=6.0, outage_s=10.0,
        after_s=10.0, load_share=0.4, **kwargs)


def longest_answer_s(run):
    """Return the longest time to a final answer of any caller."""
    return max(
        call.driver_data.final_at - call.arrived_at for call in run.calls)


class OutageTest(unittest.TestCase):
    """Six hosts with real reducers and platform clients."""

    def test_lost_answers_and_paused_owner(self):
        """Guards against a duplicate run of a non-repeatable request.

        Claims are written but their answers are lost; an owner is paused
        with a write not yet sent and sends it when it resumes; then the
        platform is down. Meanwhile callers lose connections and resend
        their keys.
        """
        run = scenarios.run(plan(seed=3, disconnect_share=0.5))
        store = run.world.store
        self.assertEqual(
            dict.fromkeys(report.MUST_BE_0, 0), report.violations(run))
        self.assertEqual(0, report.false_not_run_of_sending(run))
        self.assertLess(longest_answer_s(run), MAX_ANSWER_S)
        # The run proves nothing unless these faults occurred.
        self.assertEqual(1, run.world.pause_count)
        self.assertTrue(
            store.lost_writes and store.late_writes and store.conflicts)
        refused = {error.reason for call in run.calls
                   for error in call.driver_data.errors}
        self.assertIn("claim_unavailable", refused)
        last_served = [call for call in run.calls[-100:]
                       if call.driver_data.final_status == callers.SERVED]
        self.assertGreater(len(last_served), 90)

    def test_pause_shorter_than_link_timeout(self):
        """Guards against a request that waits four minutes in an idle system.

        Its host pauses for 2.8 s: long enough to be declared dead, so
        that the dispatcher drops its queued requests, but too short for
        its links to close. After the pause the host is alive again, but
        was not asked to enqueue its requests again.
        """
        run = scenarios.run(plan(seed=9, pause_s=2.8))
        self.assertLess(longest_answer_s(run), MAX_ANSWER_S)

    def test_resend_after_run_during_store_outage(self):
        """Guards against ``not_run`` for a booking that has just run.

        The claim is granted and settled, but the commit of the outcome
        fails. A resend reaches the same owner, which knows the claim but
        used to answer "unavailable" for the time of its back-off.
        """
        sim = simulations.Simulation(epoch_s=10.0, kept_epochs=2)
        first = sim.request_claim("k")
        sim.run_without_faults(1.0)
        sim.end(first, True, 0)
        sim.advance(2.0)
        sim.answer("out")
        resent = sim.request_claim("k")
        self.assertEqual("granted", first.answers[-1].status)
        self.assertEqual(["duplicate"],
                         [each.status for each in resent.answers])
