"""A host that is stopping: what it logs, takes and breaks off."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import stopping
from tests.entry import support

SERVERS = (support.server("i-1"), support.server("i-2"))


def stopping_driver(route=None, **kwargs):
    """Return the driver of a host that has just been asked to stop."""
    driver = support.Driver(route or support.route(), servers=SERVERS,
                            **kwargs)
    driver.feed(events.StopAsked())
    return driver


def lines(out, name):
    """Return the fields of the log lines of an event."""
    return [effect.fields for effect in
            support.effects_of(out, effects.LogEvent) if effect.event == name]


class StopLogTest(unittest.TestCase):
    """Guards against stops whose log doesn't say what they broke off."""

    def test_request_that_the_exit_breaks_off_is_named(self):
        driver = stopping_driver(support.route(kind=model.Kind.STREAM))
        out = driver.arrive(rid="late")
        sent, = lines(out, "sent")
        self.assertEqual(0.0, sent["stop_s"])
        self.assertLess(7.0, sent["ends_in_s"])
        driver.feed(events.StreamOpened(1, 0, None))
        out = driver.feed(events.Ticked(), driver.host.cfg.grace_s)
        cut, = lines(out, "cut_by_stop")
        self.assertEqual("late", cut["rid"])
        self.assertTrue(cut["begun"])
        self.assertEqual(0.0, cut["arrived_s"])
        self.assertEqual([sent["server"]], cut["servers"])

    def test_requests_in_progress_are_named_before_a_kill(self):
        driver = support.Driver(support.route(), servers=SERVERS)
        driver.arrive(rid="early")
        out = driver.feed(events.StopAsked())
        self.assertEqual(["early"], lines(out, "stopping")[0]["rids"])
        named = []
        while not driver.host.exited:
            out = driver.feed(events.Ticked(), 0.3)
            named += lines(out, "still_stopping")
        self.assertLess(5, len(named))
        self.assertTrue(all(row["rids"] == ["early"] for row in named))
        left = [row["ends_in_s"] for row in named]
        self.assertEqual(sorted(left, reverse=True), left)
        self.assertLess(left[-1], 1.3)

    def test_lines_of_requests_say_nothing_of_stops_before_one(self):
        driver = support.Driver(support.route(), servers=SERVERS)
        self.assertNotIn("stop_s", lines(driver.arrive(), "sent")[0])
        self.assertEqual({}, stopping.log_fields(driver.host, 0.0))


if __name__ == "__main__":
    unittest.main()
