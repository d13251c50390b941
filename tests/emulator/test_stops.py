"""Hosts that are stopped as planned, beside callers that keep coming."""

import unittest
from unittest import mock

from crocuskeel.core.entry import stopping
from emulator import deployment as deployments
from emulator import run

LONG = deployments.Kind(
    "long", "stream", 6.0, 0, 300, 900, 60, 260, 1_000.0, 400.0, 10_000.0,
    2.0, 0.2, retries=5, servers=1, spread=0.4)
CHAT = deployments.Kind(
    "chat", "stream", 10.0, 0, 300, 900, 60, 40, 1_000.0, 250.0, 8_000.0,
    2.0, 0.2, retries=5, spread=0.4)
CALL = deployments.Kind(
    "call", "unsafe", 8.0, goal_ms=400.0, limit_ms=3_000.0, retries=5)
# Series of stops of all hosts, so many seconds apart.
SERIES = (0.0, 1.3, 3.5)


def _stop_all(apart_s):
    return run.played(deployments.Deployment(
        name="stops", hosts=6, seconds=16.0, way_ms=1.0,
        plain=deployments.Plain(count=3), kinds=(LONG, CHAT, CALL),
        faults=(deployments.Fault("stop", 3.0, 0.5, 6, apart_s),),
        engines=deployments.Engines(count=6, slots=32), clients=40,
        keeps_addresses=0.3, keeps_connections=0.4), 0)


class StopTest(unittest.TestCase):
    """Clients keep addresses and connections beyond the stop."""

    def test_no_request_is_broken_off(self):
        # Guards against streams that a stopping host begins although they
        # outlast it.
        for apart_s in SERIES:
            found = _stop_all(apart_s).tally.stops
            with self.subTest(apart_s=apart_s):
                self.assertEqual(6, len(found.spans))
                self.assertEqual((0, 0), (found.broken, found.killed))
                self.assertLess(0, found.refused)

    def test_host_that_refuses_nothing_breaks_requests_off(self):
        # The load of these tests is one that shows the fault.
        with mock.patch.object(stopping, "must_refuse", lambda *args: False):
            broken = sum(_stop_all(apart_s).tally.stops.broken
                         for apart_s in SERIES)
        self.assertLess(0, broken)

    def test_hosts_that_do_not_exit_are_killed(self):
        with mock.patch.object(stopping, "ends_at", lambda host: 1e9):
            found = _stop_all(0.0).tally.stops
        self.assertLess(0, found.killed)
        self.assertAlmostEqual(8.0, max(found.spans))


if __name__ == "__main__":
    unittest.main()
