"""Sums of what other hosts say of their load."""

import random
import unittest

from crocuskeel.core.entry import loads


class LoadsTest(unittest.TestCase):
    """The sums are those of the rows that count."""

    def test_sums_are_those_of_the_last_rows_within_the_span(self):
        # A sum that drifts from its rows would show an engine as busy
        # for good, and no host would send anything there again.
        rng = random.Random(5)
        kept, said, now = loads.Loads(), {}, 10.0
        for _ in range(2000):
            now += rng.random() * 0.1
            name = f"host-{rng.randrange(12)}"
            row = tuple(rng.randrange(3) for _ in range(3))
            kept.put(name, *row, now)
            said[name] = (*row, now)
            counted = [row for row in said.values()
                       if row[0] and row[3] > now - loads.SAID_S]
            self.assertEqual(
                [sum(row[place] for row in counted) for place in range(3)],
                [kept.running, kept.tokens, kept.reading])

    def test_a_silent_hosts_requests_stop_counting(self):
        kept = loads.Loads()
        kept.put("host-1", 4, 9000, 2, 1.0)
        kept.expire(1.9)
        self.assertEqual(4, kept.running)
        kept.expire(2.1)
        self.assertEqual((0, 0, 0),
                         (kept.running, kept.tokens, kept.reading))
