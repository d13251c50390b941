"""Rates that servers name for all hosts together."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support


class LogTest(unittest.TestCase):
    """What a host writes down of the rates that servers name."""

    def test_a_line_for_each_change_of_what_an_answer_names(self):
        driver = support.Driver(
            support.route(), servers=(support.server("s1"),))
        lines = []
        for key, rate in enumerate((None, 1.5, 1.5, 2.0, None)):
            driver.arrive(key)
            lines += support.only(driver.feed(events.HintsSeen(
                key, 0, model.Hints(rate))), effects.Note)
        self.assertEqual(
            [(None, 1.5), (1.5, 2.0), (2.0, None)],
            [(line.fields["was"], line.fields["rate"]) for line in lines])


if __name__ == "__main__":
    unittest.main()
