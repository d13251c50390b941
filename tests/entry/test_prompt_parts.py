"""Parts of prompts that crash each engine which answers a prompt with them."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support

STREAM = support.stream()


def engines(count=6):
    """Return registered engines."""
    return [support.server(f"e{number}", "engines")
            for number in range(count)]


class LogTest(unittest.TestCase):
    """What the log tells of a lost attempt."""

    def test_lost_attempt_names_the_parts_of_its_prompt(self):
        # Without them, crashes under one part can't be told from crashes
        # under one workspace or route.
        driver = support.Driver(STREAM, servers=engines())
        prompt = model.Prompt(
            (("a", 10), ("b", 10), ("a", 10), ("own", 5)), 35, 20)
        driver.arrive(path="/advice/1", prompt=prompt)
        driver.feed(events.StreamOpened(1, 0, None))
        out = driver.feed(events.AttemptFailed(
            1, 0, model.Outcome.DISCONNECTED, "reset", True))
        (line,) = [line for line in support.effects_of(out, effects.LogEvent)
                   if line.event == "broken"]
        self.assertEqual(("a", "b"), line.fields["parts"])
        self.assertTrue(line.fields["opened"])


if __name__ == "__main__":
    unittest.main()
