"""Tests the minimum share of admissions that each class is guaranteed."""

import unittest

from crocuskeel.core.entry import class_minimums
from emulator import deployment as deployments
from emulator import mechanisms
from emulator import run
from tests.emulator import test_run
from tests.entry import support

TOP = support.stream("top", priority=0)
LOW = support.stream("low", priority=2)


def _kind(name, a_second, priority, shared, own):
    return deployments.Kind(
        name, "stream", a_second, priority, shared, own, 30, 12,
        2_000.0, 1_000.0, 8_000.0, 2.0, 0.4)


class MinimumShareTest(unittest.TestCase):
    """When a class is below its guaranteed share."""

    def setUp(self):
        self.host = support.Driver(TOP, LOW).host

    def _arrive(self, route, count, sent, tokens):
        for number in range(count):
            pending = support.request_state(route, prompt=support.prompt(
                shared=tokens - 500, own=500))
            class_minimums.note_arrived(self.host, pending, support.NOW)
            if number < sent:
                class_minimums.note_sent(self.host, pending, support.NOW)
        return pending

    def _is_below_minimum(self, top, low,
                          after_s=class_minimums.UNDERSERVED_S):
        """Say whether the lower class is below its minimum later."""
        self.setUp()
        self._arrive(TOP, *top)
        pending = self._arrive(LOW, *low)
        class_minimums.is_below_minimum(self.host, pending, support.NOW)
        for stats in self.host.class_stats["engines"].values():
            stats.at += after_s
        return class_minimums.is_below_minimum(
            self.host, pending, support.NOW + after_s)

    def test_shares_of_two_classes(self):
        # (arrived, admitted, tokens) of the higher and of the lower class.
        for top, low, below in (
                # The lower class gets nothing while the higher is served.
                ((40, 40, 9_000), (10, 0, 4_000), True),
                # It gets its share.
                ((40, 40, 9_000), (10, 4, 4_000), False),
                # Little is admitted at all: its share is of that.
                ((40, 10, 9_000), (10, 0, 4_000), True),
                ((40, 10, 9_000), (10, 1, 4_000), False),
                # Its requests are larger, with and without refusals of the
                # higher class.
                ((40, 30, 1_500), (10, 0, 16_000), False),
                ((40, 40, 1_500), (10, 0, 16_000), True),
                # Too few arrived for a decision.
                ((40, 40, 9_000), (3, 0, 4_000), False)):
            with self.subTest(top=top, low=low):
                self.assertEqual(below, self._is_below_minimum(top, low))

    def test_no_guarantee_during_a_short_burst(self):
        self.assertFalse(self._is_below_minimum(
            (40, 40, 9_000), (10, 0, 4_000),
            class_minimums.UNDERSERVED_S - 1.0))

    def test_no_guarantee_for_the_highest_class(self):
        pending = self._arrive(TOP, 20, 0, 4_000)
        self.assertFalse(class_minimums.is_below_minimum(
            self.host, pending, support.NOW))

    def test_old_arrivals_do_not_count(self):
        self._arrive(TOP, 40, 40, 9_000)
        pending = self._arrive(LOW, 20, 0, 4_000)
        self.assertFalse(class_minimums.is_below_minimum(
            self.host, pending, support.NOW))
        self.assertFalse(class_minimums.is_below_minimum(
            self.host, pending, support.NOW + 4 * class_minimums.DECAY_S))


class OverloadTest(unittest.TestCase):
    """The highest class offers several times what the engines can serve."""

    def test_served_requests_are_on_time(self):
        # At three times the load nearly all served requests were late:
        # retries after a refusal displaced new requests, and the goodput of
        # the class was 0.37, where 0.67 is possible.
        kinds = (_kind("top", 36.0, 0, 9_000, 3_000),
                 _kind("mid", 3.0, 1, 3_000, 1_500))
        result = run.play(test_run.small(seconds=20.0, kinds=kinds), 1)
        self.assertGreater(result.kinds["top"], 0.55)
        self.assertGreater(result.shares["on time"], result.shares["late"])

    def test_lower_classes_get_their_share(self):
        # An urgent class overloads the engines without end, and a lower one
        # is not served at all as long as that lasts.
        kinds = (_kind("top", 48.0, 0, 9_000, 3_000),
                 _kind("low", 4.0, 2, 3_000, 1_500))
        deployment = test_run.small(seconds=30.0, kinds=kinds)
        with mechanisms.without("floors of classes"):
            starved = run.play(deployment, 1).kinds
        served = run.play(deployment, 1).kinds
        self.assertLess(starved["low"], 0.01)
        self.assertGreater(served["low"], 0.15 * served["top"])
        self.assertGreater(served["top"], 0.9 * starved["top"])
