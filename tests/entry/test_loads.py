"""Totals of the load that other hosts report."""

import random
import unittest

from crocuskeel.core.entry import loads


class LoadsTest(unittest.TestCase):
    """The totals are those of the unexpired rows."""

    def test_totals_match_the_unexpired_rows(self):
        # A total that deviates from its rows would show an engine as busy
        # for ever, and no host would send requests there again.
        rng = random.Random(5)
        totals, latest, now = loads.PeerLoads(), {}, 10.0
        for _ in range(2000):
            now += rng.random() * 0.1
            name = f"host-{rng.randrange(12)}"
            row = tuple(rng.randrange(3) for _ in range(3))
            totals.update(name, *row, now)
            latest[name] = (*row, now)
            counted = [row for row in latest.values()
                       if row[0] and row[3] > now - loads.REPORT_TTL_S]
            self.assertEqual(
                [sum(row[index] for row in counted) for index in range(3)],
                [totals.request_count, totals.queued_tokens,
                 totals.queued_prompts])

    def test_the_load_of_a_silent_host_expires(self):
        totals = loads.PeerLoads()
        totals.update("host-1", 4, 9000, 2, 1.0)
        totals.expire(1.9)
        self.assertEqual(4, totals.request_count)
        totals.expire(2.1)
        self.assertEqual((0, 0, 0),
                         (totals.request_count, totals.queued_tokens,
                          totals.queued_prompts))
