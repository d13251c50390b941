"""What the dispatcher must not learn from answers that tell nothing."""

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


def _released(bench, key, end, ttft_s, itl_s, tokens):
    grant = bench.running.pop(key)
    support.receive(bench, messages.Released(
        *key, support.CELL, grant.engine, end, tokens, ttft_s, itl_s))


class LearningTest(unittest.TestCase):
    """Rules on what an engine's answers say of it."""

    def test_answers_without_a_stream_say_nothing_of_the_pace(self):
        """An idle fleet refuses every briefing for its deadline.

        Some callers had asked for whole answers in one piece. Their 3 s
        were taken as the time of one token, and no deadline can be met
        at that pace; nothing runs any more that could correct it.
        """
        bench = support.new_bench(count=1)
        for number in range(8):
            key = (f"whole{number}", 1)
            support.ask(bench, key[0])
            bench.now += 3.0
            _released(bench, key, "done", 3.0, 0.0, 0)
        view = limits.engine(bench.daemon, ENGINE)
        self.assertEqual(0.0, view.pace)
        support.ask(bench, "stream", deadline_in_s=15.0)
        self.assertIn(("stream", 1), bench.running)

    def test_an_engine_without_the_model_is_not_full(self):
        """One caller's requests take every engine down to one slot.

        The engine answers 503: it did not run the request, for want of
        a model. Taken as "full" it would lower the limit for all.
        """
        bench = support.new_bench(count=1)
        before = limits.engine(bench.daemon, ENGINE).limit
        support.ask(bench, "r")
        _released(bench, ("r", 1), "unready", 0.0, 0.0, 0)
        after = limits.engine(bench.daemon, ENGINE)
        self.assertEqual(before, after.limit)
        self.assertGreater(after.off_until, bench.now)

    def test_the_settings_bound_the_slots(self):
        """An operator lowers max_slots_per_engine and nothing happens.

        The bound was read once, before there were settings, and then
        taken from the engine's own report.
        """
        bench = support.new_bench(count=1)
        support.report(bench)
        self.assertEqual(8, limits.engine(bench.daemon, ENGINE).most)
        bench.daemon.follower.tree = conf_tree.from_document(DOCUMENT, 2)
        support.advance(bench, 0.25)
        support.report(bench)
        for number in range(6):
            support.ask(bench, f"r{number}")
        self.assertEqual(4, len(bench.running))


class LossTest(unittest.TestCase):
    """What a lost answer says of the server that should have given it."""

    def test_one_dropped_answer_does_not_stop_a_server(self):
        """Bookings are refused while every server of the desk is up.

        Each server dropped one answer. All were rested for it, and a
        tier 1 booking with 20 s to go found nobody to run it.
        """
        bench = support.new_bench(count=2)
        for number in range(2):
            support.ask(bench, f"r{number}")
        lost = {grant.engine for grant in bench.running.values()}
        self.assertEqual(2, len(lost))
        for key in list(bench.running):
            support.finish(bench, key, "broken")
        support.report(bench)
        support.ask(bench, "booking")
        self.assertIn(("booking", 1), bench.running)

    def test_losses_of_one_time_count_once(self):
        """A server rests for 15 s after a hiccup of a moment.

        Attempts granted before it was first rested end one by one
        later; each doubled the span, though nothing new had failed.
        """
        bench = support.new_bench(count=1)
        for number in range(4):
            support.ask(bench, f"r{number}")
        view = limits.engine(bench.daemon, ENGINE)
        for number in range(4):
            support.finish(bench, (f"r{number}", 1), "silent")
            bench.now += 3.0
        self.assertEqual(1, view.failures)
