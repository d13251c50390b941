"""Servers that leave, or ask a host for rest, by what they answer."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support


class LogTest(unittest.TestCase):
    """What a host writes down."""

    def test_a_line_where_a_server_first_leaves_or_wants_longer_rest(self):
        driver = support.Driver(
            support.route(), servers=(support.server("s1"),))
        found = (model.Hints(), model.Hints(leaving=True),
                 model.Hints(leaving=True, rest_s=3.0),
                 model.Hints(rest_s=2.0), model.Hints(rest_s=4.0))
        for key in range(len(found)):
            driver.arrive(key)
        lines = []
        for key, hints in enumerate(found):
            lines += support.only(driver.feed(
                events.HintsSeen(key, 0, hints)), effects.Note)
        self.assertEqual(
            ["server_leaving", "server_rests", "server_rests"],
            [line.event for line in lines])
        self.assertEqual([3.0, 4.0], [
            line.fields["rest_s"] for line in lines[1:]])


if __name__ == "__main__":
    unittest.main()
