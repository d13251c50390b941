"""On how many servers a request may run."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support

STREAM = support.stream()
ENGINES = tuple(support.server(f"e{number}", "engines")
                for number in range(1, 4))


def _broken(turn=0):
    return events.Broken(1, turn, model.Outcome.BROKEN, "", False)


class RepeatingTest(unittest.TestCase):
    """As many as its route allows, but for those that are lost."""

    def _go_on_elsewhere(self):
        """Have a stream break at its first server; return its id, too."""
        driver = support.Driver(STREAM, servers=ENGINES)
        driver.arrive(path="/advice/1", prompt=support.prompt(),
                      deadline_s=8.0)
        first = driver.host.pending[1].tries[0].sid
        driver.feed(events.Opened(1, 0, None), 0.1)
        out = driver.feed(_broken(), 0.5)
        self.assertEqual(1, len(support.only(out, effects.Send)))
        return driver, first

    def test_a_server_that_left_the_list_counts_as_tried(self):
        # An engine leaves: its entry goes while it serves on. A stream
        # that ran there breaks, goes on at a second engine, which breaks
        # it too, and a third one ran it: the first was taken for lost.
        driver, first = self._go_on_elsewhere()
        driver.feed(events.ServersChanged((), (first,), 6))
        out = driver.feed(_broken(1), 0.5)
        self.assertEqual([], support.only(out, effects.Send))

    def test_a_server_that_can_not_be_reached_is_not_counted(self):
        # Two engines crash under a stream, and the first refuses
        # connections since: the third may finish it.
        driver, first = self._go_on_elsewhere()
        driver.host.servers[first].unreached = True
        out = driver.feed(_broken(1), 0.5)
        self.assertEqual(1, len(support.only(out, effects.Send)))
