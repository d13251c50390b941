"""Tests of the ``duties`` command on logs of entry hosts."""

import json
import unittest

from tests.ctl import fleet as fleets


def _line(wall, host, event, **fields):
    return json.dumps({"t": wall - 1000, "wall": wall, "host": host,
                       "event": event, **fields})


FIRST_LOG = "\n".join((
    _line(2000.0, "h1", "lease_acquired", fence=12),
    _line(2005.0, "h1", "window_decided", window=7, requests=40, fence=12),
    _line(2005.3, "h1", "duty_sent", duty="usage", window=7, fence=12),
    _line(2005.4, "h1", "duty_answered", duty="usage", window=7,
          outcome="done"),
    _line(2006.0, "h1", "sent", rid="r1", server="s1"),
    _line(2007.0, "h1", "duty_sent", duty="scale", count=3, fence=12),
    _line(2008.0, "h1", "lease_released", version=30)))
SECOND_LOG = "\n".join((
    _line(2008.4, "h2", "lease_acquired", fence=31),
    _line(2010.0, "h2", "window_decided", window=8, requests=2, fence=31)))


class DutiesTest(unittest.TestCase):
    """``crocuskeelctl duties``."""

    def setUp(self):
        self.fleet = fleets.Fleet()
        self.fleet.files = {"one.log": FIRST_LOG, "two.log": SECOND_LOG}

    def test_last_holder_and_all_actions(self):
        code, out, _ = self.fleet.run("duties", "two.log", "one.log")
        self.assertEqual(0, code)
        self.assertIn("h2 has held the duties since 1970-01-01 00:33:28, "
                      "fence 31", out)
        self.assertIn("scale", out)
        self.assertNotIn("r1", out)

    def test_one_window(self):
        code, out, _ = self.fleet.run(
            "duties", "one.log", "--window", "7")
        self.assertEqual(0, code)
        self.assertIn("no host holds the duties", out)
        self.assertEqual(3, out.count("window=7"))
        self.assertNotIn("scale", out)

    def test_logs_without_duty_events(self):
        self.fleet.files = {"one.log": _line(1.0, "h1", "sent")}
        code, _, err = self.fleet.run("duties", "one.log")
        self.assertEqual(7, code)
        self.assertIn("any of them may hold", err)


if __name__ == "__main__":
    unittest.main()
