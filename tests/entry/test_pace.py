"""What hosts learn of the engines of a service."""

import random
import unittest

from crocuskeel.core.entry import events
from crocuskeel.core.entry import pace
from tests.entry import support


class GapTest(unittest.TestCase):
    """The longest pause that reading causes."""

    def _learn(self, cap_s, seed=1, count=200):
        rng = random.Random(seed)
        seen = pace.Pace()
        for _ in range(count):
            ahead_s = rng.uniform(0.02, 1.0)
            # At the end of a prompt the engine reads for a part of it.
            gap_s = min(ahead_s, cap_s) * rng.choice((1.0, 1.0, 0.5))
            pace.note_gap(seen, ahead_s, gap_s)
        return seen

    def test_engines_that_read_in_small_parts_hold_up_nobody(self):
        # Engines there pause for 180 ms at the most, however much they
        # read. Streams that may pause for 250 ms were kept from long
        # prompts all the same, whose shared parts were then read again:
        # 0.72 in place of 0.78 of what requests were worth.
        for seed in range(5):
            seen = self._learn(0.18, seed)
            self.assertFalse(pace.pauses_longer(seen, 0.25))

    def test_engines_that_read_in_large_parts_hold_up_streams(self):
        for seed in range(5):
            seen = self._learn(0.24, seed)
            self.assertTrue(pace.pauses_longer(seen, 0.2))
            self.assertFalse(pace.pauses_longer(seen, 0.4))

    def test_unknown_engines_may_hold_up_any_stream(self):
        self.assertTrue(pace.pauses_longer(pace.Pace(), 10.0))
        self.assertTrue(pace.pauses_longer(
            self._learn(0.1, count=pace.SAMPLES_LEAST - 1), 10.0))

    def test_short_prompts_say_nothing(self):
        # On a quiet day most prompts end before an engine's pause does.
        # By their short pauses long ones looked harmless, and 100 of 320
        # chats were late.
        seen = self._learn(0.24)
        for _ in range(500):
            pace.note_gap(seen, 0.1, 0.09)
        self.assertTrue(pace.pauses_longer(seen, 0.2))

    def test_a_host_that_stood_still_learns_nothing_of_engines(self):
        seen = self._learn(0.18)
        for _ in range(50):
            pace.note_gap(seen, 0.3, 2.0)
        self.assertFalse(pace.pauses_longer(seen, 0.25))

    def test_pauses_beside_a_prompt_are_taken(self):
        engine = support.server("e1", "engines")
        driver = support.Driver(support.stream(gap_s=0.4), servers=(engine,))
        driver.arrive(path="/advice/1", prompt=support.prompt())
        driver.feed(events.Opened(1, 0, None), 0.5)
        state = driver.host.servers["e1"]
        state.others.put("host-1", 1, 20_000, 1, driver.now)
        driver.feed(events.Progressed(1, 0), 0.01)
        driver.feed(events.Progressed(1, 0), 0.2)
        self.assertEqual(1, driver.host.paces["engines"].samples)
        self.assertAlmostEqual(0.2, driver.host.paces["engines"].gap_s)


if __name__ == "__main__":
    unittest.main()
