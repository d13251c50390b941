"""The dispatcher must not learn from answers without information."""

import unittest

from crocuskeel.conf import tree as conf_tree
from crocuskeel.core.dispatch import limits
from crocuskeel.core import messages
from tests.dispatch import support

ENGINE = "engine-0"
DOCUMENT = {
    "deployment": {"name": "d", "failure_domains": ["domain-0"]},
    "services": {support.SERVICE: {
        "kind": "engine", "models": ["m"], "max_slots_per_engine": 4}},
    "classes": {"guide": {"service": support.SERVICE, "tier": 1}},
    "workspaces": {"swan": {}},
}


def _released(harness, key, end, ttft_s, itl_s, tokens):
    grant = harness.running.pop(key)
    support.receive(harness, messages.Released(
        *key, support.CELL, grant.engine, end, tokens, ttft_s, itl_s))


class LearningTest(unittest.TestCase):
    """What an engine's answers show about it."""

    def test_unstreamed_answers_do_not_change_the_latency(self):
        """An answer that is not streamed is not taken for one token.

        The 3 s of such answers were taken as the time of one token. Idle
        engines then refused every request because no deadline seemed
        possible to meet, and nothing ran that could correct the estimate.
        """
        harness = support.new_harness(count=1)
        for number in range(8):
            key = (f"whole{number}", 1)
            support.enqueue(harness, key[0])
            harness.now += 3.0
            _released(harness, key, "done", 3.0, 0.0, 0)
        view = limits.engine_view(harness.daemon, ENGINE)
        self.assertEqual(0.0, view.unit_latency)
        support.enqueue(harness, "stream", deadline_in_s=15.0)
        self.assertIn(("stream", 1), harness.running)

    def test_unready_does_not_lower_the_limit(self):
        """An engine that lacks the model is not treated as full.

        The engine answers 503 because it lacks the model. If that were
        taken for "full", one caller's requests would reduce the limit of
        every engine to one slot.
        """
        harness = support.new_harness(count=1)
        before = limits.engine_view(harness.daemon, ENGINE).concurrency_limit
        support.enqueue(harness, "r")
        _released(harness, ("r", 1), "unready", 0.0, 0.0, 0)
        after = limits.engine_view(harness.daemon, ENGINE)
        self.assertEqual(before, after.concurrency_limit)
        self.assertGreater(after.paused_until, harness.now)

    def test_settings_bound_the_slots(self):
        """A change of max_slots_per_engine takes effect.

        The bound was read only once, before there were settings, and
        later taken from the engine's own report.
        """
        harness = support.new_harness(count=1)
        support.report_loads(harness)
        self.assertEqual(
            8, limits.engine_view(harness.daemon, ENGINE).max_limit)
        harness.daemon.follower.tree = conf_tree.from_document(DOCUMENT, 2)
        support.advance(harness, 0.25)
        support.report_loads(harness)
        for number in range(6):
            support.enqueue(harness, f"r{number}")
        self.assertEqual(4, len(harness.running))


class LossTest(unittest.TestCase):
    """What a lost answer shows about its server."""

    def test_one_lost_answer_does_not_pause_a_server(self):
        """A single lost answer does not take a server out of use.

        Each server lost one answer and all were paused for it, so a tier 1
        request with 20 s to its deadline was refused although every server
        was up.
        """
        harness = support.new_harness(count=2)
        for number in range(2):
            support.enqueue(harness, f"r{number}")
        lost = {grant.engine for grant in harness.running.values()}
        self.assertEqual(2, len(lost))
        for key in list(harness.running):
            support.end_attempt(harness, key, "broken")
        support.report_loads(harness)
        support.enqueue(harness, "booking")
        self.assertIn(("booking", 1), harness.running)

    def test_failures_of_earlier_grants_count_once(self):
        """Attempts granted before a pause don't extend it when they fail.

        They end one by one later. Each one doubled the pause, so a server
        was paused for 15 s after a momentary fault.
        """
        harness = support.new_harness(count=1)
        for number in range(4):
            support.enqueue(harness, f"r{number}")
        view = limits.engine_view(harness.daemon, ENGINE)
        for number in range(4):
            support.end_attempt(harness, (f"r{number}", 1), "silent")
            harness.now += 3.0
        self.assertEqual(1, view.failures)
